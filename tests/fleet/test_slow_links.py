"""Requests to upstreams whose hosts' links delay what goes over them.

Each class guards one place at which an entry asks for the delay. On days on
which links carry a ninth of their rate, hundreds of requests waited for 0.9 s
in the queues of these links and were then sent into the next such queue; runs
went on after their callers had left.
"""

from __future__ import annotations

import asyncio

import pytest

from crowrudder_core.forecast import (
    UpstreamForecast,
    _upstream_forecast,
    is_slow_to_reach,
)
from crowrudder_core.forecast._reach import SLOW_TRANSIT_S
from crowrudder_core.transit import _transit_delay
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry import _attempt
from crowrudder_daemon.fleet_entry._attempt import CONNECT_S
from crowrudder_daemon.fleet_entry._choosing import UpstreamRequirements
from crowrudder_model.messages import EngineLoad
from support.fleet_checks import checked, fault

HOST_IPS = {'e0': '127.0.0.61', 'e1': '127.0.0.62'}
SLOW_S = 1.0


@pytest.fixture(autouse=True)
def _lasting_reports(monkeypatch):
    """Agents' reports are sent only once here."""
    monkeypatch.setattr(_upstream_forecast, 'LOAD_REPORT_TTL_S', 30)
    monkeypatch.setattr(_transit_delay, 'REPORT_TTL_S', 30)


async def add_engines(world, *names):
    """Add engines on hosts of their own."""
    for name in names:
        world.add_replica(name, 'llm', model='m', loaded=1, ip=HOST_IPS[name])
    await world.ready()
    for name in names:
        report(world, name)


def report(world, name, *, transit_s=0.0, **more):
    """Send the entries a load report, with the delay of what a host receives."""
    load = EngineLoad(
        address=world.addresses[name],
        reachable=True,
        weights=world.replicas[name].weights,
        link_delay_s=transit_s,
        **more,
    )
    for entry in world.entries:
        entry.upstreams.on_load(load)


def transit_of(world, name):
    return world.entries[0].upstreams.links.transit(HOST_IPS[name])


def forecast_of(world, name):
    return world.entries[0].upstreams._table.by_id[name]


async def draft(world, *, path='/draft/x', **headers):
    return await world.ask(path, method='POST', X_Model='m', **headers)


def hold_connections(world, during):
    """Call a function between the choice of an upstream and the send."""
    pool = world.entries[0].upstreams.pool
    acquire = pool.acquire

    async def acquire_slowly(address, **more):
        conn = await acquire(address, **more)
        during()
        return conn

    pool.acquire = acquire_slowly


class TestChoice:
    def test_an_upstream_behind_a_slow_link_is_avoided(self):
        async def check(world):
            await add_engines(world, 'e0', 'e1')
            report(world, 'e0', transit_s=SLOW_TRANSIT_S)
            for _ in range(8):
                assert (await draft(world)).status == 200
            assert not world.replicas['e0'].runs

        checked(check, plain=0, engines=0)

    def test_a_smaller_delay_counts_as_time_to_the_first_event(self):
        async def check(world):
            await add_engines(world, 'e0', 'e1')
            report(world, 'e0', transit_s=SLOW_TRANSIT_S - 0.1)
            for _ in range(8):
                assert (await draft(world)).status == 200
            assert not world.replicas['e0'].runs

        checked(check, plain=0, engines=0)

    def test_an_upstream_whose_reports_are_lost_is_avoided(self):
        async def check(world):
            await add_engines(world, 'e0', 'e1')
            forecast = forecast_of(world, 'e0')
            forecast.usual_report_age_s = -SLOW_TRANSIT_S
            for _ in range(8):
                assert (await draft(world)).status == 200
            assert not world.replicas['e0'].runs

        checked(check, plain=0, engines=0)

    def test_all_are_used_if_all_reports_are_lost(self):
        """Guards against refusals while agents restart and engines serve."""

        async def check(world):
            await add_engines(world, 'e0')
            forecast_of(world, 'e0').usual_report_age_s = -60
            assert (await draft(world)).status == 200

        checked(check, plain=0, engines=0)

    def test_a_lapsed_record_hides_no_slow_link(self):
        """Guards against an upstream that looks new as its record lapsed.

        Renewals of a record wait for the same full link. In a play 89
        connections timed out at a host that was listed again.
        """

        async def check(world):
            await add_engines(world, 'e0')
            transit = transit_of(world, 'e0')
            transit.on_unacknowledged(sent_at=0, now=clock_s())
            before = forecast_of(world, 'e0')
            upstreams = world.entries[0].upstreams
            upstreams._table.by_id.pop('e0')
            upstreams.refresh()
            again = forecast_of(world, 'e0')
            assert again is not before
            assert again.reported_at == before.reported_at
            assert again.transit.delay_s(clock_s()) >= SLOW_TRANSIT_S

        checked(check, plain=0, engines=0)

    def test_it_is_used_again_once_the_link_is_wide(self):
        async def check(world):
            await add_engines(world, 'e0')
            report(world, 'e0', transit_s=SLOW_S)
            report(world, 'e0')
            assert (await draft(world)).status == 200

        checked(check, plain=0, engines=0)

    def test_a_request_that_can_only_be_late_is_refused_at_once(
        self, monkeypatch
    ):
        async def check(world):
            await add_engines(world, 'e0')
            routes = world.entries[0].catalog.view.config.routes
            (goal_s,) = {route.goal_s for route in routes}
            delay_s = goal_s + SLOW_S
            assert delay_s < min(route.timeout_s for route in routes)
            monkeypatch.setattr(_transit_delay, 'MAX_TRANSIT_S', delay_s)
            report(world, 'e0', transit_s=delay_s)
            asked_at = clock_s()
            answer = await draft(world, X_Deadline_Ms='20000')
            assert answer.status == 503
            assert answer.retry_after_s > 0
            assert clock_s() - asked_at < SLOW_S
            assert not world.replicas['e0'].runs

        checked(check, plain=0, engines=0)

    def test_no_upstream_is_chosen_near_the_end_of_its_version(self):
        """Guards against bytes that reach an engine after its version's end."""

        async def check(world):
            await add_engines(world, 'e0')
            world.name_version(2)
            upstreams = world.entries[0].upstreams
            world.entries[0].catalog.view.releases.window_s = 1.9
            await world.ready()
            required = UpstreamRequirements(
                service='llm', model='m', is_retryable=True
            )
            assert upstreams.choose(required) is not None
            report(world, 'e0', transit_s=SLOW_S)
            assert upstreams.choose(required) is None

        checked(check, plain=0, engines=0)


