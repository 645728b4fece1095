"""The task that queues attempts, asks for permits and runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_core.requests import (
    AdmissionQueue,
    AgentLedger,
    Late,
    SlotAdmission,
    Stage,
    Start,
    Waiting,
)
from crowrudder_daemon._task import Task
from crowrudder_daemon.agent._run_messages import (
    AttemptCame,
    CancelCame,
    DrainRuns,
    ForgetOld,
    OwnerLost,
    PauseRuns,
    PermitCame,
    PermitOverdue,
    ResumeRuns,
    RunEnded,
    SettleCame,
)
from crowrudder_daemon.agent._run_parts import (
    KeptAttempt,
    RunsState,
    final_of,
    waiting_of,
)
from crowrudder_model import InvariantError, Outcome, UpstreamError
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    Final,
    PermitAsk,
    Piece,
    Queued,
    Refusal,
    RunDown,
    SettledState,
)

if TYPE_CHECKING:
    from crowrudder_daemon.agent._upstream import EngineClient, PlainClient
    from crowrudder_daemon.process import Runtime

PERMIT_WAIT_S = 1.0
"""Longest wait for the owner's word while a slot is held for it."""

FORGET_EVERY_S = 5.0

KEEP_ANSWER_S = 15.0
"""Seconds for which an ended answer can be read again: three times as long
as an entry goes on asking."""

