from __future__ import annotations

from crowrudder_core.catalog import (
    RECOVERY_WINDOW_S,
    StoreReadPolicy,
    StoreStep,
)


class TestUninformed:
    def test_an_agent_without_updates_lists_records_itself(self):
        """Engines must not stay idle while their weights are complete.

        After a power cut all processes restart, and the entries that agents
        ask first start last. An agent that reads the platform only after
        seconds without any update orders its engine to load 0.6 s later than
        if it had read the platform itself.
        """
        reading = StoreReadPolicy(own='a')
        reading.on_start(100)
        assert reading.step(100) is StoreStep.IDLE
        assert reading.step(100.2) is StoreStep.LIST

    def test_an_informed_process_does_not_list(self):
        reading = StoreReadPolicy(own='a')
        reading.on_start(100)
        reading.on_informed()
        assert reading.step(100.2) is StoreStep.IDLE


class TestStartInAnOutage:
    def test_a_process_start_is_no_confirmation_of_the_platform(self):
        """A process start must not count as a confirmation of the platform.

        The platform is unavailable for eight seconds, in which a version is
        named and entries are restarted one by one. If a starting process
        reported its start as a confirmation, to delay taking over, the version
        would count as named when the last entry started. The previous version
        would end four seconds too early on every entry: from 4 s after the
        outage until engines have loaded the newest version no request could
        begin.
        """
        reading = StoreReadPolicy(own='a')
        reading.on_start(100)
        assert reading.confirmed_s(100) > 1.0e6
        other = StoreReadPolicy(own='b')
        other.on_confirmed(90, 90)
        other.on_confirmed(100 - reading.confirmed_s(100), 100)
        other.on_confirmed(101, 101)
        assert other.unknown_age_s(101, is_informed=True) == 0

    def test_it_takes_over_only_after_the_silence_timeout(self):
        reading = StoreReadPolicy(own='a')
        reading.on_start(100)
        reading.on_informed()
        assert reading.step(102) is StoreStep.IDLE
        assert reading.step(104) is not StoreStep.IDLE


class TestUnknownAges:
    def test_a_change_during_an_outage_counts_as_new(self):
        """A version named during an outage counts as new after it.

        The platform is unavailable for eight seconds, a version is named, and
        after the outage agents list all records and inform the entries. If a
        change found in a list counted as old, no request could begin on the
        previous version, and for six seconds, until engines have loaded the
        new version, all requests to the model would be refused.
        """
        reading = StoreReadPolicy(own='a')
        reading.on_confirmed(100, 100)
        reading.on_failed()
        reading.on_confirmed(108, 108)
        assert reading.unknown_age_s(108, is_informed=True) == 0

    def test_a_peer_report_also_marks_the_end_of_an_outage(self):
        reading = StoreReadPolicy(own='a')
        reading.on_confirmed(100, 100)
        reading.on_confirmed(107.5, 108)
        assert reading.unknown_age_s(108, is_informed=True) == 0

    def test_without_an_outage_the_age_is_that_of_the_last_confirmation(self):
        reading = StoreReadPolicy(own='a')
        for now in range(100, 120, 2):
            reading.on_confirmed(now, now)
        found = reading.unknown_age_s(118, is_informed=True)
        assert found is not None
        assert 2 <= found < 8

    def test_the_recovery_window_ends(self):
        reading = StoreReadPolicy(own='a')
        reading.on_confirmed(100, 100)
        reading.on_confirmed(108, 108)
        reading.on_confirmed(110, 110)
        assert reading.unknown_age_s(108 + RECOVERY_WINDOW_S, is_informed=True)

    def test_a_watch_that_returned_changes_is_no_outage(self):
        """Guards against ages that count from an outage that never was.

        An answer with changes confirms no more than its request, which may be
        seconds before the next confirmation.
        """
        reading = StoreReadPolicy(own='a')
        reading.on_confirmed(100, 100)
        reading.on_answer(102)
        reading.on_confirmed(100.1, 102)
        reading.on_answer(103.5)
        reading.on_confirmed(103.2, 103.5)
        found = reading.unknown_age_s(103.6, is_informed=True)
        assert found is not None
        assert found > 0

    def test_a_new_process_reports_an_unknown_age(self):
        reading = StoreReadPolicy(own='a')
        reading.on_confirmed(100, 100)
        assert reading.unknown_age_s(100, is_informed=False) is None
