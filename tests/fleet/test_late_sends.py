"""Requests that were admitted in time, and wait near a version's end."""

from __future__ import annotations

import asyncio

from crowrudder_core.forecast import _outlook
from crowrudder_daemon._clock import clock_s
from crowrudder_model.messages import EngineLoad
from support.fleet_checks import checked, fault


class TestSecondLook:
    def test_what_waited_for_its_connection_is_looked_at_again(
        self, monkeypatch
    ):
        """A request was sent just before its version's end.

        Symptom: a request begins on an old version after its end. Sequence:
        an engine is chosen 1.6 s before the end, the connection to it takes
        0.9 s, the request goes out with less time left than what is sent at
        all. Cause: the time to begin in was looked at before the wait for a
        connection, and not after it.
        """
        # The agent's word is told once here.
        monkeypatch.setattr(_outlook, 'WORD_LIVE_S', 30)

        async def check(world):
            end_soon(world, end_s=1.6)
            await world.ready()
            keep_away(world, 'e1')
            delay_connections(world.entries[0], by_s=0.9)
            answer = await ask_model(world, '/draft/x')
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, entries=1)


class TestNotMovable:
    def test_one_that_may_not_be_sent_again_is_taken_back_too(
        self, monkeypatch
    ):
        """A request began on an old version after its end.

        Symptom: a request that may not repeat, or one that was moved on to
        its last engine, or any while no retry is left, begins on an old
        version after its end. Sequence: it is sent over 1.6 s before the
        end, and waits at the engine for longer. Cause: only what can be sent
        elsewhere was taken away; the rest counted on 1.6 s being enough for
        every queue.
        """
        monkeypatch.setattr(_outlook, 'WORD_LIVE_S', 30)

        async def check(world):
            end_soon(world, end_s=2.4)
            await world.ready()
            keep_away(world, 'e1')
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            releases = world.entries[0].catalog.view.releases
            answer = await ask_model(world, '/once/x')
            assert world.replicas['e0'].runs
            assert clock_s() < releases.ends_at('m', 1)
            assert answer.status == 502

        checked(check, entries=1)


def end_soon(world, *, end_s):
    """Name a second version, which one replica has; the first ends soon."""
    world.replicas['e1'].weights = 2
    world.list_replica('e1', 'llm')
    world.name_version(2)
    for entry in world.entries:
        entry.catalog.view.releases.window_s = end_s


def keep_away(world, name):
    """Have the agent beside a replica ask for no requests."""
    load = EngineLoad(
        address=world.addresses[name],
        reachable=True,
        weights=world.replicas[name].weights,
        is_changing=True,
    )
    for entry in world.entries:
        entry.upstreams.on_load(load)


def delay_connections(entry, *, by_s):
    """Have an entry's connections to upstreams take so long."""
    pool = entry.upstreams.pool
    real = pool.take

    async def take(*args, **more):
        await asyncio.sleep(by_s)
        return await real(*args, **more)

    pool.take = take


async def ask_model(world, path):
    return await world.ask(path, method='POST', request_id='a', X_Model='m')


class TestOverdueWord:
    """Guards against sends over a link that holds everything up for seconds."""

    def test_an_upstream_whose_word_is_overdue_gets_nothing_near_the_end(self):
        async def check(world):
            end_soon(world, end_s=1.55)
            await world.ready()
            keep_away(world, 'e1')
            tell(world, 'e0', age_s=1.9)
            answer = await ask_model(world, '/draft/x')
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, entries=1)

    def test_one_that_spoke_just_now_gets_it(self):
        async def check(world):
            end_soon(world, end_s=1.55)
            await world.ready()
            keep_away(world, 'e1')
            tell(world, 'e0', age_s=0)
            answer = await ask_model(world, '/draft/x')
            assert answer.status == 200

        checked(check, entries=1)


def tell(world, name, *, age_s):
    """Tell an entry the word of an upstream's agent, so old."""
    load = EngineLoad(address=world.addresses[name], reachable=True, weights=1)
    for entry in world.entries:
        entry.upstreams.on_load(load, age_s=age_s)
