"""Loads that meet at one engine near a version's end, and late looks."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import Any
from unittest.mock import AsyncMock, Mock

import pytest

from crowrudder_core.catalog import Releases
from crowrudder_core.forecast import _outlook
from crowrudder_core.transfer import full
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet.ports import EngineReading
from crowrudder_daemon.fleet_agent import _loader
from crowrudder_daemon.fleet_agent._active_transfer import Collecting
from crowrudder_daemon.fleet_agent._end_guard import EndGuard
from crowrudder_daemon.fleet_agent._goal import Goal
from crowrudder_daemon.fleet_agent._keeper import WeightsKeeper
from crowrudder_daemon.fleet_agent._library import Part
from crowrudder_daemon.fleet_agent._loader import Load, Loader
from crowrudder_model.fleet import LayerRange
from crowrudder_standins._slots import Slots
from crowrudder_standins.origin import Pacer
from support.agent_stubs import fake_watch, stub
from support.aio import run
from support.fleet_checks import checked, fault

LAYERS = 16
CHUNKS = 8
ALL_CHUNKS = full(CHUNKS)


class TestClosing:
    """What an engine takes in place of a version that ends."""

    def test_what_was_given_up_for_a_newer_version_closes_it_too(self):
        """A request began on an old version after its end.

        Symptom: a request waits at an engine, and begins on version 1 after
        its end; the agent says every 0.2 s that the engine isn't closed yet.
        Sequence: the host holds some layers of version 2, version 3 is named
        0.6 s before version 1 ends, and nothing of it has come yet. Cause:
        the transfer of version 2 is given up for the newer one; it was still
        chosen for its chunks, and then refused for having been given up.
        """

        async def check(world):
            replica = await world.add_agent(0, loaded=1, version_s=2)
            replica.places = Slots(1, 4)
            (agent,) = world.agents
            shares = agent.keeper.status
            await world.until(lambda: shares()['shares'].get('m@1') == 1)
            world.origin.pacer = Pacer(16384.0)
            world.name_version(2)
            releases = agent.catalog.view.releases
            await world.until(lambda: releases.newest('m') is not None)
            ends_at = releases.ends_at('m', 1)
            slow_s = ends_at + 0.1 - clock_s()
            replica.faults.switch_on(fault('slow', 1, slow_s))
            runs = asyncio.ensure_future(
                world.ask_engine('a0', request_id='runs', weights=1)
            )
            await world.until(lambda: replica.runs_of('runs'))
            waits = asyncio.ensure_future(
                world.ask_engine('a0', request_id='waits', weights=1)
            )
            await asyncio.sleep(ends_at - 0.6 - clock_s())
            world.name_version(3)
            await world.until(lambda: 'm@3' in shares()['shares'])
            world.origin.pacer = Pacer(1.0)
            assert 0 < shares()['shares']['m@2'] < 1
            assert (await waits).status == 503
            assert not replica.runs_of('waits')
            await runs

        checked(check, entries=1, plain=0, engines=0)

    @pytest.mark.parametrize(
        ('second', 'third', 'third_age_s', 'taken'),
        [(0xFF, 0b11, 1.0, 2), (0x7F, 0b11, 1.0, 2), (0xFF, 0b11, 9.0, 3)],
        ids=['whole', 'nearly whole', 'about to end'],
    )
    def test_what_can_serve_first_is_taken(
        self, second, third, third_age_s, taken
    ):
        """An engine served nothing for seconds.

        Symptom: after version 1 has ended the engine holds a few layers of
        version 3 and answers nothing until all of it has come, though
        version 2 is whole at its host, or soon will be, and is in force for
        seconds. Sequence: the source of version 3 is away, so that the host
        reads version 2 as well; version 1 ends. Cause: the engine was given
        the newest version of which anything was held, and no older one is
        loaded over a part of a newer one.
        """

        async def check():
            releases = Releases(window_s=9.7)
            releases.on_named('m', 2, age_s=9.5, now=clock_s())
            releases.on_named('m', 3, age_s=third_age_s, now=clock_s())
            loader = stub(is_at_work=False, load_layers=AsyncMock())
            shelf = {'m@2': held(second), 'm@3': held(third)}
            guarding = asyncio.ensure_future(
                guard_of(releases, loader, shelf).guard()
            )
            await asyncio.sleep(0.2)
            guarding.cancel()
            load, *_ = loader.load_layers.call_args.args
            assert load.version == taken

        run(check())


class TestTurns:
    """One load waits until another one has ended."""

    def test_no_older_version_follows_a_part_of_a_newer_one(self):
        """A version was loaded over a part of a newer one.

        Symptom: an engine changes from a part of version 3 to version 2.
        Sequence: version 1 ends, and a part of 3 is being loaded; version 2
        is whole at the host meanwhile, is found of use, and waits for its
        turn. Cause: whether it is of use was looked at before the wait.
        """

        async def check():
            engine = FakeEngine(EngineReading(weights=1, layers=ALL))
            loader = loader_of(engine, named(2, 3))
            part = asyncio.ensure_future(
                loader.load_layers(Load('m', 3, 1), held(), LayerRange(0, 2))
            )
            await asyncio.sleep(0)
            assert loader.is_at_work
            await loader.load(
                Goal('m', 2, clock_s(), 3), stub(version=2), held()
            )
            await part
            assert engine.loads == [3]

        run(check())

    def test_no_part_follows_the_whole_version(self):
        """An engine that held a version whole was told to load a part of it.

        Symptom: an engine that serves alone holds a third of its layers
        again, and takes no requests. Sequence: the host's part is due, and
        waits while all layers are being loaded. Cause: what the engine holds
        was looked at before the wait.
        """

        async def check():
            engine = FakeEngine(EngineReading(weights=1, layers=ALL))
            loader = loader_of(engine, named(2))
            whole = asyncio.ensure_future(
                loader.load_layers(Load('m', 2, ALL_CHUNKS), held(), ALL)
            )
            await asyncio.sleep(0)
            await loader.load_layers(Load('m', 2, 1), held(), LayerRange(0, 2))
            await whole
            assert engine.reading.layers == ALL

        run(check())


class TestPartAfterClosing:
    def test_the_hosts_part_follows_what_closed_the_engine(self):
        """No path had all layers though the hosts held them together.

        Symptom: after a version has ended everywhere, requests are refused
        until a host holds all of the next one. Sequence: each engine is
        closed with the few layers that its host holds then; the host's own
        part of the model is complete a moment later. Cause: an engine that
        holds any layers of the newest version was not given its part.
        """

        async def check():
            few = EngineReading(weights=3, layers=LayerRange(0, 2))
            own = Part(layers=LayerRange(5, 10), chunks=0b11100, is_whole=False)
            releases = named(2, 3)
            keeper = keeper_of(FakeEngine(few), releases, own)
            newest = Collecting(
                Goal('m', 3, clock_s(), 3),
                stub(version=3, artifact=stub(name='m@3')),
                held(0b11101),
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await keeper._look_at(newest, {newest: None})
            layers = [each.args[-1] for each in keeper.loads.call_args_list]
            assert layers == [own.layers]

        run(check())


class TestOfNoUse:
    def test_a_version_of_no_use_is_not_looked_at_without_a_pause(
        self, monkeypatch
    ):
        """An agent used all of its processor's time for nothing.

        Symptom: the loop wakes late on a host that has nothing to do.
        Sequence: the engine holds a part of version 3 from the life of the
        agent before; the agent that starts has heard of version 2 only, and
        holds it. Cause: a version of no use is neither loaded nor waited
        with.
        """
        rounds = []
        pursue = WeightsKeeper._pursue

        async def counted(keeper, goal):
            rounds.append(goal)
            await pursue(keeper, goal)

        monkeypatch.setattr(WeightsKeeper, '_pursue', counted)

        async def check(world):
            world.name_version(2)
            replica = await world.add_agent(0)
            replica.weights, replica.layers = 3, (0, 4)
            (agent,) = world.agents
            shares = agent.keeper.status
            await world.until(lambda: shares()['shares'].get('m@2') == 1)
            before = len(rounds)
            await asyncio.sleep(1)
            assert replica.weights == 3
            assert len(rounds) - before < 10

        checked(check, entries=1, plain=0, engines=0)


class TestDrain:
    def test_what_runs_on_a_part_may_end(self, monkeypatch):
        """Streams on paths were cut off at once by a load.

        Symptom: streams over several engines break off as one of them loads
        a newer version, though most would have ended within the wait.
        Sequence: the engine holds a part of version 2, version 3 is whole at
        its host. Cause: the wait was bounded by the end of the version that
        is held whole; there is none, and the end of that is long past.
        """
        monkeypatch.setattr(_loader, 'LEAVE_PATHS_S', 0)

        async def check():
            part = LayerRange(0, 4)
            reading = EngineReading(weights=2, layers=part, running=1)
            engine = FakeEngine(reading)
            releases = named(2, age_s=100)
            releases.on_named('m', 3, age_s=0, now=clock_s())
            loader = loader_of(engine, releases)
            began_at = clock_s()
            await loader.load(
                Goal('m', 3, clock_s(), 3), stub(version=3), held()
            )
            assert clock_s() - began_at > _loader.DRAIN_S

        run(check())


class TestNamedMeanwhile:
    def test_a_version_named_during_the_wait_for_a_connection_counts(
        self, monkeypatch
    ):
        """A request was sent on a version that ended at the same moment.

        Symptom: a request begins on an old version after its end, and nothing
        takes it back. Sequence: an engine is chosen, and while the connection
        to it is made the entry hears of a newer version whose age leaves 0.5
        s. Cause: what waits is told of new versions from the send on, and the
        end that is looked at before the send is the one of the choice.
        """
        monkeypatch.setattr(_outlook, 'WORD_LIVE_S', 30)

        async def check(world):
            (entry,) = world.entries
            releases = entry.catalog.view.releases
            releases.window_s = 0.5
            pool = entry.upstreams.pool
            real = pool.take

            async def take(*args, **more):
                if releases.newest('m') is None:
                    world.name_version(2)
                    await world.ready()
                return await real(*args, **more)

            monkeypatch.setattr(pool, 'take', take)
            answer = await world.ask(
                '/draft/x', method='POST', request_id='a', X_Model='m'
            )
            assert answer.status == 503
            assert not world.replicas['e0'].runs
            assert not world.replicas['e1'].runs

        checked(check, entries=1)


ALL = LayerRange(0, LAYERS)
IDLE = stub(layers=LayerRange(), weights=0)
"""An engine that holds nothing, by the records."""


class FakeEngine:
    """An engine that carries an order out within 0.1 s."""

    def __init__(self, reading):
        self.reading = reading
        self.loads = []
        self.put_chunk = AsyncMock()

    async def load(self, model, version, *, may_cut_off, layers):
        self.loads.append(version)
        await asyncio.sleep(0.1)
        self.reading = EngineReading(weights=version, layers=layers or ALL)
        return True


def loader_of(engine, releases):
    """Give a loader beside an engine, and nothing else."""
    watch = fake_watch(engine)
    view = stub(releases=releases, config=None)
    runtime = stub(log=logging.getLogger('crowrudder.test'), metrics=Mock())
    node = stub(service='llm')
    return Loader(runtime, node, view=view, engine=engine, watch=watch)


def named(*versions, age_s=0.0):
    """Give versions that were named so long ago."""
    releases = Releases(window_s=9.7)
    for version in versions:
        releases.on_named('m', version, age_s=age_s, now=clock_s())
    return releases


def guard_of(releases, loader, transfers):
    """Give a guard of an engine that holds version 1, and has no own part."""
    figures = stub(model='m', layers=LAYERS)
    service = stub(engine=figures)
    cfg = stub(service=lambda _: service)
    return EndGuard(
        stub(log=logging.getLogger('crowrudder.test')),
        stub(service='llm'),
        view=stub(releases=releases, config=cfg),
        watch=fake_watch(FakeEngine(EngineReading(weights=1, layers=ALL))),
        library=stub(
            shelf=stub(transfers=transfers),
            part=lambda *_: Part(),
        ),
        loader=loader,
    )


def keeper_of(engine, releases, own):
    """Give a keeper whose host has an own part, and its orders of parts."""
    loader = stub(load_layers=AsyncMock())
    keeper: Any = WeightsKeeper(
        stub(log=logging.getLogger('crowrudder.test')),
        stub(service='llm'),
        view=stub(releases=releases, engine_hosts=lambda _: {0: IDLE}),
        watch=fake_watch(engine),
        engine=engine,
        library=stub(part=lambda *_: own),
        loader=loader,
    )
    keeper.loads = loader.load_layers
    return keeper


def held(chunks=ALL_CHUNKS):
    """Give a transfer of which these chunks (bits) are held."""
    return stub(
        count=CHUNKS,
        at_hand=chunks,
        held=chunks,
        dropped=False,
        assert_whole=lambda: None,
        chunk=lambda _index: b'chunk',
    )
