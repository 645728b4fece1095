"""Calls to other crowrudder processes; one channel for each address."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from grpc import aio

from crowrudder_daemon.rpc._options import MAX_MESSAGE_BYTES, channel_options
from crowrudder_model import (
    MalformedMessageError,
    PeerLostError,
    decode_message,
    encode_message,
)
from crowrudder_model.rpc import CallKind, Method

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')

CALL_TIMEOUT_S = 3.0
_END: Any = vars(aio)['EOF']


class PeerStream(Generic[_Request, _Reply]):
    """A stream to a peer; every failure is raised as `PeerLostError`."""

    def __init__(self, call: Any, *, step: str, peer: str) -> None:
        self._call = call
        self._step = step
        self._peer = peer

    async def send(self, message: _Request) -> None:
        """Send one message."""
        try:
            await self._call.write(message)
        except (aio.AioRpcError, asyncio.InvalidStateError) as exc:
            raise self._peer_lost(exc) from exc

    async def read(self) -> _Reply | None:
        """Read one message; None at the end of the stream."""
        try:
            reply = await self._call.read()
        except aio.AioRpcError as exc:
            raise self._peer_lost(exc) from exc
        except asyncio.CancelledError:
            self._call.cancel()
            raise
        return None if reply is _END else self._well_formed(reply)

    def __aiter__(self) -> AsyncIterator[_Reply]:
        """Iterate until the end of the stream."""
        return self._iterate()

    def cancel(self) -> None:
        """Cancel the call."""
        self._call.cancel()

    async def _iterate(self) -> AsyncIterator[_Reply]:
        while (reply := await self.read()) is not None:
            yield reply

    def _well_formed(self, reply: _Reply | MalformedMessageError) -> _Reply:
        if isinstance(reply, MalformedMessageError):
            raise self._peer_lost(reply) from reply
        return reply

    def _peer_lost(self, exc: BaseException) -> PeerLostError:
        return PeerLostError(_reason(exc), step=self._step, peer=self._peer)


class PeerClient:
    """Channels to other processes, opened on first use.

    Parameters
    ----------
    max_reply_bytes
        Longest message that is received.
    """

    def __init__(self, *, max_reply_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._options = channel_options(max_reply_bytes)
        self._channels: dict[str, aio.Channel] = {}

    async def call(
        self,
        peer: str,
        method: Method[_Request, _Reply],
        request: _Request,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Reply:
        """Make a unary call.

        Raises
        ------
        PeerLostError
            When no valid reply arrived in time, for any reason.
        """
        method_call = self._channel(peer).unary_unary(
            method.path,
            request_serializer=encode_message,
            response_deserializer=partial(
                _decode,
                kind=method.reply_class,
                peer=peer,
            ),
        )
        try:
            reply = await method_call(request, timeout=timeout_s)
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
        method: Method[_Request, _Reply],
        request: _Request | None = None,
    ) -> PeerStream[_Request, _Reply]:
        """Open a stream; ``request`` is for calls that take one message."""
        channel = self._channel(peer)
        opener = (
            channel.stream_stream
            if method.kind is CallKind.BOTH_STREAM
            else channel.unary_stream
        )
        method_call: Any = opener(
            method.path,
            request_serializer=encode_message,
            response_deserializer=partial(
                _decode,
                kind=method.reply_class,
                peer=peer,
            ),
        )
        call = method_call() if request is None else method_call(request)
        return PeerStream(call, step=method.name, peer=peer)

    async def forget(self, peer: str) -> None:
        """Close the channel to a peer that has left."""
        channel = self._channels.pop(peer, None)
        if channel is not None:
            await channel.close(None)

    async def close_others(self, peers: set[str]) -> None:
        """Close the channels to all other peers; their calls are cancelled."""
        for peer in self._channels.keys() - peers:
            await self.forget(peer)

    async def close(self) -> None:
        """Close all channels."""
        for peer in list(self._channels):
            await self.forget(peer)

    def _channel(self, peer: str) -> aio.Channel:
        channel = self._channels.get(peer)
        if channel is None:
            channel = aio.insecure_channel(peer, options=self._options)
            self._channels[peer] = channel
        return channel


def _decode(
    payload: bytes,
    kind: type[_Reply],
    peer: str,
) -> _Reply | MalformedMessageError:
    """Decode a reply, or return the decoding error as a value.

    grpcio logs what a deserializer raises and returns None, which means the
    end of a stream to its reader and no reply to a caller. So the error is
    returned as a value and raised where the reply is read.
    """
    try:
        return decode_message(payload, kind, peer=peer)
    except MalformedMessageError as exc:
        return exc


def _reason(exc: BaseException) -> str:
    if isinstance(exc, aio.AioRpcError):
        return f'{exc.code().name}: {exc.details()}'
    return f'{type(exc).__name__}: {exc}'