class TestSend:
    """The link becomes slow between the choice of an upstream and the send."""

    @pytest.mark.parametrize('path', ['/draft/x', '/once/x'])
    def test_nothing_is_sent_that_arrives_after_the_deadline(self, path):
        async def check(world):
            await add_engines(world, 'e0')
            hold_connections(
                world, lambda: report(world, 'e0', transit_s=SLOW_S)
            )
            answer = await draft(world, path=path, X_Deadline_Ms='900')
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, plain=0, engines=0)

    def test_nothing_is_sent_near_the_end_of_a_version(self):
        async def check(world):
            await add_engines(world, 'e0')
            world.name_version(2)
            world.entries[0].catalog.view.releases.window_s = 2.6
            await world.ready()
            hold_connections(
                world, lambda: report(world, 'e0', transit_s=2 * SLOW_S)
            )
            assert (await draft(world)).status == 503
            assert not world.replicas['e0'].runs

        checked(check, plain=0, engines=0)

    def test_the_upstream_gets_the_time_that_is_left_at_its_arrival(self):
        """Guards against runs that go on after their callers have left.

        An upstream counts the time left from the arrival of the request.
        """

        async def check(world):
            await add_engines(world, 'e0')
            report(world, 'e0', transit_s=SLOW_S)
            answer = await draft(world, X_Deadline_Ms='3000')
            assert answer.status == 200
            (run,) = world.replicas['e0'].runs
            assert 1000 < run.left_ms <= 2000

        checked(check, plain=0, engines=0)


class TestSecondSend:
    @pytest.mark.default_timeouts
    @pytest.mark.parametrize(
        'reported', [{'transit_s': SLOW_S}, {'running': 8, 'queued': 2000}]
    )
    def test_nothing_is_sent_again_that_would_begin_after_the_deadline(
        self, reported
    ):
        """Guards against a second run for a caller that has left by then.

        The other upstream is behind a slow link, or has a long queue.
        """

        async def check(world):
            await add_engines(world, 'e0', 'e1')
            report(world, 'e1', **reported)
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            answer = await draft(world, X_Deadline_Ms='1500')
            assert answer.status in {502, 504}
            assert len(world.replicas['e0'].runs) == 1
            assert not world.replicas['e1'].runs

        checked(check, plain=0, engines=0)

    @pytest.mark.default_timeouts
    def test_it_is_sent_again_where_it_can_begin_in_time(self):
        async def check(world):
            await add_engines(world, 'e0', 'e1')
            report(world, 'e1', transit_s=SLOW_S)
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            answer = await draft(world, X_Deadline_Ms='2900')
            assert answer.status == 200
            assert len(world.replicas['e1'].runs) == 1

        checked(check, plain=0, engines=0)


