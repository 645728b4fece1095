"""Requests queued at an engine whose version ends."""

from __future__ import annotations

import asyncio
import math

import pytest

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_agent._goal import is_worth_loading
from crowrudder_daemon.fleet_agent._loader import LEAVE_PIPELINES_S
from crowrudder_standins._slots import Slots
from crowrudder_standins.fleet_replica import stream_of
from crowrudder_standins.origin import Pacer
from support.fleet_checks import checked, fault

WINDOW_S = 2.0
"""Time from the publication of the new version to the end of the old one."""

SLOW_LINK = 8192.0
"""Bytes per second of the origin: a complete copy takes four seconds."""


class TestQueues:
    """Requests in an engine's queue when its version ends."""

    @pytest.mark.parametrize('freed_after_s', [0.2, 1.0])
    def test_no_queued_request_starts_after_the_end(self, freed_after_s):
        """Guard against requests that start on an old version after its end.

        Two requests started on version 2 9.81 s after version 3 was published,
        with a window of 9.7 s. An entry sent them 1.45 s before the end to an
        engine forecast to start them at once, and they waited there for 1.55
        s. The entry cancelled them 0.3 s before the end, but its close was
        delayed 0.7 s on a congested link. The sender alone enforced the end,
        with a constant margin against two unbounded delays: the queue and the
        transmission of the close. In this test nothing is cancelled at all.
        """

        async def check(world):
            replica, agent = await busy_engine(world)
            ends_at = agent.catalog.view.releases.ends_at('m', 1)
            left_s = ends_at - clock_s()
            slow_s = left_s + freed_after_s
            replica.faults.switch_on(fault('slow', 1, slow_s))
            runs = asyncio.ensure_future(
                world.ask_engine('a0', request_id='runs', weights=1)
            )
            await world.until(lambda: replica.runs_of('runs'))
            waits = await world.ask_engine('a0', request_id='waits', weights=1)
            assert waits.status == 503
            assert waits.header('x-not-executed')
            assert not replica.runs_of('waits')
            # A running request is not cut off.
            assert (await runs).body == stream_of('runs')

        checked(check, entries=1, plain=0, engines=0)

    def test_engine_loads_new_version_eventually(self):
        async def check(world):
            replica, _ = await busy_engine(world)
            replica.faults.switch_on(fault('slow', 1, WINDOW_S))
            await asyncio.gather(
                world.ask_engine('a0', request_id='runs', weights=1),
                world.ask_engine('a0', request_id='waits', weights=1),
            )
            await world.until(lambda: replica.whole_weights == 2)

        checked(check, entries=1, plain=0, engines=0)


class TestNothingHeld:
    """Guards against an engine that stays open as no chunk reached its host.

    A host's link became narrow right after a version was published, and no
    layer of it was complete when the previous version ended. Requests that
    had waited in the queue of the link began on the expired version.
    """

    def test_no_request_starts_after_the_end(self):
        async def check(world):
            replica, agent = await busy_engine(world, origin_rate=1)
            releases = agent.catalog.view.releases
            await world.until(lambda: clock_s() >= releases.ends_at('m', 1))
            late = await world.ask_engine('a0', request_id='late', weights=1)
            assert late.status in {421, 503}
            assert late.header('x-not-executed')
            assert not replica.runs_of('late')
            assert not agent.library.versions.transfers['m@2'].held

        checked(check, entries=1, plain=0, engines=0)

    def test_a_running_request_ends_whole(self):
        async def check(world):
            replica, agent = await busy_engine(world, origin_rate=1)
            replica.faults.switch_on(fault('slow', 1, WINDOW_S + 0.2))
            runs = await world.ask_engine('a0', request_id='runs', weights=1)
            assert runs.body == stream_of('runs')
            assert not agent.watch.whole

        checked(check, entries=1, plain=0, engines=0)

    def test_entries_are_told_of_no_layers_of_the_expired_version(self):
        """Guards against pipelines over what is left of an expired version."""

        async def check(world):
            _, agent = await busy_engine(world, origin_rate=1)
            await world.until(lambda: not agent.watch.whole)
            await agent.watch.read_now()
            assert agent.watch.reading.layers
            assert not agent.watch.load_report().partial_version

        checked(check, entries=1, plain=0, engines=0)

    def test_the_newer_version_is_loaded_without_a_wait_for_pipelines(self):
        async def check(world):
            replica, agent = await busy_engine(world, origin_rate=1)
            await world.until(lambda: not agent.watch.whole)
            world.origin.pacer = Pacer(1e9)
            transfer = agent.library.versions.transfers['m@2']
            await world.until(lambda: transfer.complete)
            held_at = clock_s()
            await world.until(lambda: replica.whole_weights == 2)
            assert clock_s() - held_at < LEAVE_PIPELINES_S

        checked(check, entries=1, plain=0, engines=0)


class TestUse:
    def test_older_version_is_not_loaded_over_partial_newer_one(self):
        """Guard against a token computed by two versions of the weights.

        A host loads a third of version 3 and reports it, and an entry chooses
        a pipeline with this engine. Version 2 then becomes complete at the
        host and was loaded over the partial version, because a host without a
        complete version considered any version worth loading.
        """
        ends_at = 100.0
        assert not is_worth_loading(2, whole=0, held=3, ends_at=ends_at, now=50)
        assert is_worth_loading(2, whole=0, held=2, ends_at=ends_at, now=50)
        assert is_worth_loading(2, whole=1, held=1, ends_at=ends_at, now=50)

    def test_no_version_is_loaded_after_its_end(self):
        ends_at = 100.0
        assert is_worth_loading(2, whole=1, held=1, ends_at=ends_at, now=98)
        assert not is_worth_loading(2, whole=1, held=1, ends_at=ends_at, now=99)
        assert is_worth_loading(3, whole=1, held=1, ends_at=math.inf, now=99)


async def busy_engine(world, *, origin_rate=SLOW_LINK):
    """Return an engine with one slot that lacks a version another one has.

    The new version is read over the origin's link, in bytes per second.
    """
    world.add_replica('e0', 'llm', model='m', loaded=2)
    replica = await world.add_agent(0, loaded=1, version_s=WINDOW_S)
    replica.places = Slots(1, 4)
    (agent,) = world.agents
    await world.until(lambda: agent.keeper.status()['shares'].get('m@1') == 1)
    world.origin.pacer = Pacer(origin_rate)
    world.name_version(2)
    releases = agent.catalog.view.releases
    await world.until(lambda: releases.newest('m') is not None)
    return replica, agent
