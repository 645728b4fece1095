"""A persistent HTTP/1.1 connection to an external system.

Tornado's HTTP client opens a connection for each request, but external systems
count and limit connections. The protocol is parsed by h11.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import h11
from attrs import frozen

from crowrudder_core.dispatch import (
    MAX_BUFFERED_PARTS,
    MAX_DRAINED_BYTES,
    MAX_HEAD_BYTES,
    MAX_PARTS_WITHOUT_EVENT,
    AnswerBound,
    BodyEnd,
    Framing,
    InformationalCount,
)
from crowrudder_daemon._peer_state import PeerState, peer_state
from crowrudder_daemon.http._body_relay import BodyRelay
from crowrudder_daemon.http._response_body import (
    ConnectionEnd,
    ResponseBody,
    framing_of,
)
from crowrudder_daemon.http._turn_budget import MAX_TURN_BYTES, TurnBudget
from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

READ_AHEAD_BYTES = 65_536
"""Response bytes buffered before reading pauses, so that a slow caller slows
its upstream."""

TCP_USER_TIMEOUT_MS = 4000
"""The kernel closes the connection after this time without an acknowledgement.

A network partition sends no reset; this backs up the timeouts of requests.
"""

_INT_BYTES = 4
"""Size of the integer in which the kernel reports the length of a queue."""


class NotConnectedError(UpstreamError):
    """No connection was available: no part of the request was sent."""

    @property
    def is_refused(self) -> bool:
        """Return whether the peer refused the connection: nothing listens."""
        return isinstance(self.__cause__, ConnectionRefusedError)

    @property
    def is_timeout(self) -> bool:
        """Return whether the peer didn't answer the attempt to connect."""
        return isinstance(self.__cause__, TimeoutError)


class ConnectionLimitError(NotConnectedError):
    """No connection was opened, as the address may have no further one."""


class ConnectionEndedError(UpstreamError):
    """The connection can't take another call; it was not sent."""


class BrokenAnswerError(UpstreamError):
    """The response was truncated or invalid; the request may have run."""


class AnswerBoundError(BrokenAnswerError):
    """The response had more of something than any response may have."""

    def __init__(self, bound: AnswerBound, *, peer: str) -> None:
        super().__init__(
            f'too much of: {bound.value}', step='answer', peer=peer
        )
        self.bound = bound


@frozen(kw_only=True)
class WireRequest:
    """A request to send; ``target`` is the path with its query."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@frozen(kw_only=True)
class WireHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str:
        """Return a header's value by its lower-case name; empty if absent."""
        for key, text in self.headers:
            if key == name:
                return text
        return ''


@frozen(kw_only=True)
class WireAnswer:
    """A complete response."""

    head: WireHead
    body: bytes


