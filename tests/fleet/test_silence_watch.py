"""Log lines and figures of silent upstreams, with a fake clock."""

from __future__ import annotations

import asyncio
import logging
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest

from crowrudder_daemon.fleet_entry import _run_activity, _silence_watch
from crowrudder_daemon.fleet_entry._run_activity import RunActivity
from crowrudder_daemon.fleet_entry._silence_watch import (
    FIRST_MOVES,
    MAX_ASKED,
    POLL_INTERVAL_S,
    SilenceWatch,
)
from crowrudder_daemon.metrics import Metrics
from support.aio import run

PAUSE_S = 0.9


class World:
    """A watch whose checks happen when a test says so."""

    def __init__(self, monkeypatch, caplog):
        self.now = 1000.0
        self.reported: list[str] = []
        for module in (_run_activity, _silence_watch):
            monkeypatch.setattr(module, 'clock_s', lambda: self.now)
        monkeypatch.setattr(SilenceWatch, '_schedule', lambda _: None)
        caplog.set_level(logging.INFO)
        self._caplog = caplog
        runtime: Any = SimpleNamespace(
            log=logging.getLogger('test'), metrics=Metrics()
        )
        self.watch = SilenceWatch(runtime)

    def run_at(self, upstream_id, *, urgency=0, heard_s=0.0, name=''):
        def on_silent():
            self.reported.append(name)
            return True

        run = RunActivity(
            upstream_id=upstream_id,
            first_s=PAUSE_S,
            pause_s=PAUSE_S,
            heard_at=self.now - heard_s,
            urgency=urgency,
            on_silent=on_silent,
        )
        self.watch.add(run)
        return run

    def pass_s(self, span_s, *, late_s=0.0):
        self.now += span_s
        self.watch._due_at = self.now
        self.now += late_s
        self.watch._poll()

    def lines(self):
        return [record.message for record in self._caplog.records]


@pytest.fixture
def world(monkeypatch, caplog):
    return World(monkeypatch, caplog)


class TestLogLines:
    """Guards against a log from which no one learns that an upstream was silent."""

    def test_a_line_as_it_falls_silent_and_as_it_speaks(self, world):
        silent = [world.run_at('e0'), world.run_at('e0')]
        other = world.run_at('e1')
        world.pass_s(PAUSE_S / 2)
        other.on_heard()
        assert not world.lines()
        world.pass_s(0.6 * PAUSE_S)
        assert world.lines() == ['upstream fell silent']
        for each in silent:
            each.on_heard()
        world.pass_s(PAUSE_S / 9)
        assert world.lines() == [
            'upstream fell silent',
            'upstream speaks again',
        ]

    def test_runs_that_end_while_silent(self, world):
        run_of = world.run_at('e0')
        world.pass_s(2 * PAUSE_S)
        world.watch.remove(run_of)
        world.pass_s(POLL_INTERVAL_S)
        assert world.lines() == ['upstream fell silent', 'silent runs ended']

    def test_the_others_that_are_silent_there(self, world):
        first, *_ = (world.run_at(name) for name in ('e0', 'e0', 'e0', 'e1'))
        world.pass_s(2 * PAUSE_S)
        silence = world.watch.describe(first, after_event='7')
        assert (silence.others, silence.after_event) == (2, '7')
        assert silence.silent_s == pytest.approx(2 * PAUSE_S)


class TestWhoseSilence:
    """Guards against a silence that is charged to the upstream but isn't its own."""

    def test_a_pause_of_this_process_is_excused(self, world):
        run_of = world.run_at('e0')
        world.pass_s(PAUSE_S / 2, late_s=2 * PAUSE_S)
        assert not run_of.is_silent(world.now)
        assert not world.lines()
        silence = world.watch.describe(run_of, after_event='')
        assert silence.loop_late_s == pytest.approx(2 * PAUSE_S)

    def test_what_a_slow_caller_holds_back_is_excused(self, world):
        async def check():
            held = asyncio.get_running_loop().create_future()
            run_of = world.run_at('e0')
            run_of.on_held(held)
            world.pass_s(2 * PAUSE_S)
            assert not run_of.is_silent(world.now)
            held.set_result(None)
            await asyncio.sleep(0)
            assert not run_of.is_silent(world.now)
            world.pass_s(2 * PAUSE_S)
            assert run_of.is_silent(world.now)

        run(check())


class TestOrder:
    """Guards against a last retry that the least urgent request takes.

    And against a wave of runs from one upstream to the others.
    """

    def test_the_urgent_first_then_who_waits_longest(self, world):
        world.run_at('e0', urgency=2, heard_s=0.3, name='late')
        world.run_at('e1', urgency=1, heard_s=0.1, name='second')
        world.run_at('e2', urgency=1, heard_s=0.2, name='first')
        world.pass_s(2 * PAUSE_S)
        assert world.reported == ['first', 'second', 'late']

    def test_those_of_one_upstream_move_in_growing_numbers(self, world):
        for _ in range(40):
            world.run_at('e0')
        world.pass_s(2 * PAUSE_S)
        moved = [len(world.reported)]
        for _ in range(3):
            world.pass_s(POLL_INTERVAL_S)
            moved.append(len(world.reported) - sum(moved))
        assert moved == [
            FIRST_MOVES,
            2 * FIRST_MOVES,
            4 * FIRST_MOVES,
            8 * FIRST_MOVES,
        ]

    def test_all_runs_of_an_upstream_that_has_ended_move_at_once(self, world):
        """Guards against callers that wait for a host without power."""
        for _ in range(40):
            world.run_at('e0')
        speaking = world.run_at('e0', name='speaks')
        world.run_at('e1', name='other')
        world.watch.on_upstream_ended('e0')
        speaking.on_heard()
        world.pass_s(POLL_INTERVAL_S)
        assert world.reported == [''] * 40

    def test_a_run_that_cannot_move_opens_no_way_for_a_wave(self, world):
        """Guards against a limit that grows while nothing moves."""
        blocked = world.run_at('e0')
        blocked.on_silent = bool
        for _ in range(9):
            world.pass_s(PAUSE_S)
        for _ in range(20):
            world.run_at('e0')
        world.pass_s(2 * PAUSE_S)
        assert len(world.reported) == FIRST_MOVES

    def test_one_check_asks_a_bounded_number_and_all_in_the_end(self, world):
        """Guards against a turn of the loop that grows with the runs."""
        asked: list[int] = []
        for number in range(2 * MAX_ASKED + 1):
            ask = partial(asked.append, number)
            world.run_at('e0').on_silent = lambda ask=ask: bool(ask())
        for checks in range(1, 4):
            world.pass_s(2 * PAUSE_S)
            assert len(asked) <= checks * MAX_ASKED
        assert sorted(asked) == list(range(2 * MAX_ASKED + 1))
