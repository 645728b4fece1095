"""Requests that are admitted in time and wait near a version's end."""

from __future__ import annotations

import asyncio

from crowrudder_core.forecast import _upstream_forecast
from crowrudder_daemon._clock import clock_s
from crowrudder_model.messages import EngineLoad
from support.fleet_checks import checked, fault


class TestDeadlineAfterConnecting:
    def test_checks_the_time_to_begin_again_after_connecting(self, monkeypatch):
        """Guards against a send just before the version's end.

        An engine is chosen 1.6 s before the end, and the connection to it takes
        0.9 s. If the time to begin were checked only before the wait for the
        connection, the request would be sent with less than the least time
        left, and begin on the old version after its end.
        """
        # The agent's load report is sent only once here.
        monkeypatch.setattr(_upstream_forecast, 'LOAD_REPORT_TTL_S', 30)

        async def check(world):
            announce_second_version(world, end_s=1.6)
            await world.ready()
            report_changing(world, 'e1')
            delay_connections(world.entries[0], by_s=0.9)
            answer = await ask_model(world, '/draft/x')
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, entries=1)


class TestNotRetryable:
    def test_a_request_that_may_not_be_retried_is_cancelled_too(
        self, monkeypatch
    ):
        """Guards against requests that begin on an old version after its end.

        This concerns requests that may not be repeated, those on their last
        attempt, and any while the retry budget is empty. Such a request is sent
        over 1.6 s before the end and waits at the engine for longer. If only
        retryable requests were cancelled, it would begin after the end: 1.6 s
        is not enough for every queue.
        """
        monkeypatch.setattr(_upstream_forecast, 'LOAD_REPORT_TTL_S', 30)

        async def check(world):
            announce_second_version(world, end_s=2.4)
            await world.ready()
            report_changing(world, 'e1')
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            releases = world.entries[0].catalog.view.releases
            answer = await ask_model(world, '/once/x')
            assert world.replicas['e0'].runs
            assert clock_s() < releases.ends_at('m', 1)
            assert answer.status == 502

        checked(check, entries=1)


def announce_second_version(world, *, end_s):
    """Announce a second version, which e1 holds; the first ends soon."""
    world.replicas['e1'].weights = 2
    world.list_replica('e1', 'llm')
    world.name_version(2)
    for entry in world.entries:
        entry.catalog.view.releases.window_s = end_s


def report_changing(world, name):
    """Report that a replica is changing, so that it gets no requests."""
    load = EngineLoad(
        address=world.addresses[name],
        reachable=True,
        weights=world.replicas[name].weights,
        is_changing=True,
    )
    for entry in world.entries:
        entry.upstreams.on_load(load)


def delay_connections(entry, *, by_s):
    """Delay an entry's connections to upstreams."""
    pool = entry.upstreams.pool
    real = pool.acquire

    async def acquire(*args, **more):
        await asyncio.sleep(by_s)
        return await real(*args, **more)

    pool.acquire = acquire


async def ask_model(world, path):
    return await world.ask(path, method='POST', request_id='a', X_Model='m')


class TestOverdueLoadReport:
    """Guards against sends over a link that delays all traffic for seconds."""

    def test_an_upstream_with_an_overdue_load_report_gets_nothing_near_the_end(
        self,
    ):
        async def check(world):
            announce_second_version(world, end_s=1.55)
            await world.ready()
            report_changing(world, 'e1')
            report_load(world, 'e0', age_s=1.9)
            answer = await ask_model(world, '/draft/x')
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, entries=1)

    def test_an_upstream_with_a_recent_load_report_gets_the_request(self):
        async def check(world):
            announce_second_version(world, end_s=1.55)
            await world.ready()
            report_changing(world, 'e1')
            report_load(world, 'e0', age_s=0)
            answer = await ask_model(world, '/draft/x')
            assert answer.status == 200

        checked(check, entries=1)


def report_load(world, name, *, age_s):
    """Send the entries a load report of the given age for an upstream."""
    load = EngineLoad(address=world.addresses[name], reachable=True, weights=1)
    for entry in world.entries:
        entry.upstreams.on_load(load, age_s=age_s)
