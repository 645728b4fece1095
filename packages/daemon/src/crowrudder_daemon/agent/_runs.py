"""The task that queues attempts, requests permits and runs attempts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_core.requests import (
    AdmissionQueue,
    AgentLedger,
    DeadlineUnreachable,
    SlotAdmission,
    Stage,
    Start,
    Waiting,
)
from crowrudder_daemon._task import Task
from crowrudder_daemon.agent._run_messages import (
    AttemptReceived,
    CancelReceived,
    DrainRuns,
    OwnerLost,
    PauseRuns,
    PermitOverdue,
    PermitReceived,
    RemoveExpired,
    ResumeRuns,
    RunEnded,
    SettleReceived,
)
from crowrudder_daemon.agent._run_state import (
    AttemptRecord,
    RunsState,
    final_of,
    waiting_of,
)
from crowrudder_model import InvariantError, Outcome, UpstreamError
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    Final,
    PermitRequest,
    Piece,
    Queued,
    Refusal,
    RunServerMessage,
    SettledState,
)

if TYPE_CHECKING:
    from crowrudder_daemon.agent._upstream import EngineClient, PlainClient
    from crowrudder_daemon.process import Runtime

PERMIT_TIMEOUT_S = 1.0
"""Longest wait for the owner's permit while a slot is reserved."""

CLEANUP_INTERVAL_S = 5.0

ANSWER_RETENTION_S = 15.0
"""How long an ended answer can be read again: three times as long as an entry
keeps trying to settle."""

MIN_RETRY_AFTER_S = 0.1


