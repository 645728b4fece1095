"""An entry's estimate of how long a host's link delays requests."""

from __future__ import annotations

import pytest

from crowrudder_core.transit import TransitDelay
from crowrudder_core.transit._transit_delay import (
    MAX_TRANSIT_S,
    REPORT_TTL_S,
)


class TestUnacknowledgedBytes:
    def test_the_delay_is_at_least_the_time_they_wait(self):
        transit = TransitDelay()
        transit.on_unacknowledged(sent_at=10, now=10.8)
        assert transit.delay_s(10.8) == pytest.approx(0.8)

    def test_the_delay_is_forgotten_as_a_queue_is_worked_off(self):
        transit = TransitDelay()
        transit.on_unacknowledged(sent_at=10, now=10.8)
        assert transit.delay_s(11.2) == pytest.approx(0.4)
        assert not transit.delay_s(11.7)

    def test_a_later_send_that_is_acknowledged_ends_the_delay(self):
        transit = TransitDelay()
        transit.on_unacknowledged(sent_at=10, now=10.8)
        transit.on_acknowledged(sent_at=10.81)
        assert not transit.delay_s(10.82)

    def test_an_earlier_send_does_not_end_it(self):
        transit = TransitDelay()
        transit.on_unacknowledged(sent_at=10, now=10.8)
        transit.on_acknowledged(sent_at=9.9)
        assert transit.delay_s(10.8)

    def test_a_shorter_wait_does_not_replace_a_longer_one(self):
        transit = TransitDelay()
        transit.on_unacknowledged(sent_at=10, now=10.8)
        transit.on_unacknowledged(sent_at=10.75, now=10.8)
        assert transit.delay_s(10.8) == pytest.approx(0.8)

    def test_a_host_is_tried_again_after_a_bounded_time(self):
        """Guards against a host that was cut off and gets nothing for ever."""
        transit = TransitDelay()
        transit.on_unacknowledged(sent_at=0, now=1000)
        assert not transit.delay_s(1000 + MAX_TRANSIT_S)


class TestReports:
    def test_the_host_reports_what_it_receives_late(self):
        transit = TransitDelay()
        transit.on_report(1.2, as_of=10)
        assert transit.delay_s(10.3) == 1.2

    def test_an_old_report_does_not_count(self):
        transit = TransitDelay()
        transit.on_report(1.2, as_of=10)
        assert not transit.delay_s(10.1 + REPORT_TTL_S)

    def test_a_forwarded_report_does_not_replace_a_newer_one(self):
        transit = TransitDelay()
        transit.on_report(1.2, as_of=10)
        transit.on_report(0, as_of=9.8)
        assert transit.delay_s(10.3) == 1.2

    def test_a_report_that_all_is_well_does_not_hide_unacknowledged_bytes(self):
        """Guards against a fresh report that hides a slow way into the host.

        Reports are datagrams, which pass the queue in which requests wait.
        Attempts that were silent for too long had load reports of a median age
        of 0.15 s.
        """
        transit = TransitDelay()
        transit.on_unacknowledged(sent_at=10, now=10.8)
        transit.on_report(0, as_of=10.8)
        assert transit.delay_s(10.8) == pytest.approx(0.8)
