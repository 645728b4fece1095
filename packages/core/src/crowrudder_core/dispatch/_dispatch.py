"""The aggregate of one request and its attempts at upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.dispatch._body_end import Completeness
from crowrudder_model import InvariantError

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_TIME_LEFT_S = 0.03
"""A request isn't sent if less time is left than a round trip and a decode
step take."""

SERVER_ERROR = 500
"""From this status on, another upstream may give a better answer."""


@frozen
class NotSent:
    """No byte of the request reached an upstream."""

    reason: str


@frozen
class NotRun:
    """The upstream itself reports that it didn't and won't run the request."""

    reason: str


@frozen
class Broken:
    """No complete answer came after the request was sent: it may have run."""

    reason: str


@frozen
class Answered:
    """An answer that the upstream vouches for; never a truncated one."""

    status: int
    completeness: Completeness = Completeness.COMPLETE


AttemptOutcome = NotSent | NotRun | Broken | Answered


@frozen
class SendAgain:
    """Send the request to another upstream."""


@frozen
class Relay:
    """Relay the upstream's own answer to the caller."""


@frozen
class Refuse:
    """Report to the caller that the request hasn't run, and when to retry."""

    reason: str
    retry_after_s: float = 0


@frozen
class Fail:
    """Report to the caller that it is unknown whether the request ran."""

    reason: str


@frozen
class Reject:
    """Report to the caller that the request must not be sent again."""

    reason: str


Decision = SendAgain | Relay | Refuse | Fail | Reject


@define(kw_only=True)
class Dispatch:
    """The attempts at one request; decides whether to send or answer next.

    Invariants: a request that is not repeatable isn't sent again once it may
    have run; it is sent to at most ``max_sends`` upstreams; a request that
    may have run is never reported as not run.

    Parameters
    ----------
    repeatable
        Whether it may run more than once.
    max_sends
        Most upstreams to which it may be sent.
    deadline_at
        Time by which its caller gets a final answer.
    """

    repeatable: bool
    max_sends: int
    deadline_at: float
    sends: int = field(default=0, init=False)
    unresolved_sends: int = field(default=0, init=False)
    """Sends that no upstream has reported as not run."""

    tried: set[str] = field(factory=set, init=False)

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run at an upstream."""
        return self.unresolved_sends > 0

    def may_send(self, now: float, *, transit_s: float = 0) -> bool:
        """Return whether the request may be sent to one more upstream.

        ``transit_s`` is how long it takes to get there.
        """
        if self.sends >= self.max_sends:
            return False
        if self.may_have_run and not self.repeatable:
            return False
        return now + transit_s + MIN_TIME_LEFT_S < self.deadline_at

    def on_sent(self, upstream_id: str, *, now: float) -> None:
        """Record that the request is sent now.

        Raises
        ------
        InvariantError
            If it may not be sent: it could run twice, or too late.
        """
        if not self.may_send(now):
            raise InvariantError('a send that is not allowed', step='send')
        self.sends += 1
        self.unresolved_sends += 1
        self.tried.add(upstream_id)

    def on_not_run(self) -> None:
        """Record that an upstream reports a send as not run."""
        self.unresolved_sends -= 1

    def after(
        self,
        outcome: AttemptOutcome,
        *,
        now: float,
        spend_retry: Callable[[], bool],
    ) -> Decision:
        """Decide what follows from the outcome of an attempt.

        ``spend_retry`` spends one of the retries that all entries share.
        """
        match outcome:
            case NotSent(reason=reason):
                return self._after_not_sent(reason, now)
            case NotRun(reason=reason):
                return self._after_not_run(reason, now, spend_retry)
            case Broken(reason=reason):
                if self.may_send(now) and spend_retry():
                    return SendAgain()
                return Fail(reason)
            case Answered(status=status):
                return self._after_answer(status, now, spend_retry)

    def refuse(self, reason: str, retry_after_s: float = 0) -> Refuse | Fail:
        """End the request; report it as not run only if it can't have run."""
        if self.may_have_run:
            return Fail(reason)
        return Refuse(reason, retry_after_s)

    def _after_not_sent(self, reason: str, now: float) -> Decision:
        """Try another upstream without spending a retry: none was reached."""
        if now + MIN_TIME_LEFT_S < self.deadline_at:
            return SendAgain()
        return self.refuse(reason)

    def _after_not_run(
        self,
        reason: str,
        now: float,
        spend_retry: Callable[[], bool],
    ) -> Decision:
        self.on_not_run()
        if self.may_send(now) and spend_retry():
            return SendAgain()
        return self.refuse(reason)

    def _after_answer(
        self,
        status: int,
        now: float,
        spend_retry: Callable[[], bool],
    ) -> Decision:
        """Relay an answer, unless another upstream may give a better one."""
        if status < SERVER_ERROR or not self.repeatable:
            return Relay()
        if self.may_send(now) and spend_retry():
            return SendAgain()
        return Relay()
