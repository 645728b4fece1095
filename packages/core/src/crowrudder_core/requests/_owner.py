"""The entry's side of a request: permits, and what may be said when."""

from __future__ import annotations

import enum

from attrs import define, field, frozen

from crowrudder_model import InvariantError, Outcome
from crowrudder_model.messages import AttemptKey, SettledState


class _Hold(enum.Enum):
    """What an attempt means to its owner."""

    WAITING = 'waiting'
    GRANTED = 'granted'
    LOST = 'lost'
    ENDED = 'ended'


@frozen
class Settle:
    """Ask the agent's incarnation what became of the attempt."""

    key: AttemptKey


@frozen
class MoveOn:
    """The attempt never starts: another one elsewhere is safe."""

    key: AttemptKey


@frozen
class Attach:
    """The attempt runs or has run: go on from its answer."""

    key: AttemptKey


@define
class RequestOwner:
    """All that an entry has promised about one request.

    Invariant: at most one permit of a request that is not idempotent is out
    at any time, and `Outcome.NOT_RUN` is never said while one is out or after
    an attempt ran.
    """

    request_id: str
    entry: str = field(kw_only=True)
    idempotent: bool = field(kw_only=True)
    deadline: float = field(kw_only=True)
    serial: int = field(default=0, kw_only=True)
    holds: dict[AttemptKey, _Hold] = field(factory=dict, init=False)
    closed: Outcome | None = field(default=None, init=False)
    _hedges: set[AttemptKey] = field(factory=set, init=False)
    _ran: Outcome | None = field(default=None, init=False)

    def open_attempt(self, *, hedge: bool = False) -> AttemptKey:
        """Begin a further attempt and give its key.

        Of an idempotent request, a hedge may run beside another attempt that
        gives no sign of life; attempts that only wait in two queues may not.
        """
        key = AttemptKey(
            request_id=self.request_id,
            attempt=len(self.holds) + 1,
            entry=self.entry,
            serial=self.serial,
        )
        self.holds[key] = _Hold.WAITING
        if hedge:
            self._hedges.add(key)
        return key

    def grant(self, key: AttemptKey, *, now: float) -> bool:
        """Decide on a permit that an agent asks for."""
        if self.closed is not None or now >= self.deadline:
            return False
        if self.holds.get(key) is not _Hold.WAITING:
            return False
        beside = self.idempotent and key in self._hedges
        if self.permit_out and not beside:
            return False
        self.holds[key] = _Hold.GRANTED
        return True

    def refused(self, key: AttemptKey) -> MoveOn:
        """Take an agent's word that the attempt never starts."""
        self.holds[key] = _Hold.ENDED
        return MoveOn(key)

    def lost(self, key: AttemptKey) -> Settle | MoveOn:
        """Take note of a broken connection."""
        if self.holds[key] is _Hold.GRANTED:
            self.holds[key] = _Hold.LOST
            return Settle(key)
        self.holds[key] = _Hold.ENDED
        return MoveOn(key)

    def settled(
        self,
        key: AttemptKey,
        state: SettledState,
    ) -> MoveOn | Attach | Outcome:
        """Take the agent's binding word, or its incarnation's absence."""
        match state:
            case SettledState.NEVER_STARTS:
                return self.refused(key)
            case SettledState.ATTACHED:
                self.holds[key] = _Hold.GRANTED
                return Attach(key)
            case SettledState.OTHER_INCARNATION:
                return self._gone(key)

    def unreachable(self, key: AttemptKey) -> MoveOn | Outcome:
        """Nobody can settle the attempt any more."""
        return self._gone(key)

    def ended(self, key: AttemptKey, outcome: Outcome) -> None:
        """Take note of the final message of an attempt."""
        self.holds[key] = _Hold.ENDED
        if outcome is not Outcome.NOT_RUN:
            self._note_ran(outcome)

    def close(self, outcome: Outcome) -> Outcome:
        """Fix what the caller is told; no permit is granted after it.

        Where a permit is out, "not run" would be a guess: it becomes unknown.
        Where an earlier attempt ran, it becomes what that attempt came to.
        """
        if outcome is Outcome.NOT_RUN and self.permit_out:
            outcome = Outcome.UNKNOWN
        if outcome is Outcome.NOT_RUN and self._ran is not None:
            outcome = self._ran
        if self.closed is not None:
            raise InvariantError(
                f'{self.request_id} was already told {self.closed.value}',
                step='close',
            )
        self.closed = outcome
        return outcome

    @property
    def may_hedge(self) -> bool:
        """Whether a further attempt may wait beside the present ones."""
        return self.closed is None and (self.idempotent or not self.permit_out)

    @property
    def permit_out(self) -> bool:
        """Whether an attempt may be running somewhere."""
        return any(
            hold in {_Hold.GRANTED, _Hold.LOST} for hold in self.holds.values()
        )

    def _gone(self, key: AttemptKey) -> MoveOn | Outcome:
        if not self.idempotent:
            return Outcome.UNKNOWN
        self._note_ran(Outcome.UNKNOWN)
        return self.refused(key)

    def _note_ran(self, outcome: Outcome) -> None:
        """Keep the weaker of two words: unknown goes before failed."""
        if self._ran is not Outcome.UNKNOWN:
            self._ran = outcome
