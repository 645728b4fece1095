"""One attempt of a request at one agent, from first to last message."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

from attrs import define, field, frozen

from crowrudder_core.requests import (
    Attach,
    RequestOwner,
    RetryElsewhere,
    Settle,
)
from crowrudder_daemon.entry._final_outcome import FinalOutcome
from crowrudder_model import Outcome, PeerLostError, UpstreamError
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    Final,
    Permit,
    PermitRequest,
    Piece,
    Queued,
    Refusal,
    RunClientMessage,
    RunServerMessage,
    Settled,
    SettledState,
    SettleRequest,
)
from crowrudder_model.rpc import RUN, SETTLE

if TYPE_CHECKING:
    from crowrudder_daemon.rpc import PeerClient, PeerStream

FIRST_MESSAGE_TIMEOUT_S = 1.0
"""Maximum wait for an agent's first message; a paused host sends none."""

SETTLE_INTERVAL_S = 0.25
SETTLE_TIMEOUT_S = 10.0
"""Maximum time for settling an attempt whose stream broke."""

IDEMPOTENT_SETTLE_TIMEOUT_S = 0.5
"""The same for idempotent requests, which can safely run again elsewhere."""


@frozen
class AgentRef:
    """A chosen agent; settling needs its incarnation."""

    host: str
    address: str
    incarnation: str
    wait_s: float = 0


class CrossedAnswerError(UpstreamError):
    """An agent sent a piece of another answer, or omitted a piece."""


class CallOwner(Protocol):
    """The request that an attempt belongs to, as the attempt sees it."""

    owner: RequestOwner

    def attempt_message(self, call: AttemptCall) -> Attempt:
        """Return the message that opens the attempt."""

    def grant(self, call: AttemptCall, version: str) -> bool:
        """Return whether the attempt may start."""

    def accept_piece(self, call: AttemptCall, piece: Piece) -> None:
        """Accept the next piece of an attempt."""

    def record_refusal(
        self, call: AttemptCall, refusal: Refusal, *, is_free: bool = False
    ) -> None:
        """Record an agent's statement that the attempt never starts."""

    def record_queued(self, call: AttemptCall, queued: Queued) -> None:
        """Record that the attempt is queued."""

    def record_outcome(self, call: AttemptCall, *, failed: bool) -> None:
        """Record whether the run failed."""

    def record_lost(self, call: AttemptCall, exc: PeerLostError) -> None:
        """Record a broken stream."""