class TestObservation:
    """What an entry itself sees of a link."""

    def test_an_upstream_that_is_slow_at_work_has_no_slow_link(self):
        """Guards against a busy engine that is taken for a slow link."""

        async def check(world):
            await add_engines(world, 'e0')
            world.replicas['e0'].faults.switch_on(fault('slow', 1, 0.4))
            assert (await draft(world)).status == 200
            assert not transit_of(world, 'e0').delay_s(clock_s())

        checked(check, plain=0, engines=0)

    def test_time_on_the_link_is_not_time_at_work(self, monkeypatch):
        """Guards against an engine that is avoided though its link is wide again."""

        async def check(world):
            await add_engines(world, 'e0')
            world.replicas['e0'].faults.switch_on(fault('slow', 1, 0.4))
            hold_back(world)
            assert (await draft(world)).status == 200
            (begun,) = told
            assert begun['transit_s'] >= 0.3

        told = []
        monkeypatch.setattr(
            UpstreamForecast, 'on_begun', lambda *_, **more: told.append(more)
        )
        checked(check, plain=0, engines=0)

    def test_unacknowledged_bytes_show_a_slow_link(self):
        async def check(world):
            await add_engines(world, 'e0')
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            hold_back(world)
            asked = asyncio.ensure_future(draft(world))
            transit = transit_of(world, 'e0')
            await world.until(
                lambda: transit.delay_s(clock_s()) >= SLOW_TRANSIT_S
            )
            asked.cancel()

        checked(check, plain=0, engines=0)

    @pytest.mark.default_timeouts
    def test_a_connection_that_times_out_shows_a_slow_link(self):
        async def check(world):
            await add_engines(world, 'e0')
            pool = world.entries[0].upstreams.pool
            pool._open = never_connected
            await draft(world)
            transit = transit_of(world, 'e0')
            assert transit.delay_s(clock_s()) > 0

        checked(check, plain=0, engines=0)

    @pytest.mark.default_timeouts
    def test_a_timeout_that_is_noticed_late_shows_no_longer_delay(
        self, monkeypatch
    ):
        """Guards against a suspended entry that takes all links for slow."""

        async def check(world):
            await add_engines(world, 'e0')
            pool = world.entries[0].upstreams.pool
            pool._open = never_connected
            transit = transit_of(world, 'e0')
            asked = asyncio.ensure_future(draft(world))
            await asyncio.sleep(CONNECT_S / 2)
            monkeypatch.setattr(_attempt, 'clock_s', lambda: clock_s() + 5)
            await asked
            assert transit._unacknowledged_s <= 2 * CONNECT_S

        checked(check, plain=0, engines=0)

    def test_all_upstreams_of_a_host_share_what_is_known(self):
        async def check(world):
            await add_engines(world, 'e0')
            ip = HOST_IPS['e0']
            world.add_replica('p0', 'plain', ip=ip)
            await world.ready()
            report(world, 'e0', transit_s=SLOW_S)
            assert is_slow_to_reach(forecast_of(world, 'p0'), clock_s())

        checked(check, plain=0, engines=0)


def hold_back(world):
    """Make an entry see the bytes that it sends as unacknowledged."""
    pool = world.entries[0].upstreams.pool
    acquire = pool.acquire

    async def acquire_held(address, **more):
        return HeldBack(await acquire(address, **more))

    pool.acquire = acquire_held


class HeldBack:
    """A connection whose bytes the peer never acknowledges."""

    unsent_bytes = 617

    def __init__(self, conn):
        self._conn = conn

    def __getattr__(self, name):
        return getattr(self._conn, name)


async def never_connected(_address, timeout_s):
    """Fail like a connection to a host that doesn't answer."""
    from crowrudder_daemon.http import NotConnectedError

    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.Event().wait()
    except TimeoutError as exc:
        raise NotConnectedError('not connected', step='connect') from exc


class TestReportedDelay:
    """A host reports the delay of its link while weights use it."""

    def test_an_agent_probes_entries_while_it_fetches_weights(self):
        async def check(world):
            await world.add_agent(0, loaded=1)
            (agent,) = world.agents
            probe = agent.link_probe
            probe._is_active = lambda: True
            await world.until(lambda: probe._round_trips._answers)
            assert probe.delay_s() < SLOW_TRANSIT_S

        checked(check, plain=0, engines=0)

    def test_an_idle_agent_probes_nobody(self):
        async def check(world):
            await world.add_agent(0, loaded=1)
            (agent,) = world.agents
            await world.until(
                lambda: agent.keeper.status()['shares'].get('m@1') == 1
            )
            assert not agent.library.uses_link()

        checked(check, plain=0, engines=0)

    def test_the_delay_reaches_the_entries(self):
        async def check(world):
            await world.add_agent(0, loaded=1)
            (agent,) = world.agents
            agent.watch._link_delay_s = lambda: SLOW_S + 0.05
            transit = world.entries[0].upstreams.links.transit(agent.node.ip)
            await world.until(lambda: transit.delay_s(clock_s()) == SLOW_S)

        checked(check, plain=0, engines=0)

    def test_weights_yield_while_the_delay_is_long(self):
        async def check(world):
            await world.add_agent(0, loaded=1)
            (agent,) = world.agents
            agent.link_probe.delay_s = lambda: SLOW_S
            library = agent.library
            transfers = library.versions.transfers
            await world.until(lambda: 'm@1' in transfers)
            await world.until(lambda: transfers['m@1'].origin.is_slow)
            assert library._uplink.adaptive.is_limited
            assert library._downlink.adaptive.is_limited

        checked(check, plain=0, engines=0)