class HttpConnection(asyncio.Protocol):
    """The client side of one connection.

    One request at a time: `send`, `head`, then `part` until it returns None.

    Parameters
    ----------
    peer
        ``IP:PORT``, named in errors.
    on_closed
        Called once, when either side closes the connection.

    Attributes
    ----------
    context
        Set by the user of the connection: for what it was used last.
    body
        The body of the current response.
    received_bytes
        Bytes received since the current request was sent.
    """

    def __init__(
        self,
        peer: str,
        on_closed: Callable[[HttpConnection], None] | None = None,
    ) -> None:
        self.peer = peer
        self.context: object = None
        self.usable_until = 0.0
        self.requests = 0
        self.received_bytes = 0
        self.body = ResponseBody()
        self._wire = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEAD_BYTES,
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._unread_bytes = 0
        self._is_busy = False
        self._end = ConnectionEnd(
            partial(on_closed, self) if on_closed else None
        )
        self._request: WireRequest | None = None
        self._relay: BodyRelay | None = None
        self._turn = TurnBudget()
        self._left = b''

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is open."""
        if not self._is_busy:
            self._end.record(BodyEnd.LOCAL, 'bytes that no request asked for')
            self.close()
            return
        self._wire.receive_data(data)
        self.received_bytes += len(data)
        self._unread_bytes += len(data)
        if (
            self._unread_bytes > READ_AHEAD_BYTES
            and self._transport is not None
        ):
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Record that the peer closed its side in an orderly way."""
        self._end.record(BodyEnd.FIN, 'closed by the other side')
        if self._is_busy:
            self._wire.receive_data(b'')
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed."""
        self._end.record(BodyEnd.RESET, 'connection lost: closed')
        if exc is not None:
            self._end.reason = f'connection lost: {exc}'
        self._wake()

    # Methods for users of the connection.

    @property
    def is_open(self) -> bool:
        """Return whether a request may be sent: open, and none in progress."""
        return not self._end.reason and not self._is_busy

    @property
    def was_ended_by_peer(self) -> bool:
        """Return whether the peer has closed or reset the connection."""
        return self._end.is_by_peer

    @property
    def body_end(self) -> BodyEnd:
        """Return how the body of the current response ended."""
        is_framed = self.body.framing is not Framing.CONNECTION
        if self.body.is_read and is_framed:
            return BodyEnd.FRAMING
        return self._end.how

    @property
    def unsent_bytes(self) -> int:
        """Return the number of unacknowledged bytes; -1 if unknown.

        They are buffered here or in transit. Over a saturated link that takes
        long, and the close of the connection is queued behind them.
        """
        if self._transport is None:
            return -1
        sock = self._transport.get_extra_info('socket')
        try:
            answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_INT_BYTES))
        except (OSError, ValueError):
            # The socket has been closed meanwhile.
            return -1
        queued = int.from_bytes(answer, sys.byteorder)
        return queued + self._transport.get_write_buffer_size()

    def socket_state(self) -> PeerState:
        """Return what the kernel knows of the upstream's side.

        A busy process reads an answer, or the end, long after its arrival.
        """
        if self._transport is None:
            return PeerState()
        return peer_state(self._transport.get_extra_info('socket'))

    def send(self, request: WireRequest) -> None:
        """Send a complete request."""
        if self._transport is None or not self.is_open:
            raise NotConnectedError(
                self._end.reason or 'busy', step='send', peer=self.peer
            )
        self._is_busy = True
        self.received_bytes = 0
        self.requests += 1
        self._request = request
        self.body = ResponseBody()
        self._transport.write(_encode(self._wire, request))

    async def head(self) -> WireHead:
        """Wait for the status and headers of the response.

        Raises
        ------
        BrokenAnswerError
            When the connection ended or the response is invalid.
        """
        informational = InformationalCount()
        while True:
            if informational.is_exceeded:
                bound = AnswerBound.INFORMATIONAL
                raise AnswerBoundError(bound, peer=self.peer)
            match await self._event():
                case h11.Response() as event:
                    return self._begin_body(event)
                case h11.InformationalResponse() as event:
                    informational.add(_fields_size(event))
                case _:
                    raise self._answer_error('ended without an answer')

    def received_head(self) -> WireHead | None:
        """Return the head of a response that has arrived, without waiting.

        Return None if none has arrived, or if it is invalid.
        """
        try:
            event = self._buffered_event()
        except BrokenAnswerError:
            return None
        if not isinstance(event, h11.Response):
            return None
        return self._begin_body(event)

    async def part(self) -> bytes | None:
        """Wait for the next part of the body; None at its orderly end.

        Raises
        ------
        BrokenAnswerError
            When the body is truncated.
        """
        return self._body_part(await self._event())

    async def relay(
        self,
        consume: Callable[[bytes], asyncio.Future[None] | None],
        *,
        pause_s: float,
    ) -> None:
        """Forward the rest of the body as it arrives, see `BodyRelay`.

        Raises
        ------
        BrokenAnswerError
            When the body is truncated.
        TimeoutError
            When no part arrived for ``pause_s``.
        """
        self._relay = BodyRelay(
            consume,
            self._buffered_part,
            self._set_reading_paused,
            pause_s=pause_s,
        )
        try:
            await self._relay.run()
        finally:
            self._relay = None

    async def closed(self) -> None:
        """Wait until the connection is closed."""
        while not self._end.reason:
            await self._wait_for_bytes()

    async def drain(self) -> None:
        """Read and discard the rest of a response.

        Raises
        ------
        BrokenAnswerError
            When it is truncated, or too long to be worth the connection.
        """
        began_at = self.received_bytes
        parts = 0
        while await self.part() is not None:
            parts += 1
            size = self.received_bytes - began_at
            if size > MAX_DRAINED_BYTES or parts > MAX_PARTS_WITHOUT_EVENT:
                raise AnswerBoundError(AnswerBound.DRAINED, peer=self.peer)

    async def answer(
        self,
        *,
        max_bytes: int,
        on_bytes: Callable[[int], None] | None = None,
    ) -> WireAnswer:
        """Wait for a complete response.

        Raises
        ------
        BrokenAnswerError
            When it is incomplete or longer than ``max_bytes``.
        """
        head = await self.head()
        parts: list[bytes] = []
        size = 0
        while (part := await self.part()) is not None:
            parts.append(part)
            size += len(part)
            if on_bytes is not None:
                on_bytes(len(part))
            if size > max_bytes:
                raise self._answer_error(f'longer than {max_bytes} bytes')
            if len(parts) > MAX_BUFFERED_PARTS:
                raise self._answer_error(
                    f'in more than {MAX_BUFFERED_PARTS} parts'
                )
        return WireAnswer(head=head, body=b''.join(parts))

    def skip(self) -> None:
        """Prepare for the own response after one to another request.

        An upstream may answer a request twice. The second response arrives
        in place of the next one, and would be sent to the wrong caller.

        Raises
        ------
        BrokenAnswerError
            When the connection is closed.
        """
        left, is_closed = self._wire.trailing_data
        if self._end.reason or self._request is None:
            raise self._answer_error(self._end.reason or 'no request')
        self._wire = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MAX_HEAD_BYTES,
        )
        _encode(self._wire, self._request)
        self.body = ResponseBody()
        if left:
            self._wire.receive_data(left)
        if is_closed:
            self._wire.receive_data(b'')

    def finish(self) -> bool:
        """Return whether the connection may be reused after a response.

        It may not with surplus bytes, nor when the upstream answered before it
        had read the request: it would read the next one as the rest of this.
        """
        left, _ = self._wire.trailing_data
        states = (self._wire.our_state, self._wire.their_state)
        is_done = states == (h11.DONE, h11.DONE)
        transport = self._transport
        is_sent = (
            transport is not None and not transport.get_write_buffer_size()
        )
        if self._end.reason or left or not is_done or not is_sent:
            self.close()
            return False
        self._wire.start_next_cycle()
        self._is_busy = False
        self._unread_bytes = 0
        return True

    def close(self) -> None:
        """Abort the connection at once; the upstream sees it close."""
        self._end.record(BodyEnd.LOCAL, 'closed here')
        if self._transport is not None:
            self._transport.abort()

    def _begin_body(self, response: h11.Response) -> WireHead:
        method = '' if self._request is None else self._request.method
        self.body.framing = framing_of(method, response)
        return _wire_head(response)

    def _body_part(self, event: object) -> bytes | None:
        match event:
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                self.body.is_read = True
                return None
            case _:
                raise self._answer_error('broke off within the body')

    def _buffered_part(self) -> bytes | None:
        """Return a buffered part of the body; empty while there is none."""
        self._unread_bytes = 0
        event = self._buffered_event()
        if event is not h11.NEED_DATA:
            return self._body_part(event)
        # Too many bytes at once have stopped the reading, see `data_received`.
        self._set_reading_paused(is_paused=False)
        return b''

    def _set_reading_paused(self, *, is_paused: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    async def _event(self) -> object:
        if self._turn.is_spent:
            await asyncio.sleep(0)
            self._turn.begin()
        while (event := self._buffered_event()) is h11.NEED_DATA:
            await self._wait_for_bytes()
            self._turn.begin()
        self._turn.spend(len(event.data) if isinstance(event, h11.Data) else 0)
        return event

    def _buffered_event(self) -> object:
        """Return the next event; `NEED_DATA` while more bytes may arrive."""
        if self._left:
            part, self._left = _split(self._left)
            return part
        try:
            event = self._wire.next_event()
        except h11.RemoteProtocolError as exc:
            if (bound := _bound_met(exc, self.body)) is not None:
                raise AnswerBoundError(bound, peer=self.peer) from exc
            raise self._answer_error(self._end.reason or str(exc)) from exc
        if event is h11.NEED_DATA and self._end.reason:
            raise self._answer_error(self._end.reason)
        if isinstance(event, h11.Data) and len(event.data) > MAX_TURN_BYTES:
            event, self._left = _split(event.data)
        return event

    async def _wait_for_bytes(self) -> None:
        self._unread_bytes = 0
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._relay is not None:
            self._relay.on_bytes()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _answer_error(self, reason: str) -> BrokenAnswerError:
        return BrokenAnswerError(reason, step='answer', peer=self.peer)


def _split(body: bytes) -> tuple[h11.Data, bytes]:
    """Return the first part of bytes of the body, and the rest.

    A read from the socket has up to 256 KiB, whose lines may take longer than
    a turn of the loop should.
    """
    part = h11.Data(data=bytes(body[:MAX_TURN_BYTES]))
    return part, body[MAX_TURN_BYTES:]


def _bound_met(
    exc: h11.RemoteProtocolError, body: ResponseBody
) -> AnswerBound | None:
    """Return the bound that the parser reports with an error, if any."""
    if exc.error_status_hint != HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        return None
    if body.framing is None:
        return AnswerBound.HEAD
    return AnswerBound.CHUNK_FRAMING


def _fields_size(event: h11.InformationalResponse) -> int:
    return sum(len(name) + len(text) for name, text in event.headers)


def _wire_head(event: h11.Response) -> WireHead:
    return WireHead(
        status=event.status_code,
        headers=tuple(
            (name.decode('ascii'), text.decode('latin-1'))
            for name, text in event.headers
        ),
    )


def _encode(wire: h11.Connection, request: WireRequest) -> bytes:
    # Header values are decoded as Latin-1 where they are read.
    headers = [
        (name.encode('ascii'), text.encode('latin-1'))
        for name, text in _with_length(request)
    ]
    head = wire.send(
        h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        ),
    )
    body = wire.send(h11.Data(data=request.body)) if request.body else b''
    end = wire.send(h11.EndOfMessage())
    return b''.join((head or b'', body or b'', end or b''))


def _with_length(request: WireRequest) -> Iterable[tuple[str, str]]:
    yield from request.headers
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        yield ('Content-Length', str(len(request.body)))