@define(eq=False)
class AttemptCall:
    """A running attempt; `progress_at` is the time of its last message."""

    agent: AgentRef
    key: AttemptKey
    next_index: int
    progress_at: float
    _request: CallOwner
    _peers: PeerClient
    hedge: bool = False
    version: str = ''
    queued_wait_s: float = 0
    _granted_at: float | None = field(default=None, init=False)

    @property
    def waited_s(self) -> float:
        """Seconds since the permit, or 0 before it."""
        return 0 if self._granted_at is None else _now() - self._granted_at

    async def run(self) -> FinalOutcome | None:
        """Run to the end; return None if another attempt is safe."""
        stream = self._peers.open(self.agent.address, RUN)
        try:
            return await self._exchange(stream)
        except PeerLostError as exc:
            self._request.record_lost(self, exc)
            return await self._resolve_lost(exc)
        except CrossedAnswerError as exc:
            return self._failed(Outcome.FAILED, 'crossed_answer', str(exc))
        finally:
            stream.cancel()

    async def _exchange(
        self,
        stream: PeerStream[RunClientMessage, RunServerMessage],
    ) -> FinalOutcome | None:
        attempt = self._request.attempt_message(self)
        try:
            async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
                await stream.send(RunClientMessage(attempt=attempt))
                first = await stream.read()
        except TimeoutError as exc:
            raise self._no_answer('run') from exc
        if first is None:
            raise self._no_answer('run')
        if isinstance(first.body, Refusal):
            self._refused(first.body)
            return None
        if isinstance(first.body, Queued):
            self.queued_wait_s = first.body.wait_s
            self._request.record_queued(self, first.body)
        return await self._follow(stream, stream)

    async def _follow(
        self,
        events: PeerStream[Any, RunServerMessage],
        permits: PeerStream[RunClientMessage, RunServerMessage] | None,
    ) -> FinalOutcome | None:
        async for event in events:
            self.progress_at = _now()
            match event.body:
                case PermitRequest(version=version) if permits is not None:
                    granted = self._request.grant(self, version)
                    self._granted_at = _now()
                    permit = Permit(key=self.key, granted=granted)
                    await permits.send(RunClientMessage(permit=permit))
                case Piece() as piece:
                    self._accept_piece(piece)
                case Refusal() as refusal:
                    self._refused(refusal)
                    return None
                case Final() as final:
                    return self._final(final)
        raise self._no_answer('run')

    def _accept_piece(self, piece: Piece) -> None:
        """Check a piece and forward it.

        A piece of another answer, a duplicate or a gap would produce wrong
        text in an answer that looks complete. Duplicates are ignored; the
        other two end the attempt.
        """
        is_own = piece.request_id == self.key.request_id
        if not is_own or piece.version != self.version:
            raise self._crossed_answer('a piece of another answer')
        if piece.index < self.next_index:
            return
        if piece.index != self.next_index:
            raise self._crossed_answer('a piece is missing')
        self.next_index += 1
        self._request.accept_piece(self, piece)

    def _refused(self, refusal: Refusal) -> None:
        self._request.owner.on_refused(self.key)
        self._request.record_refusal(self, refusal)

    def _final(self, final: Final) -> FinalOutcome | None:
        match final.outcome:
            case Outcome.ANSWERED:
                return self._answered(final)
            case Outcome.NOT_RUN:
                self._request.owner.on_ended(self.key, Outcome.NOT_RUN)
                refusal = Refusal(reason=final.message)
                self._request.record_refusal(
                    self, refusal, is_free=final.is_unreached
                )
                return None
            case outcome:
                return self._failed(outcome, 'upstream_failed', final.message)

    def _answered(self, final: Final) -> FinalOutcome:
        is_own = final.request_id == self.key.request_id
        is_complete = final.pieces == self.next_index
        if not (is_own and is_complete and final.version == self.version):
            raise self._crossed_answer('the answer is not whole')
        self._request.owner.on_ended(self.key, Outcome.ANSWERED)
        self._request.record_outcome(self, failed=False)
        return FinalOutcome(
            outcome=Outcome.ANSWERED,
            code='ok',
            status=final.status,
            version=final.version,
            pieces=final.pieces,
            headers=final.headers,
        )

    def _failed(
        self,
        outcome: Outcome,
        code: str,
        message: str,
    ) -> FinalOutcome | None:
        """End the attempt; an idempotent request may retry elsewhere."""
        owner = self._request.owner
        owner.on_ended(self.key, outcome)
        self._request.record_outcome(self, failed=True)
        if owner.idempotent:
            self._request.record_refusal(self, Refusal(reason=message))
            return None
        return FinalOutcome(outcome=outcome, code=code, message=message)

    async def _resolve_lost(self, exc: PeerLostError) -> FinalOutcome | None:
        """Determine the outcome of an attempt whose stream broke."""
        match self._request.owner.on_lost(self.key):
            case RetryElsewhere():
                return None
            case Settle():
                return await self._settle(exc)

    async def _settle(self, exc: PeerLostError) -> FinalOutcome | None:
        owner = self._request.owner
        timeout_s = (
            IDEMPOTENT_SETTLE_TIMEOUT_S
            if owner.idempotent
            else SETTLE_TIMEOUT_S
        )
        until = _now() + timeout_s
        while _now() < until and not _process_is_gone(exc):
            try:
                return await self._settle_once()
            except PeerLostError as again:
                exc = again
                await asyncio.sleep(SETTLE_INTERVAL_S)
        return self._ended_unless_retry(owner.unreachable(self.key), str(exc))

    async def _settle_once(self) -> FinalOutcome | None:
        request = SettleRequest(
            key=self.key,
            incarnation=self.agent.incarnation,
            next_index=self.next_index,
        )
        stream = self._peers.open(self.agent.address, SETTLE, request)
        try:
            state = await self._settled_state(stream)
            match self._request.owner.on_settled(self.key, state):
                case Attach():
                    return await self._follow(stream, None)
                case decision:
                    return self._ended_unless_retry(
                        decision, f'settled as {state.value}'
                    )
        finally:
            stream.cancel()

    async def _settled_state(
        self,
        stream: PeerStream[SettleRequest, RunServerMessage],
    ) -> SettledState:
        try:
            async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
                first = await stream.read()
        except TimeoutError as exc:
            raise self._no_answer('settle') from exc
        if first is None or not isinstance(first.body, Settled):
            raise self._no_answer('settle')
        return first.body.state

    def _ended_unless_retry(
        self, decision: RetryElsewhere | Outcome, message: str
    ) -> FinalOutcome | None:
        match decision:
            case RetryElsewhere():
                return None
            case outcome:
                return FinalOutcome(
                    outcome=outcome,
                    code='outcome_unknown',
                    message=message,
                )

    def _no_answer(self, step: str) -> PeerLostError:
        return PeerLostError(
            'the agent gave no final word',
            step=step,
            peer=self.agent.address,
        )

    def _crossed_answer(self, message: str) -> CrossedAnswerError:
        return CrossedAnswerError(
            message,
            step='answer',
            peer=self.agent.address,
        )


def _process_is_gone(exc: PeerLostError) -> bool:
    """Return whether nothing listens on the agent's port any more.

    An agent listens for as long as anything runs there, so a refused
    connection shows that its incarnation has ended and can't settle anything.
    """
    return 'connection refused' in exc.message.lower()


def _now() -> float:
    return asyncio.get_running_loop().time()
