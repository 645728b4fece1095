"""Carry one request through its attempts to exactly one final word."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
from attrs import define, field

from crowrudder_core.requests import Attach, MoveOn, RequestOwner, Settle
from crowrudder_core.routing import Need
from crowrudder_daemon.entry._parts import Ended
from crowrudder_model import CrowrudderError, Outcome, PeerLostError
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    Cancel,
    Final,
    Permit,
    PermitAsk,
    Piece,
    Refusal,
    RunDown,
    RunUp,
    SettleAsk,
    Settled,
    SettledState,
)
from crowrudder_model.rpc import RUN, SETTLE

if TYPE_CHECKING:
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._requests import AgentRef, RequestsTask
    from crowrudder_daemon.rpc import PeerClient, PeerStream

SUSPECT_S = 1.0
"""Seconds for which an agent is avoided after a failed call."""

SETTLE_EVERY_S = 0.25
SETTLE_FOR_S = 5.0


@define
class Drive:
    """One request on its way; owned by the requests task."""

    req: CallerRequest
    owner: RequestOwner
    parts: asyncio.Queue[Piece | Ended]
    _task: RequestsTask
    _peers: PeerClient
    next_index: int = 0
    version: str = ''
    avoid: set[str] = field(factory=set)
    last_refusal: Refusal | None = None

    async def run(self) -> None:
        """Go on until the caller has its final word."""
        left_s = self.owner.deadline - _now()
        ended = None
        try:
            async with asyncio.timeout(max(left_s, 0)):
                ended = await self._attempts()
        except TimeoutError:
            ended = self._not_run('deadline_passed', 'the deadline passed')
        except CrowrudderError as exc:
            ended = Ended(
                outcome=Outcome.UNKNOWN,
                code='internal',
                message=str(exc),
            )
        finally:
            if ended is not None:
                self._finish(ended)

    def _finish(self, ended: Ended) -> None:
        outcome = self.owner.close(ended.outcome)
        if outcome is not ended.outcome:
            ended = Ended(
                outcome=outcome,
                code='outcome_unknown',
                message=ended.message,
            )
        if outcome is Outcome.NOT_RUN:
            self._task.forget(self.owner.request_id)
        self.parts.put_nowait(ended)

    async def _attempts(self) -> Ended:
        while True:
            agent = self._task.choose(self._need())
            if agent is None:
                return self._no_agent()
            ended = await self._one(agent)
            if ended is not None:
                return ended
            self.avoid.add(agent.host)
            if not self._task.may_retry():
                return self._not_run('overloaded', 'the retry budget is spent')

    async def _one(self, agent: AgentRef) -> Ended | None:
        """Make one attempt; None when another one elsewhere is safe."""
        key = self.owner.open_attempt()
        self._task.on_sent(agent)
        stream = self._peers.open(agent.address, RUN)
        try:
            await stream.send(RunUp(attempt=self._attempt(key)))
            return await self._follow(stream, stream, key, agent)
        except PeerLostError as exc:
            self._task.on_failed(agent, exc)
            return await self._lost(key, agent, exc)
        except asyncio.CancelledError:
            await _cancel_quietly(stream, key)
            raise
        finally:
            stream.cancel()
            self._task.on_ended(agent)

    async def _follow(
        self,
        events: PeerStream[Any, RunDown],
        stream: PeerStream[RunUp, RunDown] | None,
        key: AttemptKey,
        agent: AgentRef,
    ) -> Ended | None:
        async for event in events:
            match event.body:
                case PermitAsk(version=version) if stream is not None:
                    granted = self._grant(key, version)
                    permit = Permit(key=key, granted=granted)
                    await stream.send(RunUp(permit=permit))
                case Piece() as piece:
                    self._take(piece, agent)
                case Refusal() as refusal:
                    self.last_refusal = refusal
                    self.owner.refused(key)
                    return None
                case Final() as final:
                    return self._final(key, final, agent)
        raise PeerLostError(
            'the stream ended without a final message',
            step='run',
            peer=agent.address,
        )

    def _grant(self, key: AttemptKey, version: str) -> bool:
        if self.version and version != self.version:
            return False
        granted = self.owner.grant(key, now=_now())
        if granted:
            self.version = version
        return granted

    def _take(self, piece: Piece, agent: AgentRef) -> None:
        """Check a piece and hand it on.

        A crossed, doubled or missing piece would be seen as wrong text in an
        answer that looks whole; such an attempt is given up instead.
        """
        if piece.index < self.next_index:
            return
        own = piece.request_id == self.owner.request_id
        if not own or piece.version != self.version:
            raise _crossed('a piece of another answer', agent)
        if piece.index != self.next_index:
            raise _crossed('a piece is missing', agent)
        self.next_index += 1
        self.parts.put_nowait(piece)

    def _final(
        self,
        key: AttemptKey,
        final: Final,
        agent: AgentRef,
    ) -> Ended | None:
        self.owner.ended(key)
        match final.outcome:
            case Outcome.ANSWERED:
                return self._answered(final, agent)
            case Outcome.NOT_RUN:
                self.last_refusal = Refusal(reason=final.message)
                return None
            case Outcome.FAILED | Outcome.UNKNOWN as outcome:
                if self.owner.idempotent:
                    return None
                return Ended(
                    outcome=outcome,
                    code='upstream_failed',
                    message=final.message,
                )

    def _answered(self, final: Final, agent: AgentRef) -> Ended:
        if final.pieces != self.next_index or final.version != self.version:
            raise _crossed('the answer is not whole', agent)
        return Ended(
            outcome=Outcome.ANSWERED,
            code='ok',
            status=final.status,
            version=final.version,
            pieces=final.pieces,
            headers=final.headers,
        )

    async def _lost(
        self,
        key: AttemptKey,
        agent: AgentRef,
        exc: PeerLostError,
    ) -> Ended | None:
        """Find out what became of an attempt whose stream broke."""
        match self.owner.lost(key):
            case MoveOn():
                return None
            case Settle():
                return await self._settle(key, agent, exc)

    async def _settle(
        self,
        key: AttemptKey,
        agent: AgentRef,
        exc: PeerLostError,
    ) -> Ended | None:
        until = _now() + SETTLE_FOR_S
        while _now() < until:
            try:
                return await self._settle_once(key, agent)
            except PeerLostError as again:
                exc = again
                await asyncio.sleep(SETTLE_EVERY_S)
        return self._after(self.owner.unreachable(key), str(exc))

    async def _settle_once(
        self,
        key: AttemptKey,
        agent: AgentRef,
    ) -> Ended | None:
        ask = SettleAsk(
            key=key,
            incarnation=agent.incarnation,
            next_index=self.next_index,
        )
        stream = self._peers.open(agent.address, SETTLE, ask)
        try:
            first = await stream.read()
            state = _settled_state(first, agent)
            match self.owner.settled(key, state):
                case Attach():
                    return await self._follow(stream, None, key, agent)
                case verdict:
                    return self._after(verdict, f'settled as {state.value}')
        finally:
            stream.cancel()

    def _after(self, verdict: MoveOn | Outcome, message: str) -> Ended | None:
        match verdict:
            case MoveOn():
                return None
            case outcome:
                return Ended(
                    outcome=outcome,
                    code='outcome_unknown',
                    message=message,
                )

    def _attempt(self, key: AttemptKey) -> Attempt:
        head = self.req.head
        attempt = Attempt(
            key=key,
            customer=head.customer,
            service=self.req.service,
            priority=head.priority,
            budget_s=self.owner.deadline - _now(),
            idempotent=head.idempotent,
            version=self.version,
        )
        return _with_work(attempt, self.req, self.next_index)

    def _need(self) -> Need:
        completion = self.req.completion
        return Need(
            service=self.req.service,
            adapter=completion.adapter if completion else '',
            prefix=self.req.prefix,
            avoid=frozenset(self.avoid),
        )

    def _no_agent(self) -> Ended:
        refusal = self.last_refusal
        if refusal is None:
            return self._not_run('no_replica', 'no replica can serve this now')
        return self._not_run('overloaded', refusal.reason)

    def _not_run(self, code: str, message: str) -> Ended:
        refusal = self.last_refusal
        return Ended(
            outcome=Outcome.NOT_RUN,
            code=code,
            message=message,
            retry_after_s=refusal.retry_after_s if refusal else 1,
        )


def _with_work(
    attempt: Attempt,
    req: CallerRequest,
    next_index: int,
) -> Attempt:
    completion = req.completion
    if completion is not None:
        return attrs.evolve(
            attempt,
            model=completion.model,
            adapter=completion.adapter,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            resume_from=next_index,
        )
    plain = req.plain
    if plain is None:
        return attempt
    return attrs.evolve(
        attempt,
        method=plain.method,
        path=plain.path,
        headers=plain.headers,
        body=plain.body,
    )


def _settled_state(first: RunDown | None, agent: AgentRef) -> SettledState:
    if first is None or not isinstance(first.body, Settled):
        raise PeerLostError(
            'no word on the attempt',
            step='settle',
            peer=agent.address,
        )
    return first.body.state


async def _cancel_quietly(
    stream: PeerStream[RunUp, RunDown],
    key: AttemptKey,
) -> None:
    try:
        await stream.send(RunUp(cancel=Cancel(key=key)))
    except PeerLostError:
        return


def _crossed(message: str, agent: AgentRef) -> CrowrudderError:
    return CrowrudderError(message, step='answer', peer=agent.address)


def _now() -> float:
    return asyncio.get_running_loop().time()
