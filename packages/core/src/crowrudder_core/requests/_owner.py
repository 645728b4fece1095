"""The entry's state of a request: start permits and the final outcome."""

from __future__ import annotations

import enum

from attrs import define, field, frozen

from crowrudder_model import InvariantError, Outcome
from crowrudder_model.messages import AttemptKey, SettledState


class _AttemptState(enum.Enum):
    """State of an attempt as its owner knows it."""

    WAITING = 'waiting'
    GRANTED = 'granted'
    LOST = 'lost'
    ENDED = 'ended'


@frozen
class Settle:
    """Request a binding answer on the attempt from the agent's incarnation."""

    key: AttemptKey


@frozen
class RetryElsewhere:
    """The attempt never starts; another agent can be tried safely."""

    key: AttemptKey


@frozen
class Attach:
    """The attempt runs or has run; resume reading its answer."""

    key: AttemptKey


@define
class RequestOwner:
    """Permits, attempts and outcome of one request at its entry.

    Invariant: a request that is not idempotent has at most one outstanding
    permit, and `Outcome.NOT_RUN` is never reported while a permit is
    outstanding or after an attempt ran.
    """

    request_id: str
    entry: str = field(kw_only=True)
    idempotent: bool = field(kw_only=True)
    deadline: float = field(kw_only=True)
    serial: int = field(default=0, kw_only=True)
    attempt_states: dict[AttemptKey, _AttemptState] = field(
        factory=dict, init=False
    )
    closed: Outcome | None = field(default=None, init=False)
    _hedges: set[AttemptKey] = field(factory=set, init=False)
    _run_outcome: Outcome | None = field(default=None, init=False)

    def open_attempt(self, *, hedge: bool = False) -> AttemptKey:
        """Open another attempt and return its key.

        A hedge of an idempotent request may run concurrently with an attempt
        that no longer responds. Two attempts that are merely queued may not.
        """
        key = AttemptKey(
            request_id=self.request_id,
            attempt=len(self.attempt_states) + 1,
            entry=self.entry,
            serial=self.serial,
        )
        self.attempt_states[key] = _AttemptState.WAITING
        if hedge:
            self._hedges.add(key)
        return key

    def grant(self, key: AttemptKey, *, now: float) -> bool:
        """Grant or deny a permit request; return whether it is granted."""
        if self.closed is not None or now >= self.deadline:
            return False
        if self.attempt_states.get(key) is not _AttemptState.WAITING:
            return False
        may_run_concurrently = self.idempotent and key in self._hedges
        if self.has_outstanding_permit and not may_run_concurrently:
            return False
        self.attempt_states[key] = _AttemptState.GRANTED
        return True

    def on_refused(self, key: AttemptKey) -> RetryElsewhere:
        """Record that an agent refused the attempt, which never starts."""
        self.attempt_states[key] = _AttemptState.ENDED
        return RetryElsewhere(key)

    def on_lost(self, key: AttemptKey) -> Settle | RetryElsewhere:
        """Record that the connection of an attempt was lost."""
        if self.attempt_states[key] is _AttemptState.GRANTED:
            self.attempt_states[key] = _AttemptState.LOST
            return Settle(key)
        self.attempt_states[key] = _AttemptState.ENDED
        return RetryElsewhere(key)

    def on_settled(
        self,
        key: AttemptKey,
        state: SettledState,
    ) -> RetryElsewhere | Attach | Outcome:
        """Apply the agent's binding answer, or that its incarnation is gone."""
        match state:
            case SettledState.NEVER_STARTS:
                return self.on_refused(key)
            case SettledState.ATTACHED:
                self.attempt_states[key] = _AttemptState.GRANTED
                return Attach(key)
            case SettledState.OTHER_INCARNATION:
                return self._on_agent_gone(key)

    def unreachable(self, key: AttemptKey) -> RetryElsewhere | Outcome:
        """Record that no agent can settle the attempt any more."""
        return self._on_agent_gone(key)

    def on_ended(self, key: AttemptKey, outcome: Outcome) -> None:
        """Record the final message of an attempt."""
        self.attempt_states[key] = _AttemptState.ENDED
        if outcome is not Outcome.NOT_RUN:
            self._record_run(outcome)

    def close(self, outcome: Outcome) -> Outcome:
        """Fix the outcome for the caller; no permit is granted afterwards.

        "Not run" becomes "unknown" while a permit is outstanding, because the
        attempt may be running. If an earlier attempt ran, "not run" becomes
        the outcome of that attempt.
        """
        if outcome is Outcome.NOT_RUN and self.has_outstanding_permit:
            outcome = Outcome.UNKNOWN
        if outcome is Outcome.NOT_RUN and self._run_outcome is not None:
            outcome = self._run_outcome
        if self.closed is not None:
            raise InvariantError(
                f'{self.request_id} is already closed as {self.closed.value}',
                step='close',
            )
        self.closed = outcome
        return outcome

    @property
    def may_hedge(self) -> bool:
        """Whether another attempt may be queued besides the current ones."""
        return self.closed is None and (
            self.idempotent or not self.has_outstanding_permit
        )

    @property
    def has_outstanding_permit(self) -> bool:
        """Whether an attempt may be running somewhere."""
        return any(
            state in {_AttemptState.GRANTED, _AttemptState.LOST}
            for state in self.attempt_states.values()
        )

    def _on_agent_gone(self, key: AttemptKey) -> RetryElsewhere | Outcome:
        if not self.idempotent:
            return Outcome.UNKNOWN
        self._record_run(Outcome.UNKNOWN)
        return self.on_refused(key)

    def _record_run(self, outcome: Outcome) -> None:
        """Record the outcome of a run; unknown takes precedence over failed."""
        if self._run_outcome is not Outcome.UNKNOWN:
            self._run_outcome = outcome