SHORTEST_RETRY_S = 0.1


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
        self._kept: dict[AttemptKey, KeptAttempt] = {}
        self._running: dict[AttemptKey, asyncio.Task[None]] = {}
        self._heard_at = 0.0
        self._paused = True
        self._idle: list[asyncio.Future[None]] = []

    def start(self) -> None:
        """Start the loop and the clock that forgets."""
        super().start()
        self.spawn(self._forget_for_ever())

    def on_attempt_came(self, message: AttemptCame) -> None:
        """Queue an attempt or refuse it for good."""
        attempt = message.attempt
        item = waiting_of(attempt, self._now())
        refusal = self._refusal(attempt, item)
        if refusal is not None:
            message.answers.add(RunDown(refusal=refusal))
            message.answers.close()
            return
        self._kept[attempt.key] = KeptAttempt(
            attempt,
            message.answers,
            item.deadline,
        )
        queued = Queued(
            ahead=self.admission.queued,
            wait_s=self._wait_s(attempt),
        )
        message.answers.add(RunDown(queued=queued))
        dropped = self.admission.add(item)
        if dropped is not None:
            self._release(dropped, 'queue_full')
        self._advance()

    def on_permit_came(self, message: PermitCame) -> None:
        """Start the attempt if the owner and the clock allow it."""
        kept = self._kept.get(message.key)
        if kept is None or not self.admission.holds(message.key):
            return
        if self._may_start(message):
            if not self._running:
                self._heard_at = self._now()
            self._running[message.key] = self.spawn(self._run(kept))
            self._note_load()
            return
        self._release(message.key, 'not_permitted')

    def _may_start(self, message: PermitCame) -> bool:
        """Enter the ledger's irreversible step; a broken rule stops it."""
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
        """Give the slot to the next when the owner stays silent."""
        self._give_up(message.key, 'permit_overdue')

    def on_owner_lost(self, message: OwnerLost) -> None:
        """Drop an attempt that has not started; a running one goes on."""
        self._give_up(message.key, 'owner_lost')

    def on_cancel_came(self, message: CancelCame) -> None:
        """Stop the attempt wherever it stands.

        The cancel may overtake the attempt, which then never starts.
        """
        if self._ledger.stage_of(message.key) is None:
            self._ledger.settle(message.key, now=self._now())
        self._give_up(message.key, 'cancelled')
        kept = self._kept.get(message.key)
        running = self._running.get(message.key)
        if kept is not None and running is not None and not kept.cancelled:
            kept.cancelled = True
            running.cancel()
            self.spawn(self._cancel_upstream(message.key.request_id))

    def on_settle_came(self, message: SettleCame) -> None:
        """Bind this incarnation to a word on a lost attempt."""
        state = self._ledger.settle(message.key, now=self._now())
        kept = self._kept.get(message.key)
        if state is SettledState.NEVER_STARTS:
            self._release(message.key, 'settled')
        if not message.reply.done():
            message.reply.set_result((state, kept.answers if kept else None))

    def on_run_ended(self, message: RunEnded) -> None:
        """Free the slot."""
        self._running.pop(message.key, None)
        self.admission.leave(message.key)
        self._ledger.finish(message.key, now=self._now(), ran=message.ran)
        kept = self._kept.get(message.key)
        if kept is not None:
            kept.ended_at = self._now()
        if message.ran:
            estimate = self.admission.estimate
            estimate.on_ended(message.took_s, pieces=message.pieces)
        self._advance()

    @property
    def shut(self) -> bool:
        """Whether nothing is taken in now."""
        state = self.state
        return self._paused or state.leaving or not state.version

    @property
    def silent_s(self) -> float:
        """Seconds since the upstream gave anything while it had work."""
        if not self._running:
            return 0
        return self._now() - self._heard_at

    def on_pause_runs(self, message: PauseRuns) -> None:
        """Start nothing more until `ResumeRuns`."""
        self._paused = True
        self.state.version = ''
        self._idle.append(message.idle)
        self._note_load()

    def on_resume_runs(self, message: ResumeRuns) -> None:
        """Go on with the version that the engine was read back with."""
        self._paused = False
        self.state.service = message.service
        self.state.version = message.version
        self.state.adapters = message.adapters
        self._advance()

    def on_drain_runs(self, message: DrainRuns) -> None:
        """Refuse what waits, finish what runs."""
        self.state.leaving = True
        for key in list(self.admission.queue.waiting):
            self._release(key, 'draining')
        self._idle.append(message.idle)
        self._note_load()

    def on_forget_old(self, _message: ForgetOld) -> None:
        """Drop ended attempts, and answers that nobody reads again."""
        now = self._now()
        self._ledger.forget(now=now)
        old = [
            key
            for key, kept in self._kept.items()
            if kept.ended_at is not None and now - kept.ended_at > KEEP_ANSWER_S
        ]
        for key in old:
            self._kept.pop(key)
        self.admission.queue.forget(now=now)

    def _refusal(self, attempt: Attempt, item: Waiting) -> Refusal | None:
        if self.state.leaving:
            return Refusal(reason='draining', retry_after_s=1)
        if attempt.service != self.state.service:
            return Refusal(reason='not_loaded', retry_after_s=1)
        if not self.admission.in_time(item, now=self._now()):
            return Refusal(
                reason='deadline_unreachable',
                retry_after_s=self._retry_after_s(attempt),
            )
        return self._ledger.receive(attempt, now=self._now())

    def _advance(self) -> None:
        """Ask for permits while slots are free."""
        while not self._paused:
            match self.admission.next(now=self._now()):
                case Start(key):
                    self._ask(key)
                case Late(key):
                    self._release(key, 'deadline_unreachable')
                case None:
                    break
        self._note_load()

    def _ask(self, key: AttemptKey) -> None:
        kept = self._kept[key]
        wanted = kept.attempt.version
        if wanted and wanted != self.state.version:
            self._release(key, 'other_version')
            return
        if not self._ledger.ask(key, now=self._now()):
            self._release(key, 'deadline_passed')
            return
        kept.version = self.state.version
        ask = PermitAsk(key=key, version=kept.version)
        kept.answers.add(RunDown(permit_ask=ask))
        loop = asyncio.get_running_loop()
        loop.call_later(PERMIT_WAIT_S, self.post, PermitOverdue(key))

    def _give_up(self, key: AttemptKey, reason: str) -> None:
        stage = self._ledger.stage_of(key)
        if stage is None or stage >= Stage.STARTED:
            return
        self._release(key, reason)

    def _release(self, key: AttemptKey, reason: str) -> None:
        """End an attempt that never starts, and use its slot."""
        kept = self._kept.pop(key, None)
        if kept is None:
            return
        self._ledger.refuse(key, now=self._now())
        refusal = Refusal(
            reason=reason,
            retry_after_s=self._retry_after_s(kept.attempt),
        )
        kept.answers.add(RunDown(refusal=refusal))
        kept.answers.close()
        held = self.admission.holds(key)
        self.admission.leave(key)
        if held:
            self._advance()
        else:
            self._note_load()

    async def _run(self, kept: KeptAttempt) -> None:
        began = self._now()
        final = final_of(kept, Outcome.UNKNOWN, 'the run was stopped')
        try:
            final = await self._relay(kept, kept.version)
        except asyncio.CancelledError:
            if kept.cancelled:
                message = 'cancelled by its owner'
                final = final_of(kept, Outcome.FAILED, message)
        except (UpstreamError, InvariantError) as exc:
            final = final_of(kept, Outcome.FAILED, str(exc))
        except Exception as exc:
            self._log.exception('run failed', extra={'step': 'run'})
            final = final_of(kept, Outcome.FAILED, str(exc))
        finally:
            kept.answers.add(RunDown(final=final))
            kept.answers.close()
            ran = final.outcome is not Outcome.NOT_RUN
            took_s = self._now() - began
            key = kept.attempt.key
            self.post(RunEnded(key, took_s, kept.pieces, ran=ran))

    async def _relay(self, kept: KeptAttempt, version: str) -> Final:
        """Pass pieces on until the final message.

        A process that is paused between the start and this call would hand
        over work that nobody waits for; nothing has left this process yet.
        """
        if self._now() >= kept.deadline:
            message = 'the deadline passed before the upstream was asked'
            return final_of(kept, Outcome.NOT_RUN, message)
        async for part in self._upstream.run(kept.attempt, version):
            if isinstance(part, Final):
                return part
            self._assert_version(part, version)
            self.state.sent_bytes += len(part.text) + len(part.body)
            self._heard_at = self._now()
            kept.pieces += 1
            kept.answers.add(RunDown(piece=part))
        raise UpstreamError('no final message', step='run')

    def _assert_version(self, piece: Piece, version: str) -> None:
        """No answer goes out of an engine whose version is not the ledger's."""
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

    async def _forget_for_ever(self) -> None:
        while True:
            await asyncio.sleep(FORGET_EVERY_S)
            self.post(ForgetOld())

    def _note_load(self) -> None:
        admission = self.admission
        self.state.running = admission.running
        self.state.queued = admission.queued
        self.state.service_s = admission.estimate.service_s
        self.state.pace_s = admission.estimate.pace_s
        changed, self.state.changed = self.state.changed, asyncio.Event()
        changed.set()
        if not admission.running:
            for idle in self._idle:
                if not idle.done():
                    idle.set_result(None)
            self._idle.clear()

    def _wait_s(self, attempt: Attempt) -> float:
        return self.admission.wait_s(attempt.customer, attempt.share)

    def _retry_after_s(self, attempt: Attempt) -> float:
        return max(self._wait_s(attempt), SHORTEST_RETRY_S)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
