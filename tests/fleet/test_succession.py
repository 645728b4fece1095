"""Runs that succeed each other, with attempts that end as a test says."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from crowrudder_core.dispatch import Answered, Broken, NotRun
from crowrudder_daemon.fleet_entry._caller_side import CallerGoneError
from crowrudder_daemon.fleet_entry._succession import Succession
from support.aio import run


class Attempt:
    """An attempt whose outcome a test sets."""

    def __init__(self):
        self.is_streamed = False
        self.time_to_first_event_s = -1.0
        self.is_cancelled = False
        self._outcome = asyncio.get_running_loop().create_future()

    def end(self, outcome):
        if isinstance(outcome, Exception):
            self._outcome.set_exception(outcome)
        else:
            self._outcome.set_result(outcome)

    async def run(self):
        try:
            return await self._outcome
        except asyncio.CancelledError:
            self.is_cancelled = True
            raise


def attempt() -> Any:
    return Attempt()


class Request:
    """Collects the outcomes of the runs."""

    def __init__(self):
        self.side: Any = SimpleNamespace(has_begun=False)
        self.ended = []

    def on_run_ended(self, attempt, ending, *, is_last):
        self.ended.append((attempt, ending, is_last))


class World:
    """A silent run and one that stands by for it."""

    def __init__(self):
        self.request = Request()
        self.runs = Succession(self.request)
        self.first = attempt()
        self.second = attempt()
        self.job: asyncio.Future[Any] = asyncio.ensure_future(
            self.runs.run(self.first)
        )

    async def begin(self):
        await asyncio.sleep(0)
        self.runs.stand_by(self.second)
        await asyncio.sleep(0)


def checked(check):
    async def within():
        world = World()
        await world.begin()
        await check(world)

    run(within())


class TestSuccession:
    """Guards against a run that is closed with nothing in its place."""

    @pytest.mark.parametrize('outcome', [NotRun(''), Broken('')])
    def test_a_standby_that_fails_leaves_the_first(self, outcome):
        async def check(world):
            world.second.end(outcome)
            await asyncio.sleep(0.01)
            assert not world.job.done()
            assert world.request.ended == [(world.second, outcome, False)]
            assert world.runs.needs_standby(world.first)
            world.first.end(Answered(200))
            assert await world.job == (world.first, Answered(200))

        checked(check)

    def test_events_of_the_standby_close_the_first(self):
        async def check(world):
            world.runs.on_events(world.second)
            await asyncio.sleep(0.01)
            assert world.first.is_cancelled
            world.second.end(Answered(200))
            assert await world.job == (world.second, Answered(200))

        checked(check)

    def test_events_of_the_first_close_the_standby(self):
        async def check(world):
            world.runs.on_events(world.first)
            await asyncio.sleep(0.01)
            assert world.second.is_cancelled
            assert not world.job.done()
            world.first.end(Answered(200))
            await world.job

        checked(check)

    def test_an_answer_of_the_first_closes_the_standby(self):
        async def check(world):
            world.first.end(Answered(200))
            assert await world.job == (world.first, Answered(200))
            await asyncio.sleep(0)
            assert world.second.is_cancelled

        checked(check)

    def test_an_error_of_the_first_in_the_turn_of_the_other_one(self):
        """Guards against a stream that is cut for an answer that comes late."""

        async def check(world):
            world.request.side.has_begun = True
            world.first.end(Answered(404))
            world.runs.on_events(world.second)
            await asyncio.sleep(0.01)
            assert not world.second.is_cancelled
            world.second.is_streamed = True
            world.second.end(Answered(200))
            assert await world.job == (world.second, Answered(200))

        checked(check)

    def test_a_caller_that_the_standby_finds_gone_ends_the_request(self):
        async def check(world):
            world.second.end(CallerGoneError())
            with pytest.raises(CallerGoneError):
                await world.job
            assert world.first.is_cancelled

        checked(check)

    def test_a_standby_that_has_begun_is_not_taken_back(self):
        async def check(world):
            world.second.time_to_first_event_s = 0.1
            world.runs.close_unbegun('taken back')
            await asyncio.sleep(0.01)
            assert not world.second.is_cancelled
            world.first.end(Answered(200))
            await world.job

        checked(check)
