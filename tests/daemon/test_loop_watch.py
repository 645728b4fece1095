"""How late the event loop wakes what is due, by a clock of the tests."""

from __future__ import annotations

import asyncio
import logging
from types import SimpleNamespace
from typing import Any

import pytest
from attrs import define, field

from crowrudder_daemon._loop_watch import (
    LATE_S,
    LOOK_S,
    TELL_S,
    Lateness,
    LoopWatch,
)
from crowrudder_daemon.metrics import Metrics
from support.aio import run
from support.process import with_bench


@define
class Clock:
    """A clock whose sleeps end as late as they are told to."""

    now: float = 1000
    late: list[float] = field(factory=list)

    def __call__(self):
        return self.now

    async def sleep(self, span_s):
        self.now += span_s + self.late.pop(0)


def lines_of(caplog):
    return [
        record
        for record in caplog.records
        if record.message == 'loop woke late'
    ]


def looked(*late):
    """Look once for each lateness; give the metrics."""
    clock = Clock(late=list(late))
    metrics = Metrics()
    runtime: Any = SimpleNamespace(
        log=logging.getLogger('test'), metrics=metrics
    )
    watch = LoopWatch(runtime, clock=clock, sleep=clock.sleep, wait_s=float)

    async def all_looks():
        while clock.late:
            await watch.look()

    run(all_looks())
    return metrics.render().decode()


class TestLoopWatch:
    def test_a_loop_that_stood_still_is_told_at_once(self, caplog):
        """Nothing told a process that stood still from one that erred.

        Symptom: a request is taken away 0.7 s too late. Sequence: its timer
        is due, the process doesn't run. Cause: nobody looked when it did.
        """
        looked(0, 0.7)
        (line,) = lines_of(caplog)
        assert (line.step, line.late_s, line.times) == ('loop', 0.7, 1)
        assert line.ago_s == 0

    def test_each_waking_is_measured_and_a_small_lateness_makes_no_line(
        self, caplog
    ):
        text = looked(0.004, 0.004, LATE_S * 0.9)
        assert 'crowrudder_loop_late_seconds_count 3.0' in text
        assert 'crowrudder_loop_late_seconds_bucket{le="0.005"} 2.0' in text
        assert not lines_of(caplog)

    def test_a_clock_that_wakes_early_is_not_late(self):
        assert 'crowrudder_loop_late_seconds_sum 0.0' in looked(-0.001)

    def test_it_runs_beside_every_role(self):
        async def check(made):
            for _ in range(200):
                _, text = await made.get('/metrics')
                if b'crowrudder_loop_late_seconds_count' in text:
                    return
                await asyncio.sleep(LOOK_S)
            pytest.fail('no waking was measured')

        with_bench(check)


class TestLateness:
    def test_of_many_within_a_second_the_worst_is_told_after_it(self):
        lateness = Lateness()
        first = lateness.on_woken(0.2, 10)
        assert first is not None
        assert first.times == 1
        assert lateness.on_woken(0.3, 10.3) is None
        assert lateness.on_woken(0.5, 10.6) is None
        assert lateness.on_woken(LATE_S, 10.9) is None
        # A waking in time brings it as well.
        word = lateness.on_woken(0, 10 + TELL_S)
        assert word is not None
        assert (word.late_s, word.times) == (0.5, 3)
        assert word.ago_s == pytest.approx(0.4)
        assert lateness.on_woken(0, 13) is None

    def test_what_was_told_is_not_told_again(self):
        lateness = Lateness()
        lateness.on_woken(0.9, 10)
        word = lateness.on_woken(0.2, 12)
        assert word is not None
        assert (word.late_s, word.times, word.ago_s) == (0.2, 1, 0)
