"""Quarantine of requests, its end, and the recipients of reports."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.quarantine import (
    Audience,
    Quarantine,
    Quarantined,
    SendSuspicion,
    owners,
)
from crowrudder_core.quarantine._ledger import MAX_SUSPECTS
from crowrudder_core.quarantine._suspect import (
    COMPLETED_RUN_WINDOW_S,
    QUARANTINE_S,
    SUSPICION_S,
)
from crowrudder_core.quarantine._unconfirmed import ALIVE_AFTER_S
from crowrudder_model.messages import (
    IncarnationEnd,
    SuspicionReport,
    SuspicionUpdate,
)

DIGEST = 77
NOW = 1000.0


def close_and_end(core, digest, incarnation, *, now, ran_s=0.0):
    core.on_connection_closed(digest, [incarnation], ran_s=ran_s, now=now)
    return core.on_ended(incarnation, now=now + 0.1)


def quarantined(core=None, *, now=NOW):
    core = core or Quarantine()
    for incarnation in ('a', 'b', 'c'):
        close_and_end(core, DIGEST, incarnation, now=now)
    return core


def reports_of(effects):
    return [each.report for each in effects if isinstance(each, SendSuspicion)]


class TestQuarantineDecision:
    def test_three_ends_quarantine_a_request(self):
        core = Quarantine()
        assert not close_and_end(core, DIGEST, 'a', now=NOW)[1:]
        close_and_end(core, DIGEST, 'b', now=NOW)
        assert not core.is_quarantined(DIGEST, now=NOW + 1)
        effects = close_and_end(core, DIGEST, 'c', now=NOW)
        assert Quarantined(DIGEST, ('a', 'b', 'c')) in effects
        assert core.is_quarantined(DIGEST, now=NOW + 1)

    def test_end_of_an_incarnation_counts_once(self):
        core = Quarantine()
        for _ in range(5):
            close_and_end(core, DIGEST, 'a', now=NOW)
        assert not core.is_quarantined(DIGEST, now=NOW + 1)

    def test_reset_by_a_live_upstream_is_not_an_end(self):
        """Guards against suspicion because of connections that are reset."""
        core = Quarantine()
        for incarnation in ('a', 'b', 'c'):
            core.on_connection_closed(DIGEST, [incarnation], ran_s=0, now=NOW)
            core.on_upstream_alive(incarnation, as_of=NOW + 2 * ALIVE_AFTER_S)
            assert not core.on_ended(incarnation, now=NOW + 2)
        assert not core.is_quarantined(DIGEST, now=NOW + 2)

    def test_status_from_before_the_end_clears_nothing(self):
        core = Quarantine()
        core.on_connection_closed(DIGEST, ['a'], ran_s=0, now=NOW)
        core.on_upstream_alive('a', as_of=NOW + 0.1)
        assert core.on_ended('a', now=NOW + 0.3)

    def test_an_end_that_is_not_proven_whole_counts_if_its_upstream_ends(self):
        """Guards against a crash that clears the request that caused it.

        The connection of an answer that nothing else delimits ends in the same
        way if its upstream crashes.
        """
        core = Quarantine()
        for incarnation in ('a', 'b', 'c'):
            core.on_unproven_end(DIGEST, [incarnation], ran_s=0, now=NOW)
            assert core.on_ended(incarnation, now=NOW + 0.1)
        assert core.is_quarantined(DIGEST, now=NOW + 1)

    def test_an_upstream_that_outlives_an_answer_completes_its_run(self):
        """Guards against harmless requests that nothing ever clears."""
        core = Quarantine()
        close_and_end(core, DIGEST, 'a', now=NOW)
        close_and_end(core, DIGEST, 'b', now=NOW)
        core.on_unproven_end(DIGEST, ['d'], ran_s=0, now=NOW)
        assert not core.on_upstream_alive('d', as_of=NOW + 0.1)
        assert core.on_upstream_alive('d', as_of=NOW + 2 * ALIVE_AFTER_S)
        assert not core.on_ended('d', now=NOW + 2)
        close_and_end(core, DIGEST, 'c', now=NOW + 2)
        assert not core.is_quarantined(DIGEST, now=NOW + 2)

    def test_a_completed_run_of_another_entry_is_remembered(self):
        """Guards against reports of ends that arrive after one that clears.

        A cleared suspect was dropped with the completed run that another entry
        had reported, so that the next report of the same ends quarantined it.
        """
        core = quarantined()
        before = core.sample_reports(random.Random(1), now=NOW + 0.2)
        clearing = SuspicionReport(DIGEST, completed_ms=1000)
        core.on_update(SuspicionUpdate((clearing,)), now=NOW + 0.3)
        assert not core.is_quarantined(DIGEST, now=NOW + 0.3)
        effects = core.on_update(SuspicionUpdate(tuple(before)), now=NOW + 0.4)
        assert not any(isinstance(each, Quarantined) for each in effects)
        assert not core.is_quarantined(DIGEST, now=NOW + 0.4)

    def test_answers_that_are_not_proven_whole_prevent_no_retry(self):
        core = Quarantine()
        for incarnation in ('a', 'b', 'c'):
            core.on_unproven_end(DIGEST, [incarnation], ran_s=0, now=NOW)
        assert core.may_retry(DIGEST, now=NOW)

    def test_a_later_close_keeps_no_earlier_one_unconfirmed(self):
        """Guards against closes that are never cleared under constant load."""
        core = Quarantine()
        later = NOW + 2 * ALIVE_AFTER_S
        core.on_connection_closed(DIGEST, ['a'], ran_s=0, now=NOW)
        core.on_connection_closed(DIGEST + 1, ['a'], ran_s=0, now=later)
        core.on_upstream_alive('a', as_of=later)
        (report,) = reports_of(core.on_ended('a', now=later + 0.1))
        assert report.digest == DIGEST + 1

    def test_ends_of_longer_runs_count_half(self):
        core = Quarantine()
        for incarnation in ('a', 'b', 'c', 'd', 'e'):
            close_and_end(core, DIGEST, incarnation, now=NOW, ran_s=2)
        assert not core.is_quarantined(DIGEST, now=NOW + 1)
        close_and_end(core, DIGEST, 'f', now=NOW, ran_s=2)
        assert core.is_quarantined(DIGEST, now=NOW + 1)

    def test_unconfirmed_ends_prevent_a_further_retry(self):
        core = Quarantine()
        close_and_end(core, DIGEST, 'a', now=NOW)
        core.on_connection_closed(DIGEST, ['b'], ran_s=0, now=NOW)
        assert core.may_retry(DIGEST, now=NOW)
        core.on_connection_closed(DIGEST, ['c'], ran_s=0, now=NOW)
        assert not core.may_retry(DIGEST, now=NOW)

    def test_quarantine_lasts_from_the_last_refusal(self):
        core = quarantined()
        core.on_refused(DIGEST, now=NOW + QUARANTINE_S)
        assert core.is_quarantined(DIGEST, now=NOW + 2 * QUARANTINE_S - 1)
        assert not core.is_quarantined(DIGEST, now=NOW + 2 * QUARANTINE_S + 1)

    def test_ends_below_the_threshold_expire(self):
        core = Quarantine()
        close_and_end(core, DIGEST, 'a', now=NOW)
        close_and_end(core, DIGEST, 'b', now=NOW)
        close_and_end(core, DIGEST, 'c', now=NOW + 2 * SUSPICION_S)
        assert not core.is_quarantined(DIGEST, now=NOW + 2 * SUSPICION_S + 1)


class TestCompletedRuns:
    def test_completed_run_clears_a_request(self):
        core = quarantined()
        (report,) = reports_of(core.on_run_completed(DIGEST, now=NOW + 1))
        assert not core.is_quarantined(DIGEST, now=NOW + 1)
        other = quarantined()
        other.on_update(SuspicionUpdate((report,)), now=NOW + 1)
        assert not other.is_quarantined(DIGEST, now=NOW + 1)

    def test_frequent_request_is_not_quarantined_after_a_power_failure(self):
        """Guards against refusing a request that completes many times a second."""
        core = Quarantine()
        core.on_run_completed(DIGEST, now=NOW)
        assert not quarantined(core, now=NOW + 1).is_quarantined(
            DIGEST, now=NOW + 2
        )

    def test_completed_run_of_long_ago_does_not_clear(self):
        core = Quarantine()
        core.on_run_completed(DIGEST, now=NOW)
        later = NOW + COMPLETED_RUN_WINDOW_S + 1
        assert quarantined(core, now=later).is_quarantined(
            DIGEST, now=later + 1
        )

    def test_entry_that_saw_a_completed_run_reports_it(self):
        core = Quarantine()
        core.on_run_completed(DIGEST, now=NOW)
        report = SuspicionReport(
            DIGEST,
            tuple(IncarnationEnd(incarnation, 100) for incarnation in 'abc'),
        )
        (sent,) = reports_of(
            core.on_update(SuspicionUpdate((report,)), now=NOW + 1)
        )
        assert sent.completed_ms == 1000


class TestWords:
    def test_first_end_is_sent_to_owners_and_further_ones_to_partners(self):
        core = Quarantine()
        (first,) = close_and_end(core, DIGEST, 'a', now=NOW)
        (second,) = close_and_end(core, DIGEST, 'b', now=NOW)
        assert first.audience is Audience.OWNERS
        assert second.audience is Audience.PARTNERS

    def test_owners_add_up_reports_of_others(self):
        owner = Quarantine()
        effects = []
        for incarnation in ('a', 'b', 'c'):
            (sent,) = close_and_end(Quarantine(), DIGEST, incarnation, now=NOW)
            effects += owner.on_update(SuspicionUpdate((sent.report,)), now=NOW)
        assert Quarantined(DIGEST, ('a', 'b', 'c')) in effects

    def test_known_report_is_not_forwarded(self):
        core = quarantined()
        (report,) = core.sample_reports(random.Random(1), now=NOW + 1)
        assert not core.on_update(SuspicionUpdate((report,)), now=NOW + 1.01)

    def test_new_process_learns_from_sampled_reports(self):
        reports = quarantined().sample_reports(random.Random(1), now=NOW + 5)
        other = Quarantine()
        other.on_update(SuspicionUpdate(tuple(reports)), now=NOW + 5)
        assert other.is_quarantined(DIGEST, now=NOW + 5)

    def test_few_entries_own_a_request(self):
        ips = [str(number) for number in range(340)]
        assert len(owners(DIGEST, ips)) == 2

    def test_power_failure_of_a_domain_evicts_no_quarantined_request(self):
        core = quarantined()
        for digest in range(1000, 1000 + 2 * MAX_SUSPECTS):
            core.on_connection_closed(digest, ['z'], ran_s=0, now=NOW)
        core.on_ended('z', now=NOW)
        assert core.is_quarantined(DIGEST, now=NOW)
        assert not any(
            core.is_quarantined(digest, now=NOW) for digest in range(1000, 1100)
        )

    @given(
        digest=st.integers(-(2**63), 2**64 - 1),
        ends=st.lists(
            st.builds(
                IncarnationEnd,
                st.text(max_size=300),
                st.integers(-(2**40), 2**40),
                st.booleans(),
            ),
            max_size=20,
        ),
        completed_ms=st.integers(-(2**40), 2**40),
        refused_ms=st.integers(-(2**40), 2**40),
    )
    def test_out_of_range_reports_are_accepted(
        self, digest, ends, completed_ms, refused_ms
    ):
        core = Quarantine()
        report = SuspicionReport(digest, tuple(ends), completed_ms, refused_ms)
        core.on_update(SuspicionUpdate((report,)), now=NOW)
        core.is_quarantined(digest, now=NOW)
        core.sample_reports(random.Random(1), now=NOW)
