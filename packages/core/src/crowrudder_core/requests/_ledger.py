"""Ledger of the attempts of an agent; prevents a second start."""

from __future__ import annotations

import enum

from attrs import define, field

from crowrudder_model import InvariantError
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    Refusal,
    SettledState,
)

ATTEMPT_RETENTION_S = 600.0
"""How long the record of an ended attempt is retained."""


class Stage(enum.IntEnum):
    """Stage of an attempt; it only increases."""

    QUEUED = 1
    ASKED = 2
    PERMITTED = 3
    STARTED = 4
    FINISHED = 5
    REFUSED = 6


_END_STAGES = (Stage.FINISHED, Stage.REFUSED)


@define(kw_only=True)
class Record:
    """One attempt; times are monotonic seconds of this process."""

    key: AttemptKey
    idempotent: bool
    deadline: float
    stage: Stage
    ended_at: float = 0


@define
class AgentLedger:
    """The at-most-once ledger of one agent incarnation.

    Invariant: a request that is not idempotent starts at most once here, and
    an attempt that was settled as never starting never starts.

    Example
    -------
    >>> key = AttemptKey(request_id='r1', attempt=1, entry='e1')
    >>> AgentLedger().settle(key, now=0.0)
    <SettledState.NEVER_STARTS: 'never_starts'>
    """

    records: dict[AttemptKey, Record] = field(factory=dict, init=False)
    started_ids: dict[str, float] = field(factory=dict, init=False)
    """Ids that started here, with the time of their last start or end."""

    def receive(self, attempt: Attempt, *, now: float) -> Refusal | None:
        """Record a new attempt, or return why it never starts here."""
        known = self.records.get(attempt.key)
        if known is not None:
            return Refusal(reason='duplicate_message')
        if not attempt.idempotent and self._has_started(attempt.key.request_id):
            return Refusal(reason='already_started')
        if attempt.budget_s <= 0:
            return Refusal(reason='deadline_passed')
        self.records[attempt.key] = Record(
            key=attempt.key,
            idempotent=attempt.idempotent,
            deadline=now + attempt.budget_s,
            stage=Stage.QUEUED,
        )
        return None

    def request_permit(self, key: AttemptKey, *, now: float) -> bool:
        """Record that a permit is requested; return whether it may be."""
        record = self.records[key]
        if record.stage is not Stage.QUEUED or now >= record.deadline:
            return False
        record.stage = Stage.ASKED
        return True

    def permit(self, key: AttemptKey, *, granted: bool, now: float) -> bool:
        """Record the owner's decision; return whether the attempt may start."""
        record = self.records[key]
        if record.stage is not Stage.ASKED:
            return False
        if not granted or now >= record.deadline:
            self.refuse(key, now=now)
            return False
        record.stage = Stage.PERMITTED
        return True

    def start(self, key: AttemptKey, *, now: float) -> bool:
        """Record the start of the attempt; return whether it may start.

        A start can't be undone. A process that is paused between permit and
        start resumes with an outdated permit, and the attempt would run after
        the caller was notified that it never will. The deadline is therefore
        checked again here.
        """
        record = self.records[key]
        if record.stage is not Stage.PERMITTED:
            return False
        if now >= record.deadline:
            self.refuse(key, now=now)
            return False
        self._assert_first_start(record)
        record.stage = Stage.STARTED
        self.started_ids[key.request_id] = now
        return True

    def finish(
        self,
        key: AttemptKey,
        *,
        now: float,
        ran: bool = True,
    ) -> None:
        """Record that the upstream has finished the attempt.

        If the upstream reports that it did not start the request (``ran`` is
        false), the id is free: the outcome is "not run", and the caller may
        send the request again.
        """
        started = self.started_ids.pop(key.request_id, None)
        if ran and started is not None:
            self.started_ids[key.request_id] = now
        self._end(self.records[key], Stage.FINISHED, now)

    def refuse(self, key: AttemptKey, *, now: float) -> None:
        """Record that the attempt never starts, unless it has started."""
        record = self.records[key]
        if record.stage < Stage.STARTED:
            self._end(record, Stage.REFUSED, now)

    def settle(self, key: AttemptKey, *, now: float) -> SettledState:
        """Return a binding answer on an attempt whose connection was lost.

        An unknown attempt is recorded as refused, because the message that
        carries it may still arrive.
        """
        record = self.records.get(key)
        if record is None:
            self.records[key] = Record(
                key=key,
                idempotent=False,
                deadline=now,
                stage=Stage.REFUSED,
                ended_at=now,
            )
            return SettledState.NEVER_STARTS
        if record.stage in {Stage.STARTED, Stage.FINISHED}:
            return SettledState.ATTACHED
        self._end(record, Stage.REFUSED, now)
        return SettledState.NEVER_STARTS

    def forget(self, *, now: float) -> int:
        """Drop attempts that ended more than `ATTEMPT_RETENTION_S` ago.

        Return their number.
        """
        expired = [
            key
            for key, record in self.records.items()
            if record.stage in _END_STAGES
            and now - record.ended_at > ATTEMPT_RETENTION_S
        ]
        for key in expired:
            self.records.pop(key)
        running = {
            record.key.request_id
            for record in self.records.values()
            if record.stage is Stage.STARTED
        }
        stale_ids = [
            request_id
            for request_id, at in self.started_ids.items()
            if now - at > ATTEMPT_RETENTION_S and request_id not in running
        ]
        for request_id in stale_ids:
            self.started_ids.pop(request_id)
        return len(expired)

    def stage_of(self, key: AttemptKey) -> Stage | None:
        """Return the stage of an attempt, or None if it is unknown."""
        record = self.records.get(key)
        return None if record is None else record.stage

    def _has_started(self, request_id: str) -> bool:
        return request_id in self.started_ids

    def _assert_first_start(self, record: Record) -> None:
        if not record.idempotent and self._has_started(record.key.request_id):
            raise InvariantError(
                f'{record.key} would start a second time; start prevented',
                step='start',
            )

    def _end(self, record: Record, stage: Stage, now: float) -> None:
        if record.stage in _END_STAGES:
            return
        record.stage = stage
        record.ended_at = now