class RunsTask(Task):
    """Owns the ledger and the admission queue of an agent."""

    def __init__(
        self,
        runtime: Runtime,
        upstream: EngineClient | PlainClient,
    ) -> None:
        super().__init__(runtime.log)
        limits = runtime.cfg.limits
        self.state = RunsState(slots=limits.slots)
        self._runtime = runtime
        self._upstream = upstream
        self._ledger = AgentLedger()
        self.admission = SlotAdmission(
            limits.slots,
            AdmissionQueue(limits.queue_length),
        )
        self._records: dict[AttemptKey, AttemptRecord] = {}
        self._running: dict[AttemptKey, asyncio.Task[None]] = {}
        self._last_piece_at = 0.0
        self._paused = True
        self._idle_waiters: list[asyncio.Future[None]] = []

    def start(self) -> None:
        """Start the loop and the periodic removal of expired attempts."""
        super().start()
        self.spawn(self._remove_expired_periodically())

    def on_attempt_received(self, message: AttemptReceived) -> None:
        """Queue an attempt or refuse it permanently."""
        attempt = message.attempt
        item = waiting_of(attempt, self._now())
        refusal = self._refusal(attempt, item)
        if refusal is not None:
            message.answers.add(RunServerMessage(refusal=refusal))
            message.answers.close()
            return
        self._records[attempt.key] = AttemptRecord(
            attempt,
            message.answers,
            item.deadline,
        )
        queued = Queued(
            ahead=self.admission.queued,
            wait_s=self._wait_s(attempt),
        )
        message.answers.add(RunServerMessage(queued=queued))
        dropped = self.admission.add(item)
        if dropped is not None:
            self._reject(dropped, 'queue_full')
        self._advance()

    def on_permit_received(self, message: PermitReceived) -> None:
        """Start the attempt if the permit was granted and is still valid."""
        record = self._records.get(message.key)
        if record is None or not self.admission.holds(message.key):
            return
        if self._try_start(message):
            if not self._running:
                self._last_piece_at = self._now()
            self._running[message.key] = self.spawn(self._run(record))
            self._update_load()
            return
        self._reject(message.key, 'not_permitted')

    def _try_start(self, message: PermitReceived) -> bool:
        """Mark the attempt as started in the ledger, which is irreversible.

        A violated invariant prevents the start.
        """
        permitted = self._ledger.permit(
            message.key,
            granted=message.granted,
            now=self._now(),
        )
        if not permitted:
            return False
        try:
            return self._ledger.start(message.key, now=self._now())
        except InvariantError as exc:
            self._runtime.metrics.invariant_violated('at_most_once')
            self._log.error('start refused: %s', exc)
            return False

    def on_permit_overdue(self, message: PermitOverdue) -> None:
        """Refuse the attempt and free its slot if no permit arrived."""
        self._reject_unless_started(message.key, 'permit_overdue')

    def on_owner_lost(self, message: OwnerLost) -> None:
        """Refuse an attempt that hasn't started; a running one continues."""
        self._reject_unless_started(message.key, 'owner_lost')

    def on_cancel_received(self, message: CancelReceived) -> None:
        """Stop the attempt in any state.

        A cancel may arrive before its attempt, which then never starts.
        """
        if self._ledger.stage_of(message.key) is None:
            self._ledger.settle(message.key, now=self._now())
        self._reject_unless_started(message.key, 'cancelled')
        record = self._records.get(message.key)
        running = self._running.get(message.key)
        if record is not None and running is not None and not record.cancelled:
            record.cancelled = True
            running.cancel()
            self.spawn(self._cancel_upstream(message.key.request_id))

    def on_settle_received(self, message: SettleReceived) -> None:
        """Fix the settled state of a lost attempt and reply with it."""
        state = self._ledger.settle(message.key, now=self._now())
        record = self._records.get(message.key)
        if state is SettledState.NEVER_STARTS:
            self._reject(message.key, 'settled')
        if not message.reply.done():
            message.reply.set_result(
                (state, record.answers if record else None)
            )

    def on_run_ended(self, message: RunEnded) -> None:
        """Free the slot and record the end of the run."""
        self._running.pop(message.key, None)
        self.admission.leave(message.key)
        self._ledger.finish(message.key, now=self._now(), ran=message.ran)
        record = self._records.get(message.key)
        if record is not None:
            record.ended_at = self._now()
        if message.ran:
            estimate = self.admission.estimate
            estimate.on_ended(message.took_s, pieces=message.pieces)
        self._advance()

    @property
    def is_closed(self) -> bool:
        """Return whether new attempts are refused."""
        state = self.state
        return self._paused or state.leaving or not state.version

    @property
    def silent_s(self) -> float:
        """Seconds since the last piece or first start; 0 if nothing runs."""
        if not self._running:
            return 0
        return self._now() - self._last_piece_at

    def on_pause_runs(self, message: PauseRuns) -> None:
        """Start no more attempts until `ResumeRuns`."""
        self._paused = True
        self.state.version = ''
        self._idle_waiters.append(message.idle)
        self._update_load()

    def on_resume_runs(self, message: ResumeRuns) -> None:
        """Resume with the version that the engine reported."""
        self._paused = False
        self.state.service = message.service
        self.state.version = message.version
        self.state.adapters = message.adapters
        self._advance()

    def on_drain_runs(self, message: DrainRuns) -> None:
        """Refuse queued attempts and finish running ones."""
        self.state.leaving = True
        for key in list(self.admission.queue.waiting):
            self._reject(key, 'draining')
        self._idle_waiters.append(message.idle)
        self._update_load()

    def on_remove_expired(self, _message: RemoveExpired) -> None:
        """Remove expired attempts and answers."""
        now = self._now()
        self._ledger.forget(now=now)
        old = [
            key
            for key, record in self._records.items()
            if record.ended_at is not None
            and now - record.ended_at > ANSWER_RETENTION_S
        ]
        for key in old:
            self._records.pop(key)
        self.admission.queue.forget(now=now)

    def _refusal(self, attempt: Attempt, item: Waiting) -> Refusal | None:
        if self.state.leaving:
            return Refusal(reason='draining', retry_after_s=1)
        if attempt.service != self.state.service:
            return Refusal(reason='not_loaded', retry_after_s=1)
        if not self.admission.can_meet_deadline(item, now=self._now()):
            return Refusal(
                reason='deadline_unreachable',
                retry_after_s=self._retry_after_s(attempt),
            )
        return self._ledger.receive(attempt, now=self._now())

    def _advance(self) -> None:
        """Request permits while slots are free."""
        while not self._paused:
            match self.admission.next(now=self._now()):
                case Start(key):
                    self._request_permit(key)
                case DeadlineUnreachable(key):
                    self._reject(key, 'deadline_unreachable')
                case None:
                    break
        self._update_load()

    def _request_permit(self, key: AttemptKey) -> None:
        record = self._records[key]
        wanted = record.attempt.version
        if wanted and wanted != self.state.version:
            self._reject(key, 'other_version')
            return
        if not self._ledger.request_permit(key, now=self._now()):
            self._reject(key, 'deadline_passed')
            return
        record.version = self.state.version
        request = PermitRequest(key=key, version=record.version)
        record.answers.add(RunServerMessage(permit_ask=request))
        loop = asyncio.get_running_loop()
        loop.call_later(PERMIT_TIMEOUT_S, self.post, PermitOverdue(key))

    def _reject_unless_started(self, key: AttemptKey, reason: str) -> None:
        stage = self._ledger.stage_of(key)
        if stage is None or stage >= Stage.STARTED:
            return
        self._reject(key, reason)

    def _reject(self, key: AttemptKey, reason: str) -> None:
        """Refuse an attempt that never starts, and reuse its slot."""
        record = self._records.pop(key, None)
        if record is None:
            return
        self._ledger.refuse(key, now=self._now())
        refusal = Refusal(
            reason=reason,
            retry_after_s=self._retry_after_s(record.attempt),
        )
        record.answers.add(RunServerMessage(refusal=refusal))
        record.answers.close()
        held = self.admission.holds(key)
        self.admission.leave(key)
        if held:
            self._advance()
        else:
            self._update_load()

    async def _run(self, record: AttemptRecord) -> None:
        started_at = self._now()
        final = final_of(record, Outcome.UNKNOWN, 'the run was stopped')
        try:
            final = await self._relay(record, record.version)
        except asyncio.CancelledError:
            if record.cancelled:
                message = 'cancelled by its owner'
                final = final_of(record, Outcome.FAILED, message)
        except (UpstreamError, InvariantError) as exc:
            final = final_of(record, Outcome.FAILED, str(exc))
        except Exception as exc:
            self._log.exception('run failed', extra={'step': 'run'})
            final = final_of(record, Outcome.FAILED, str(exc))
        finally:
            record.answers.add(RunServerMessage(final=final))
            record.answers.close()
            ran = final.outcome is not Outcome.NOT_RUN
            took_s = self._now() - started_at
            key = record.attempt.key
            self.post(RunEnded(key, took_s, record.pieces, ran=ran))

    async def _relay(self, record: AttemptRecord, version: str) -> Final:
        """Forward pieces until the final message.

        If the process was paused between the start and this call, the deadline
        may have passed, and the upstream would do work that nobody waits for.
        Nothing was sent to it yet, so the attempt is reported as not run.
        """
        if self._now() >= record.deadline:
            message = 'the deadline passed before the upstream was asked'
            return final_of(record, Outcome.NOT_RUN, message)
        async for event in self._upstream.run(record.attempt, version):
            if isinstance(event, Final):
                return event
            self._assert_version(event, version)
            self.state.sent_bytes += len(event.text) + len(event.body)
            self._last_piece_at = self._now()
            record.pieces += 1
            record.answers.add(RunServerMessage(piece=event))
        raise UpstreamError('no final message', step='run')

    def _assert_version(self, piece: Piece, version: str) -> None:
        """Raise if a piece isn't of the permitted and loaded version."""
        if piece.version != version or self.state.version not in {'', version}:
            self._runtime.metrics.invariant_violated('answer_version')
            raise InvariantError(
                f'a part of {piece.version} while {version} is loaded',
                step='answer',
            )

    async def _cancel_upstream(self, request_id: str) -> None:
        try:
            await self._upstream.cancel(request_id)
        except UpstreamError as exc:
            self._log.info('cancel not delivered: %s', exc)

    async def _remove_expired_periodically(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self.post(RemoveExpired())

    def _update_load(self) -> None:
        admission = self.admission
        self.state.running = admission.running
        self.state.queued = admission.queued
        self.state.service_s = admission.estimate.service_s
        self.state.pace_s = admission.estimate.pace_s
        changed, self.state.changed = self.state.changed, asyncio.Event()
        changed.set()
        if not admission.running:
            for waiter in self._idle_waiters:
                if not waiter.done():
                    waiter.set_result(None)
            self._idle_waiters.clear()

    def _wait_s(self, attempt: Attempt) -> float:
        return self.admission.wait_s(attempt.customer, attempt.share)

    def _retry_after_s(self, attempt: Attempt) -> float:
        return max(self._wait_s(attempt), MIN_RETRY_AFTER_S)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
