"""Lateness of the event loop, measured with a fake clock."""

from __future__ import annotations

import asyncio
import logging
from types import SimpleNamespace
from typing import Any

import pytest
from attrs import define, field

from crowrudder_daemon._loop_watch import (
    CHECK_INTERVAL_S,
    LOG_INTERVAL_S,
    WARN_LATENESS_S,
    LatenessReporter,
    LoopWatch,
)
from crowrudder_daemon.metrics import Metrics
from support.aio import run
from support.process import with_bench


@define
class Clock:
    """A fake clock whose sleeps end late by the given amounts."""

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


def checked(*late):
    """Check once for each lateness; return the metrics."""
    clock = Clock(late=list(late))
    metrics = Metrics()
    runtime: Any = SimpleNamespace(
        log=logging.getLogger('test'), metrics=metrics
    )
    watch = LoopWatch(runtime, clock=clock, sleep=clock.sleep, wait_s=float)

    async def all_checks():
        while clock.late:
            await watch.check_once()

    run(all_checks())
    return metrics.render().decode()


class TestLoopWatch:
    def test_stalled_loop_is_logged_at_once(self, caplog):
        """A stalled process could not be told from one with a fault.

        Symptom: a request is withdrawn 0.7 s too late. Sequence: its timer is
        due while the process is stalled. Cause: wake-up times were not checked.
        """
        checked(0, 0.7)
        (line,) = lines_of(caplog)
        assert (line.step, line.late_s, line.times) == ('loop', 0.7, 1)
        assert line.ago_s == 0

    def test_each_wake_up_is_measured_and_small_lateness_is_not_logged(
        self, caplog
    ):
        text = checked(0.004, 0.004, WARN_LATENESS_S * 0.9)
        assert 'crowrudder_loop_late_seconds_count 3.0' in text
        assert 'crowrudder_loop_late_seconds_bucket{le="0.005"} 2.0' in text
        assert not lines_of(caplog)

    def test_early_wake_up_is_not_late(self):
        assert 'crowrudder_loop_late_seconds_sum 0.0' in checked(-0.001)

    def test_it_runs_beside_every_role(self):
        async def check(made):
            for _ in range(200):
                _, text = await made.get('/metrics')
                if b'crowrudder_loop_late_seconds_count' in text:
                    return
                await asyncio.sleep(CHECK_INTERVAL_S)
            pytest.fail('no waking was measured')

        with_bench(check)


class TestLatenessReporter:
    def test_worst_of_many_within_the_interval_is_logged_after_it(self):
        lateness = LatenessReporter()
        first = lateness.on_woken(0.2, 10)
        assert first is not None
        assert first.times == 1
        assert lateness.on_woken(0.3, 10.3) is None
        assert lateness.on_woken(0.5, 10.6) is None
        assert lateness.on_woken(WARN_LATENESS_S, 10.9) is None
        # A wake-up in time reports it as well.
        report = lateness.on_woken(0, 10 + LOG_INTERVAL_S)
        assert report is not None
        assert (report.late_s, report.times) == (0.5, 3)
        assert report.ago_s == pytest.approx(0.4)
        assert lateness.on_woken(0, 13) is None

    def test_reported_lateness_is_not_reported_again(self):
        lateness = LatenessReporter()
        lateness.on_woken(0.9, 10)
        report = lateness.on_woken(0.2, 12)
        assert report is not None
        assert (report.late_s, report.times, report.ago_s) == (0.2, 1, 0)
