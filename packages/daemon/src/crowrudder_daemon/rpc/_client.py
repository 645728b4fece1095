"""Call other crowrudder processes; one channel for each address."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from grpc import aio

from crowrudder_daemon.rpc._options import CHANNEL_OPTIONS
from crowrudder_model import (
    MalformedMessageError,
    PeerLostError,
    decode_message,
    encode_message,
)
from crowrudder_model.rpc import CallKind, Method

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_Ask = TypeVar('_Ask')
_Reply = TypeVar('_Reply')

CALL_TIMEOUT_S = 3.0
_END: Any = vars(aio)['EOF']


class PeerStream(Generic[_Ask, _Reply]):
    """A stream to a peer; every break is a `PeerLostError`."""

    def __init__(self, call: Any, *, step: str, peer: str) -> None:
        self._call = call
        self._step = step
        self._peer = peer

    async def send(self, message: _Ask) -> None:
        """Send one message."""
        try:
            await self._call.write(message)
        except (aio.AioRpcError, asyncio.InvalidStateError) as exc:
            raise self._lost(exc) from exc

    async def read(self) -> _Reply | None:
        """Read one message; None at the orderly end."""
        try:
            reply = await self._call.read()
        except aio.AioRpcError as exc:
            raise self._lost(exc) from exc
        except asyncio.CancelledError:
            self._call.cancel()
            raise
        return None if reply is _END else self._readable(reply)

    def __aiter__(self) -> AsyncIterator[_Reply]:
        """Iterate until the orderly end."""
        return self._iterate()

    def cancel(self) -> None:
        """Give the call up."""
        self._call.cancel()

    async def _iterate(self) -> AsyncIterator[_Reply]:
        while (reply := await self.read()) is not None:
            yield reply

    def _readable(self, reply: _Reply | MalformedMessageError) -> _Reply:
        if isinstance(reply, MalformedMessageError):
            raise self._lost(reply) from reply
        return reply

    def _lost(self, exc: BaseException) -> PeerLostError:
        return PeerLostError(_reason(exc), step=self._step, peer=self._peer)


class PeerClient:
    """Channels to other processes, opened on first use."""

    def __init__(self) -> None:
        self._channels: dict[str, aio.Channel] = {}

    async def call(
        self,
        peer: str,
        method: Method[_Ask, _Reply],
        ask: _Ask,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Reply:
        """Make a unary call.

        Raises
        ------
        PeerLostError
            When no answer came in time, for whatever reason.
        """
        multi = self._channel(peer).unary_unary(
            method.path,
            request_serializer=encode_message,
            response_deserializer=partial(
                _decode,
                kind=method.reply,
                peer=peer,
            ),
        )
        try:
            reply = await multi(ask, timeout=timeout_s)
        except aio.AioRpcError as exc:
            raise PeerLostError(
                _reason(exc),
                step=method.name,
                peer=peer,
            ) from exc
        if isinstance(reply, MalformedMessageError):
            raise PeerLostError(
                _reason(reply),
                step=method.name,
                peer=peer,
            ) from reply
        return reply

    def open(
        self,
        peer: str,
        method: Method[_Ask, _Reply],
        ask: _Ask | None = None,
    ) -> PeerStream[_Ask, _Reply]:
        """Open a stream; ``ask`` is given where the call takes one message."""
        channel = self._channel(peer)
        opener = (
            channel.stream_stream
            if method.kind is CallKind.BOTH_STREAM
            else channel.unary_stream
        )
        multi: Any = opener(
            method.path,
            request_serializer=encode_message,
            response_deserializer=partial(
                _decode,
                kind=method.reply,
                peer=peer,
            ),
        )
        call = multi() if ask is None else multi(ask)
        return PeerStream(call, step=method.name, peer=peer)

    async def forget(self, peer: str) -> None:
        """Close the channel to a peer that is gone."""
        channel = self._channels.pop(peer, None)
        if channel is not None:
            await channel.close(None)

    async def keep_only(self, peers: set[str]) -> None:
        """Close the channels to all others; calls on them are cut off."""
        for peer in self._channels.keys() - peers:
            await self.forget(peer)

    async def close(self) -> None:
        """Close all channels."""
        for peer in list(self._channels):
            await self.forget(peer)

    def _channel(self, peer: str) -> aio.Channel:
        channel = self._channels.get(peer)
        if channel is None:
            channel = aio.insecure_channel(peer, options=CHANNEL_OPTIONS)
            self._channels[peer] = channel
        return channel


def _decode(
    payload: bytes,
    kind: type[_Reply],
    peer: str,
) -> _Reply | MalformedMessageError:
    """Decode an answer, or give what is wrong with it as a value.

    grpcio logs what a deserializer raises and hands on None: the end of a
    stream to its reader, and to a caller no reply at all. So the fault comes
    as a value, and is raised where the answer is read.
    """
    try:
        return decode_message(payload, kind, peer=peer)
    except MalformedMessageError as exc:
        return exc


def _reason(exc: BaseException) -> str:
    if isinstance(exc, aio.AioRpcError):
        return f'{exc.code().name}: {exc.details()}'
    return f'{type(exc).__name__}: {exc}'
