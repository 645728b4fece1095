"""Clients that run attempts on the local upstream and check its answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from attrs import frozen

from crowrudder_core.dispatch import Completeness
from crowrudder_daemon.fetch import Fetcher, ServerEvent, stream_events
from crowrudder_model import Outcome, UpstreamError
from crowrudder_model.messages import Attempt, Final, Piece

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from crowrudder_daemon.fetch import Answer

_Event = TypeVar('_Event')

HTTP_OK = 200
NOT_RUN_STATUSES = frozenset((409, 429))
"""Statuses by which an engine reports that it did not start the request: it has
another version, or no free slot."""


@frozen
class EngineToken:
    """A ``token`` event of an engine."""

    request_id: str
    version: str
    index: int
    text: str


@frozen
class EngineDone:
    """The ``done`` event of an engine."""

    request_id: str
    version: str
    tokens: int


@frozen
class EngineState:
    """The state that an engine reports."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    fence: int
    loading: str = ''


class CrossedAnswerError(UpstreamError):
    """The upstream sent part of an answer of another request or version."""


class EngineClient:
    """Client of the model engine of this host.

    Parameters
    ----------
    address
        ``IP:PORT`` of the engine.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._fetcher = Fetcher(address)

    async def state(self) -> EngineState:
        """Read the engine's state."""
        answer = await self._fetcher.fetch('/v1/state', timeout_s=3)
        return msgspec.json.decode(answer.body, type=EngineState)

    async def order(self, order: dict[str, Any], *, timeout_s: float) -> Answer:
        """Send an order and wait until it is completed."""
        return await self._fetcher.fetch(
            '/v1/orders',
            method='POST',
            body=msgspec.json.encode(order),
            timeout_s=timeout_s,
        )

    async def put_chunk(self, version: str, index: int, body: bytes) -> None:
        """Send one verified chunk to the engine."""
        answer = await self._fetcher.fetch(
            f'/v1/weights/{version}/chunks/{index}',
            method='PUT',
            body=body,
            timeout_s=30,
        )
        if answer.status >= 300:
            raise UpstreamError(
                f'the engine answered {answer.status} to a chunk',
                step='stage',
                peer=self.address,
            )

    async def run(
        self,
        attempt: Attempt,
        version: str,
    ) -> AsyncIterator[Piece | Final]:
        """Yield the pieces in order, then exactly one final message."""
        fut, pieces = self._fetcher.stream(
            '/v1/generate',
            body=_generate_body(attempt, version),
            timeout_s=attempt.budget_s,
        )
        check = _AnswerCheck(attempt, version, self.address)
        try:
            async for event in stream_events(pieces):
                part = check.take(event)
                yield part
                if isinstance(part, Final):
                    return
            yield await self._incomplete_final(fut, attempt, version)
        finally:
            fut.cancel()

    async def cancel(self, request_id: str) -> None:
        """Cancel a request on the engine."""
        body = msgspec.json.encode({'request_id': request_id})
        await self._fetcher.fetch(
            '/v1/cancel',
            method='POST',
            body=body,
            timeout_s=3,
        )

    async def _incomplete_final(
        self,
        fut: asyncio.Future[Any],
        attempt: Attempt,
        version: str,
    ) -> Final:
        """Return the final message for a stream without a ``done`` event."""
        outcome = Outcome.UNKNOWN
        is_unreached = False
        message = 'the engine ended the answer without its last event'
        try:
            reply = await fut
        except Exception as exc:
            message = f'the engine was lost: {exc}'
            is_unreached = isinstance(exc, ConnectionRefusedError)
            if is_unreached:
                outcome = Outcome.NOT_RUN
        else:
            if reply.code in NOT_RUN_STATUSES:
                outcome = Outcome.NOT_RUN
                message = f'the engine refused with {reply.code}'
            elif reply.code not in {HTTP_OK, 599}:
                outcome = Outcome.FAILED
                message = f'the engine answered {reply.code}'
        return Final(
            request_id=attempt.key.request_id,
            outcome=outcome,
            version=version,
            message=message,
            is_unreached=is_unreached,
        )


