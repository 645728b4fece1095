"""One HTTP/1.1 connection to an outside system, kept over many requests.

The HTTP client of tornado opens a connection for each request, while outside
systems count and limit them; the parser is h11's.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
from typing import TYPE_CHECKING, cast

import h11
from attrs import frozen

from crowrudder_daemon.http._body_relay import BodyRelay
from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

READ_AHEAD_BYTES = 65_536
"""Bytes of an answer held unread; a slow caller then slows its upstream."""

MOST_HEAD_BYTES = 65_536
SILENT_MS = 4000
"""After so long without an acknowledgement the system gives the connection
up. Partitions send no reset; it is a second line behind the time-outs."""

_INT_BYTES = 4
"""Length of the number that the system gives as the length of a queue."""


class NotConnectedError(UpstreamError):
    """No connection could be opened: nothing of the request was sent."""

    @property
    def is_refused(self) -> bool:
        """Whether nobody listens there, by the answer of the other side."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class BrokenAnswerError(UpstreamError):
    """The answer broke off, or was none; the request may have run."""


@frozen(kw_only=True)
class WireRequest:
    """A request as it goes out; ``target`` is the path with its query."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@frozen(kw_only=True)
class WireHead:
    """Status and headers of an answer; the names in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str:
        """Give a header's text by its lower-case name; empty for none."""
        for key, text in self.headers:
            if key == name:
                return text
        return ''


@frozen(kw_only=True)
class WireAnswer:
    """A whole answer."""

    head: WireHead
    body: bytes


