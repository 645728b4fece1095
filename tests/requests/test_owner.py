"""The entry's promises about one request."""

from __future__ import annotations

import pytest

from crowrudder_core.requests import (
    Attach,
    MoveOn,
    RequestOwner,
    Settle,
)
from crowrudder_model import InvariantError, Outcome
from crowrudder_model.messages import SettledState


def owner_of(*, idempotent: bool = False) -> RequestOwner:
    return RequestOwner('r', entry='e', idempotent=idempotent, deadline=10.0)


class TestPermits:
    """Who may start, and until when."""

    def test_only_one_of_two_queued_attempts_starts(self):
        owner = owner_of()
        first, second = owner.open_attempt(), owner.open_attempt()
        assert owner.grant(first, now=1.0)
        assert not owner.grant(second, now=1.0)

    def test_a_doubled_question_is_granted_once(self):
        owner = owner_of(idempotent=True)
        key = owner.open_attempt()
        assert owner.grant(key, now=1.0)
        assert not owner.grant(key, now=1.0)

    def test_an_entry_that_wakes_up_late_grants_nothing(self):
        """Symptom: an attempt starts after its deadline.

        Sequence: the agent asks; the entry is paused past the deadline; it
        wakes up and reads the question before its timer fires.
        Cause: the deadline was looked at when the question was sent.
        """
        owner = owner_of()
        assert not owner.grant(owner.open_attempt(), now=10.0)

    def test_nothing_is_granted_after_the_final_word(self):
        owner = owner_of()
        key = owner.open_attempt()
        owner.close(Outcome.NOT_RUN)
        assert not owner.grant(key, now=1.0)

    def test_a_settled_attempt_makes_room_for_another(self):
        owner = owner_of()
        first = owner.open_attempt()
        owner.grant(first, now=1.0)
        assert owner.lost(first) == Settle(first)
        assert not owner.grant(owner.open_attempt(), now=1.0)
        never = SettledState.NEVER_STARTS
        assert owner.settled(first, never) == MoveOn(first)
        assert owner.grant(owner.open_attempt(), now=1.0)

    def test_an_attached_attempt_is_followed(self):
        owner = owner_of()
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.lost(key)
        assert owner.settled(key, SettledState.ATTACHED) == Attach(key)
        assert owner.permit_out


class TestFinalWord:
    """What may be said when."""

    def test_not_run_becomes_unknown_while_a_permit_is_out(self):
        owner = owner_of()
        owner.grant(owner.open_attempt(), now=1.0)
        assert owner.close(Outcome.NOT_RUN) is Outcome.UNKNOWN

    def test_not_run_is_not_said_of_an_idempotent_request_that_ran(self):
        """Symptom: "not run" for a request that an engine has in its books.

        Sequence: a repeatable request is granted, its agent dies, the entry
        moves on; no other replica is left, so the request is given up.
        Cause: moving on cleared the only trace of the granted attempt.
        """
        owner = owner_of(idempotent=True)
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.lost(key)
        assert owner.settled(key, SettledState.OTHER_INCARNATION) == MoveOn(key)
        assert owner.close(Outcome.NOT_RUN) is Outcome.UNKNOWN

    def test_not_run_is_not_said_after_a_failed_run(self):
        owner = owner_of(idempotent=True)
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.ended(key, Outcome.FAILED)
        assert owner.close(Outcome.NOT_RUN) is Outcome.FAILED

    def test_not_run_is_said_where_the_upstream_refused(self):
        owner = owner_of()
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.ended(key, Outcome.NOT_RUN)
        assert owner.close(Outcome.NOT_RUN) is Outcome.NOT_RUN

    def test_there_is_one_final_word(self):
        owner = owner_of()
        owner.close(Outcome.FAILED)
        with pytest.raises(InvariantError):
            owner.close(Outcome.ANSWERED)

    def test_an_incarnation_that_is_gone_leaves_it_unknown(self):
        owner = owner_of()
        key = owner.open_attempt()
        owner.grant(key, now=1.0)
        owner.lost(key)
        assert owner.unreachable(key) is Outcome.UNKNOWN
        assert not owner.grant(owner.open_attempt(), now=1.0)