class _AnswerCheck:
    """Checks id, version and order of every event of one answer.

    An engine may mix up answers or send them late. Each event is checked
    before it is forwarded; otherwise one caller could receive another's text.
    """

    def __init__(self, attempt: Attempt, version: str, peer: str) -> None:
        self._attempt = attempt
        self._version = version
        self._peer = peer
        self._next_index = attempt.resume_from

    def take(self, event: ServerEvent) -> Piece | Final:
        if event.name == 'done':
            return self._final_of(self._decode(event, EngineDone))
        token = self._decode(event, EngineToken)
        self._check_ids(token.request_id, token.version)
        if token.index != self._next_index:
            raise self._crossed_error(
                f'token {token.index} for {self._next_index}'
            )
        self._next_index += 1
        return Piece(
            request_id=token.request_id,
            version=token.version,
            index=token.index,
            text=token.text,
        )

    def _final_of(self, done: EngineDone) -> Final:
        self._check_ids(done.request_id, done.version)
        if done.tokens != self._next_index:
            raise self._crossed_error(
                f'{done.tokens} tokens, {self._next_index} arrived'
            )
        return Final(
            request_id=done.request_id,
            outcome=Outcome.ANSWERED,
            version=done.version,
            pieces=done.tokens,
        )

    def _decode(self, event: ServerEvent, kind: type[_Event]) -> _Event:
        try:
            return msgspec.json.decode(event.payload, type=kind)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise UpstreamError(
                f'not a {kind.__name__}: {exc}',
                step='answer',
                peer=self._peer,
            ) from exc

    def _check_ids(self, request_id: str, version: str) -> None:
        if request_id != self._attempt.key.request_id:
            raise self._crossed_error(f'a part of {request_id}')
        if version != self._version:
            raise self._crossed_error(f'a part of version {version}')

    def _crossed_error(self, what: str) -> CrossedAnswerError:
        return CrossedAnswerError(what, step='answer', peer=self._peer)


class PlainClient:
    """Client of the plain service of this host.

    Parameters
    ----------
    address
        ``IP:PORT`` of the service.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._fetcher = Fetcher(address)

    async def run(
        self,
        attempt: Attempt,
        version: str,
    ) -> AsyncIterator[Piece | Final]:
        """Make the call; yield a piece with the body, then the final message."""
        request_id = attempt.key.request_id
        try:
            answer = await self._fetcher.fetch(
                f'/{attempt.path}',
                method=attempt.method,
                body=attempt.body or None,
                headers=(*attempt.headers, ('X-Request-Id', request_id)),
                timeout_s=attempt.budget_s,
            )
        except UpstreamError as exc:
            yield Final(
                request_id=request_id,
                outcome=_lost_outcome(exc),
                version=version,
                message=str(exc),
                is_unreached=_lost_outcome(exc) is Outcome.NOT_RUN,
            )
            return
        if answer.completeness is Completeness.TRUNCATED:
            yield Final(
                request_id=request_id,
                outcome=Outcome.UNKNOWN,
                version=version,
                message='the service ended its answer after the head',
            )
            return
        if answer.header('X-Request-Id') != request_id:
            raise CrossedAnswerError(
                f'an answer to {answer.header("X-Request-Id")!r}',
                step='answer',
                peer=self.address,
            )
        yield Piece(
            request_id=request_id,
            version=version,
            index=0,
            body=answer.body,
        )
        yield Final(
            request_id=request_id,
            outcome=Outcome.ANSWERED,
            version=version,
            pieces=1,
            status=answer.status,
            headers=answer.headers,
        )

    async def cancel(self, request_id: str) -> None:
        """Do nothing: plain services don't support cancellation."""


def _lost_outcome(exc: UpstreamError) -> Outcome:
    if isinstance(exc.__cause__, ConnectionRefusedError):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _generate_body(attempt: Attempt, version: str) -> bytes:
    return msgspec.json.encode(
        {
            'request_id': attempt.key.request_id,
            'model': attempt.model,
            'version': version,
            'adapter': attempt.adapter,
            'prompt': attempt.prompt,
            'max_tokens': attempt.max_tokens,
            'priority': attempt.priority,
            'resume_from': attempt.resume_from,
        }
    )
