"""Incarnations of an upstream that restarts under its name."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.forecast import IncarnationTracker, UpstreamForecast
from crowrudder_model.fleet import LayerRange, Upstream
from crowrudder_model.messages import EngineLoad


def record(started_ms, weights=1):
    return Upstream(
        id='i',
        service='s',
        address='a:1',
        slots=4,
        weights=weights,
        layers=LayerRange(0, 16 if weights else 0),
        started_ms=started_ms,
    )


def load_report(started_ms, **more):
    return EngineLoad(
        address='a:1', reachable=True, started_ms=started_ms, **more
    )


class TestIncarnationTracker:
    def test_late_report_of_an_earlier_incarnation_is_not_current(self):
        tracker = IncarnationTracker()
        tracker.apply_record(2000, now=10)
        assert not tracker.is_report_current(1000, as_of=10.5)

    def test_smaller_start_time_is_accepted_after_the_stale_period(self):
        """Reports after a clock was set back must not be ignored forever.

        An engine starts, its clock is set back, and it starts again, so that
        its second start time is the smaller one. If the greater start time
        always counted as the later one, a working engine would get no
        requests.
        """
        tracker = IncarnationTracker()
        tracker.apply_record(2000, now=10)
        assert tracker.apply_report(1000, as_of=12)

    def test_earlier_record_does_not_end_an_incarnation_known_by_report(self):
        tracker = IncarnationTracker()
        tracker.apply_record(1000, now=1)
        assert tracker.apply_report(2000, as_of=2)
        assert not tracker.apply_record(1000, now=2.1)
        assert not tracker.is_recorded
        assert not tracker.apply_record(2000, now=2.2)
        assert tracker.is_recorded

    @given(start_times=st.lists(st.sampled_from([0, 0, 7]), max_size=6))
    def test_reports_without_a_start_time_begin_no_incarnation(
        self, start_times
    ):
        tracker = IncarnationTracker()
        tracker.apply_record(7, now=0)
        assert not any(
            tracker.apply_report(each, as_of=1 + at)
            for at, each in enumerate(start_times)
        )


class TestOutlook:
    def test_new_incarnation_resets_all_state(self):
        one = UpstreamForecast(record(1000))
        one.on_load(load_report(1000, weights=1, running=4), now=1)
        one.on_failure(now=1, avoid=True)
        one.slowness = 5
        assert one.on_record(record(2000, weights=0), now=1.1)
        assert one.weights(1.1) == 0
        assert one.total(1.1) == 0
        assert not one.is_avoided(1.1)
        assert one.slowness == 1

    def test_load_report_may_arrive_before_the_record(self):
        one = UpstreamForecast(record(1000))
        assert one.on_load(load_report(2000, weights=0), now=1)
        one.on_record(record(1000), now=1.05)
        assert one.weights(1.1) == 0
        # The report has expired, and the record is of the earlier incarnation.
        assert one.weights(5) == 0
        one.on_record(record(2000, weights=3), now=5)
        assert one.weights(5) == 3

    def test_upstream_without_a_start_time_keeps_its_state(self):
        one = UpstreamForecast(record(0))
        assert not one.on_load(load_report(0, weights=2), now=1)
        assert one.weights(1) == 2
        assert one.weights(9) == 1