class HttpConnection(asyncio.Protocol):
    """A client's side of one connection.

    One request at a time: `send`, `head`, then `part` until it gives None.

    Parameters
    ----------
    peer
        ``IP:PORT``, named in errors.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.usable_until = 0.0
        self.requests = 0
        self._wire = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MOST_HEAD_BYTES,
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._ahead = 0
        self._is_busy = False
        self._lost = ''
        self._was_ended_by_peer = False
        self._request: WireRequest | None = None
        self._relay: BodyRelay | None = None

    # The event loop's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Take bytes; while nothing was asked they belong to no request."""
        if not self._is_busy:
            self._lost = 'bytes that no request asked for'
            self.close()
            return
        self._wire.receive_data(data)
        self._ahead += len(data)
        if self._ahead > READ_AHEAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Take the orderly end of the other side's bytes."""
        self._was_ended_by_peer |= not self._lost
        self._lost = self._lost or 'closed by the other side'
        if self._is_busy:
            self._wire.receive_data(b'')
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Take note that the connection is gone."""
        self._was_ended_by_peer |= not self._lost
        if exc is not None or not self._lost:
            self._lost = f'connection lost: {exc or "closed"}'
        self._wake()

    # The user's side.

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent: nothing lost, nothing left over."""
        return not self._lost and not self._is_busy

    @property
    def was_ended_by_peer(self) -> bool:
        """Whether the other side has closed or reset it."""
        return self._was_ended_by_peer

    @property
    def is_sent(self) -> bool:
        """Whether all bytes of the request have left this process."""
        transport = self._transport
        return transport is not None and not transport.get_write_buffer_size()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the other side hasn't acknowledged; -1 if unknown.

        They wait here, or are on their way; over a full link that takes long,
        and the closing of a connection waits behind them.
        """
        if self._transport is None:
            return -1
        sock = self._transport.get_extra_info('socket')
        try:
            answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_INT_BYTES))
        except (OSError, ValueError):
            # Closed meanwhile.
            return -1
        queued = int.from_bytes(answer, sys.byteorder)
        return queued + self._transport.get_write_buffer_size()

    def send(self, request: WireRequest) -> None:
        """Send a request as a whole."""
        if self._transport is None or not self.is_open:
            raise NotConnectedError(
                self._lost or 'busy', step='send', peer=self.peer
            )
        self._is_busy = True
        self.requests += 1
        self._request = request
        self._transport.write(_encode(self._wire, request))

    async def head(self) -> WireHead:
        """Wait for the answer's status and headers.

        Raises
        ------
        BrokenAnswerError
            When the connection ended, or what came is no answer.
        """
        while True:
            match await self._event():
                case h11.Response() as event:
                    return WireHead(
                        status=event.status_code,
                        headers=tuple(
                            (name.decode('ascii'), text.decode('latin-1'))
                            for name, text in event.headers
                        ),
                    )
                case h11.InformationalResponse():
                    continue
                case _:
                    raise self._broken('ended without an answer')

    async def part(self) -> bytes | None:
        """Wait for more of the body; None at its proper end.

        Raises
        ------
        BrokenAnswerError
            When it ends before.
        """
        return self._body_part(await self._event())

    async def relay(
        self,
        take: Callable[[bytes], asyncio.Future[None] | None],
        *,
        pause_s: float,
    ) -> None:
        """Hand on the rest of the body as it comes, see `BodyRelay`.

        Raises
        ------
        BrokenAnswerError
            When it ends before its proper end.
        TimeoutError
            When no part came for ``pause_s``.
        """
        self._relay = BodyRelay(
            take, self._part_at_hand, self._hold, pause_s=pause_s
        )
        try:
            await self._relay.run()
        finally:
            self._relay = None

    async def closed(self) -> None:
        """Wait until the connection is gone."""
        while not self._lost:
            await self._more()

    async def drain(self) -> None:
        """Read over the rest of an answer that nobody needs."""
        while await self.part() is not None:
            self._ahead = 0

    async def answer(
        self,
        *,
        most_bytes: int,
        on_bytes: Callable[[int], None] | None = None,
    ) -> WireAnswer:
        """Wait for a whole answer.

        Raises
        ------
        BrokenAnswerError
            When it isn't whole, or longer than ``most_bytes``.
        """
        head = await self.head()
        parts: list[bytes] = []
        size = 0
        while (part := await self.part()) is not None:
            parts.append(part)
            size += len(part)
            if on_bytes is not None:
                on_bytes(len(part))
            if size > most_bytes:
                raise self._broken(f'longer than {most_bytes} bytes')
        return WireAnswer(head=head, body=b''.join(parts))

    def skip(self) -> None:
        """After a whole answer to another request, wait for one's own.

        An upstream may answer a request twice. The second answer arrives
        where the next one is due, and would be given to its caller.

        Raises
        ------
        BrokenAnswerError
            When the connection has ended.
        """
        left, is_closed = self._wire.trailing_data
        if self._lost or self._request is None:
            raise self._broken(self._lost or 'no request')
        self._wire = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=MOST_HEAD_BYTES,
        )
        _encode(self._wire, self._request)
        if left:
            self._wire.receive_data(left)
        if is_closed:
            self._wire.receive_data(b'')

    def finish(self) -> bool:
        """After a whole answer, tell whether the connection may be kept.

        Not with bytes left over, and not when the upstream answered before it
        had read the request: it would take the next one for the rest.
        """
        left, _ = self._wire.trailing_data
        states = (self._wire.our_state, self._wire.their_state)
        is_done = states == (h11.DONE, h11.DONE)
        if self._lost or left or not is_done or not self.is_sent:
            self.close()
            return False
        self._wire.start_next_cycle()
        self._is_busy = False
        self._ahead = 0
        return True

    def close(self) -> None:
        """Drop the connection at once; the upstream sees it close."""
        self._lost = self._lost or 'closed here'
        if self._transport is not None:
            self._transport.abort()

    def _body_part(self, event: object) -> bytes | None:
        match event:
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                return None
            case _:
                raise self._broken('broke off within the body')

    def _part_at_hand(self) -> bytes | None:
        """Give a part of the body; empty while none has come."""
        self._ahead = 0
        event = self._event_at_hand()
        if event is not h11.NEED_DATA:
            return self._body_part(event)
        # Too many bytes at once have stopped the reading, see `data_received`.
        self._hold(is_held=False)
        return b''

    def _hold(self, *, is_held: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if is_held:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    async def _event(self) -> object:
        while (event := self._event_at_hand()) is h11.NEED_DATA:
            await self._more()
        return event

    def _event_at_hand(self) -> object:
        """Give the next event, `NEED_DATA` while more may come."""
        try:
            event = self._wire.next_event()
        except h11.RemoteProtocolError as exc:
            raise self._broken(self._lost or str(exc)) from exc
        if event is h11.NEED_DATA and self._lost:
            raise self._broken(self._lost)
        return event

    async def _more(self) -> None:
        self._ahead = 0
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

    def _broken(self, reason: str) -> BrokenAnswerError:
        return BrokenAnswerError(reason, step='answer', peer=self.peer)


def _encode(wire: h11.Connection, request: WireRequest) -> bytes:
    headers = list(_with_length(request))
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
