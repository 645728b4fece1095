"""Start permits and final outcome of one request at its entry."""

from __future__ import annotations

import pytest

from crowrudder_core.requests import (
    Attach,
    RequestOwner,
    RetryElsewhere,
    Settle,
)
from crowrudder_model import InvariantError, Outcome
from crowrudder_model.messages import SettledState


def new_owner(*, idempotent: bool = False) -> RequestOwner:
    return RequestOwner('r', entry='e', idempotent=idempotent, deadline=10.0)


class TestPermits:
    """Which attempts are permitted to start, and until when."""

    def test_only_one_of_two_queued_attempts_starts(self):
        owner = new_owner()
        first, second = owner.open_attempt(), owner.open_attempt()
        assert owner.grant(first, now=1.0)
        assert not owner.grant(second, now=1.0)

    def test_duplicate_permit_request_is_granted_once(self):
        owner = new_owner(idempotent=True)
        key = owner.open_attempt()
        assert owner.grant(key, now=1.0)
        assert not owner.grant(key, now=1.0)

    def test_entry_that_resumes_after_the_deadline_grants_nothing(self):
        """Guards against an attempt that starts after its deadline.

        The agent requests a permit; the entry is paused past the deadline,
        resumes and reads the request before its timer fires. The deadline was
        checked only when the request was sent.
        """
        owner = new_owner()
        assert not owner.grant(owner.open_attempt(), now=10.0)

    def test_no_permit_is_granted_after_the_final_outcome(self):
        owner = new_owner()
        key = owner.open_attempt()
        owner.close(Outcome.NOT_RUN)
        assert not owner.grant(key, now=1.0)

    def test_settled_attempt_allows_another_permit(self):
        owner = new_owner()
        first = owner.open_attempt()
        owner.grant(first, now=1.0)
        assert owner.on_lost(first) == Settle(first)
        assert not owner.grant(owner.open_attempt(), now=1.0)
        never = SettledState.NEVER_STARTS
        assert owner.on_settled(first, never) == RetryElsewhere(first)
        assert owner.grant(owner.open_attempt(), now=1.0)

    def test_attached_attempt_keeps_its_permit(self):
        owner = new_owner()
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.on_lost(key)
        assert owner.on_settled(key, SettledState.ATTACHED) == Attach(key)
        assert owner.has_outstanding_permit


class TestFinalOutcome:
    """Outcome that is reported to the caller."""

    def test_not_run_becomes_unknown_while_a_permit_is_outstanding(self):
        owner = new_owner()
        owner.grant(owner.open_attempt(), now=1.0)
        assert owner.close(Outcome.NOT_RUN) is Outcome.UNKNOWN

    def test_not_run_is_not_reported_for_an_idempotent_request_that_ran(self):
        """Guards against "not run" for a request that an engine has executed.

        An idempotent request is granted, its agent dies, and the entry retries
        elsewhere; no other replica is left, so it gives up. The retry cleared
        the only record of the granted attempt.
        """
        owner = new_owner(idempotent=True)
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.on_lost(key)
        assert owner.on_settled(
            key, SettledState.OTHER_INCARNATION
        ) == RetryElsewhere(key)
        assert owner.close(Outcome.NOT_RUN) is Outcome.UNKNOWN

    def test_not_run_is_not_reported_after_a_failed_run(self):
        owner = new_owner(idempotent=True)
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.on_ended(key, Outcome.FAILED)
        assert owner.close(Outcome.NOT_RUN) is Outcome.FAILED

    def test_not_run_is_reported_if_the_upstream_refused(self):
        owner = new_owner()
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.on_ended(key, Outcome.NOT_RUN)
        assert owner.close(Outcome.NOT_RUN) is Outcome.NOT_RUN

    def test_final_outcome_is_set_once(self):
        owner = new_owner()
        owner.close(Outcome.FAILED)
        with pytest.raises(InvariantError):
            owner.close(Outcome.ANSWERED)

    def test_outcome_is_unknown_if_the_incarnation_is_gone(self):
        owner = new_owner()
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.on_lost(key)
        assert owner.unreachable(key) is Outcome.UNKNOWN
        assert not owner.grant(owner.open_attempt(), now=1.0)
