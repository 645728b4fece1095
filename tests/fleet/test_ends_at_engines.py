"""What waits at an engine whose version ends."""

from __future__ import annotations

import asyncio
import math

import pytest

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_agent._goal import is_of_use
from crowrudder_standins._slots import Slots
from crowrudder_standins.fleet_replica import stream_of
from crowrudder_standins.origin import Pacer
from support.fleet_checks import checked, fault

WINDOW_S = 2.0
"""The old version ends so long after the new one was named."""

SLOW_LINK = 8192.0
"""Bytes a second of the origin: a whole copy takes four seconds."""


class TestQueues:
    """Requests wait in an engine's queue as its version ends."""

    @pytest.mark.parametrize('freed_after_s', [0.2, 1.0])
    def test_none_begins_after_the_end(self, freed_after_s):
        """Requests began on an old version after its end.

        Symptom: 9.81 s after version 3 was named, of 9.7 s, two requests
        begin on version 2. Sequence: an entry sends them 1.45 s before the
        end to an engine that is forecast to begin at once; they wait there
        for 1.55 s; the entry takes them back 0.3 s before the end, but its
        close waits 0.7 s in a link full of other bytes. Cause: the end was
        kept by the sender alone, and a constant stood against the sum of
        what nobody bounds: the queue, and the way of the close. Proof: here
        nothing is taken back at all.
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
            # What had begun is not cut off.
            assert (await runs).body == stream_of('runs')

        checked(check, entries=1, plain=0, engines=0)

    def test_the_engine_serves_the_new_version_in_the_end(self):
        async def check(world):
            replica, _ = await busy_engine(world)
            replica.faults.switch_on(fault('slow', 1, WINDOW_S))
            await asyncio.gather(
                world.ask_engine('a0', request_id='runs', weights=1),
                world.ask_engine('a0', request_id='waits', weights=1),
            )
            await world.until(lambda: replica.whole_weights == 2)

        checked(check, entries=1, plain=0, engines=0)


class TestUse:
    def test_no_older_version_is_loaded_over_a_part_of_a_newer_one(self):
        """A token was made by two versions of the weights.

        Symptom: one engine of a path runs another version than the others.
        Sequence: its host loads a third of version 3, tells it, and an entry
        chooses the path; version 2 is whole at that host at last, and is
        loaded over the part. Cause: a host that holds nothing whole took any
        version for a gain.
        """
        ends_at = 100.0
        assert not is_of_use(2, whole=0, held=3, ends_at=ends_at, now=50)
        assert is_of_use(2, whole=0, held=2, ends_at=ends_at, now=50)
        assert is_of_use(2, whole=1, held=1, ends_at=ends_at, now=50)

    def test_no_version_is_loaded_after_its_end(self):
        ends_at = 100.0
        assert is_of_use(2, whole=1, held=1, ends_at=ends_at, now=98)
        assert not is_of_use(2, whole=1, held=1, ends_at=ends_at, now=99)
        assert is_of_use(3, whole=1, held=1, ends_at=math.inf, now=99)


async def busy_engine(world):
    """Give an engine of one slot, late with a version that another has."""
    world.add_replica('e0', 'llm', model='m', loaded=2)
    replica = await world.add_agent(0, loaded=1, version_s=WINDOW_S)
    replica.places = Slots(1, 4)
    (agent,) = world.agents
    await world.until(lambda: agent.keeper.status()['shares'].get('m@1') == 1)
    world.origin.pacer = Pacer(SLOW_LINK)
    world.name_version(2)
    releases = agent.catalog.view.releases
    await world.until(lambda: releases.newest('m') is not None)
    return replica, agent
