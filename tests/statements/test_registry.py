"""Statements of upstreams, kept per incarnation."""

from __future__ import annotations

from crowrudder_core.statements import (
    MAX_UNLISTED,
    Accepting,
    Leaving,
    Limited,
    StatementRegistry,
)
from crowrudder_model.fleet import NO_STATEMENTS, UpstreamStatements
from crowrudder_model.messages import LimitReport

LEAVES = UpstreamStatements(is_leaving=True)
NOW = 100.0


def registry(share=1.0):
    made = StatementRegistry(lambda *_: share)
    made.on_listed('u', 1000)
    return made


def state(made, statements, *, now=NOW):
    return made.on_answer(made.key_of('u'), statements, now=now)


class TestLeaving:
    """Guards against a statement that ends before its incarnation, or after."""

    def test_only_the_first_statement_is_a_change(self):
        made = registry()
        assert len(state(made, LEAVES)) == 1
        assert not state(made, LEAVES)

    def test_later_events_do_not_end_it(self):
        made = registry()
        state(made, LEAVES)
        state(made, NO_STATEMENTS)
        made.on_listed('u', 1000)
        made.on_limit_report(LimitReport('u', -1, 0), now=NOW)
        assert made.acceptance('u', now=NOW + 1e6) == Leaving()

    def test_a_record_that_lapsed_and_returned_does_not_end_it(self):
        made = registry()
        state(made, LEAVES)
        made.on_unlisted('u')
        made.on_listed('u', 1000)
        assert made.acceptance('u', now=NOW) == Leaving()

    def test_a_record_without_start_time_does_not_end_it(self):
        made = registry()
        state(made, LEAVES)
        made.on_unlisted('u')
        made.on_listed('u', 0)
        assert made.acceptance('u', now=NOW) == Leaving()

    def test_a_new_incarnation_begins_without_it(self):
        made = registry()
        state(made, LEAVES)
        made.on_restarted('u', 2000)
        assert made.acceptance('u', now=NOW) == Accepting()

    def test_an_incarnation_that_started_while_unlisted_begins_without_it(self):
        made = registry()
        state(made, LEAVES)
        made.on_unlisted('u')
        made.on_listed('u', 2000)
        assert made.acceptance('u', now=NOW) == Accepting()

    def test_a_late_answer_does_not_mark_the_next_incarnation(self):
        made = registry()
        key = made.key_of('u')
        made.on_restarted('u', 2000)
        assert not made.on_answer(key, LEAVES, now=NOW)
        assert made.acceptance('u', now=NOW) == Accepting()

    def test_a_late_answer_does_not_mark_one_that_was_listed_meanwhile(self):
        made = registry()
        key = made.key_of('u')
        made.on_unlisted('u')
        made.on_listed('u', 2000)
        assert not made.on_answer(key, LEAVES, now=NOW)
        assert made.acceptance('u', now=NOW) == Accepting()

    def test_a_later_stage_that_leaves_refuses_the_pipeline(self):
        made = registry()
        state(made, LEAVES)
        found = made.acceptance('first', now=NOW, later_stages=['v', 'u'])
        assert found == Leaving()
        assert made.take('first', now=NOW, later_stages=['u']) == Leaving()


class TestLimit:
    def test_a_send_spends_the_share_of_the_limit(self):
        made = registry()
        state(made, UpstreamStatements(limit_per_s=1))
        assert made.acceptance('u', now=NOW).wait_s == 1
        assert made.take('u', now=NOW + 1) == Accepting()
        found = made.take('u', now=NOW + 1)
        assert isinstance(found, Limited)
        assert found.wait_s == 1
        assert made.waits_s(['u', 'v'], now=NOW + 1) == [1, 0]

    def test_a_limit_does_not_count_for_later_stages(self):
        made = registry(share=0)
        state(made, UpstreamStatements(limit_per_s=1))
        found = made.acceptance('first', now=NOW, later_stages=['u'])
        assert found == Accepting()

    def test_a_refused_pipeline_spends_nothing(self):
        made = registry()
        state(made, UpstreamStatements(limit_per_s=1))
        assert made.acceptance('u', now=NOW).wait_s == 1
        made.on_answer(made.key_of('v'), LEAVES, now=NOW)
        assert made.take('u', now=NOW + 1, later_stages=['v']) == Leaving()
        assert made.take('u', now=NOW + 1) == Accepting()


class TestMemory:
    def test_number_of_unlisted_incarnations_is_bounded(self):
        made = registry()
        state(made, LEAVES)
        for number in range(2 * MAX_UNLISTED):
            made.on_answer(made.key_of(f'x{number}'), LEAVES, now=NOW)
        kept = [
            made.acceptance(f'x{number}', now=NOW) == Leaving()
            for number in range(2 * MAX_UNLISTED)
        ]
        assert sum(kept) == MAX_UNLISTED
        assert kept[-1]
        assert made.acceptance('u', now=NOW) == Leaving()
