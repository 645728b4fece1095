"""The caller's connection of a request, on Tornado's HTTP server."""

from __future__ import annotations

import asyncio
import enum
import math
import socket
import struct
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from attrs import frozen
from tornado.httputil import (
    HTTPHeaders,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from crowrudder_core.connections import CloseRule
from crowrudder_daemon._caller_stream import CallerStream
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from crowrudder_core.connections import CallerConnection
    from crowrudder_daemon.fleet_entry._caller_backlog import CallerBacklog


_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_ORDERLY_CLOSE = struct.pack('ii', 0, 0)


class CallerGoneError(Exception):
    """Raised when the caller has closed its connection."""


@frozen(kw_only=True)
class CallerRequest:
    """A request that has been read completely."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


class AnswerTold(enum.Enum):
    """What an answer claims to its caller."""

    NOTHING = 'nothing'
    """Nothing was sent."""

    PART = 'part'
    """It has not ended."""

    WHOLE = 'whole'
    TRUNCATED = 'truncated'


class CallerSide:
    """Writes the answer of one request to its caller.

    Attributes
    ----------
    read_at
        When the end of the request's head was read.
    unread_s
        How long the head had stood in the socket by then, as far as the kernel
        tells; never longer than it really had.
    gone_at
        When this process noticed that the caller had left; None before.
    gone_late_s
        How much later that was than the caller's FIN or reset.
    is_cut_off
        Whether it was cut off as it read slowly.
    is_admitted
        Whether the request was admitted before it was read.
    is_answer_whole
        Whether all that is left of the answer is its caller's reading.
    """

    def __init__(self, conn: HTTP1Connection, backlog: CallerBacklog) -> None:
        self._conn = conn
        self._backlog = backlog
        self.is_cut_off = False
        self._stream = conn.stream
        self.read_at = clock_s()
        self._behind_until = -math.inf
        if isinstance(conn.stream, CallerStream):
            if conn.stream.requests:
                self._behind_until = self.read_at
            conn.stream.requests += 1
        self.unread_s = 0.0
        self.gone_at: float | None = None
        self.gone_late_s = 0.0
        self.is_admitted = False
        self.is_answer_whole = False
        self.told = AnswerTold.NOTHING
        self.has_begun = False
        self._accepts_chunks = True
        self._request_headers = HTTPHeaders()
        self._resets_on_close = False
        self._is_last = False
        self.is_gone = False
        self._on_gone: Callable[[], object] | None = None

    @property
    def arrived_at(self) -> float:
        """When the request arrived at this host: its caller's time runs since.

        It can't have been later, and is earlier by what the kernel doesn't
        tell. The loop may come to a request long after its arrival.
        """
        return self.read_at - self.unread_s

    @property
    def waits_since(self) -> float:
        """Return since when the request has waited for this process.

        While an earlier request of its connection was in progress, it waited
        for that one: the caller sent it ahead.
        """
        return max(self.arrived_at, self._behind_until)

    def on_request_head(
        self, line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Record what the caller accepts; ``headers`` are Tornado's own."""
        self._record_arrival()
        if self._connection is not None:
            self._connection.on_head(now=clock_s())
        self._accepts_chunks = line.version != 'HTTP/1.0'
        self._request_headers = headers

    def watch(self, on_gone: Callable[[], object]) -> None:
        """Register a callback for the close of the caller's connection."""
        self._on_gone = on_gone
        self._conn.set_close_callback(self.mark_gone)

    def mark_gone(self) -> None:
        """Record that the connection has closed, and call back."""
        self.is_gone = True
        self._backlog.remove(self)
        stream = self._stream
        left_at = stream.left_at if isinstance(stream, CallerStream) else None
        self._record_leaving(left_at)
        callback, self._on_gone = self._on_gone, None
        if callback is not None:
            callback()

    def has_left(self) -> bool:
        """Return whether the caller has left, as its socket says now.

        The loop may be told of a close long after it, and not at all behind
        bytes that it hasn't read. A caller that only ends its sending side
        counts as gone, as it does where the close is noticed.
        """
        stream = self._stream
        if not self.is_gone and isinstance(stream, CallerStream):
            peer = stream.peer()
            if not peer.is_open:
                self.is_gone = True
                self._record_leaving(clock_s() - peer.segment_age_s)
        return self.is_gone

    def release(self) -> None:
        """Close the connection of a caller that has left.

        The loop doesn't notice its end behind a further request.
        """
        self._on_gone = None
        if self.told is AnswerTold.WHOLE:
            # The connection is at its next request.
            return
        self._set_close_rule(CloseRule.CALLER_LEFT)
        if not self._stream.closed():
            self._conn.close()

    async def begin(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b'',
    ) -> None:
        """Send status and headers; without a length the body is chunked."""
        if self.is_gone:
            raise CallerGoneError
        line, fields = self._begin(status, headers)
        await self._send(self._write_head, line, fields, body)

    def answer_now(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete short answer, without waiting for its caller."""
        sized = [*headers, ('Content-Length', str(len(body)))]
        sent = self._write_head(*self._begin(status, sized), body)
        # A caller that has left meanwhile is no error.
        sent.add_done_callback(asyncio.Future.exception)
        self.finish()

    def end(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a short answer, or truncate the one that has begun.

        What is written afterwards fails as if the caller had left: on a
        connection that is kept it would be taken for the next answer.

        Raises
        ------
        CallerGoneError
            If the caller has left.
        """
        if self.is_gone:
            raise CallerGoneError
        match self.told:
            case AnswerTold.NOTHING:
                self.answer_now(status, headers, body)
            case AnswerTold.PART:
                self.abort()
        self.is_gone = True

    def begin_refusal(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a short answer while the request is still being read."""
        sized = [
            *headers,
            ('Connection', 'close'),
            ('Content-Length', str(len(body))),
        ]
        if self._connection is not None:
            self._connection.on_answer(now=clock_s())
        sent = self._write_head(*self._begin(status, sized), body)
        # A caller that has left meanwhile is no error.
        sent.add_done_callback(asyncio.Future.exception)

    def end_refusal(self, rule: CloseRule) -> None:
        """Close the connection after `begin_refusal`."""
        self.told = AnswerTold.WHOLE
        self._set_close_rule(rule)
        self._conn.close()

    def allow_body(self, max_bytes: int) -> None:
        """Set how long the body of this request may be."""
        self._conn.set_max_body_size(max_bytes)

    def _begin(
        self, status: int, headers: list[tuple[str, str]]
    ) -> tuple[ResponseStartLine, HTTPHeaders]:
        fields = HTTPHeaders()
        for name, text in headers:
            fields.add(name, text)
        self.has_begun = True
        self.told = AnswerTold.PART
        if not self._accepts_chunks and 'Content-Length' not in fields:
            self._set_reset_on_close(is_set=True)
            self._disallow_keep_alive()
        stream = self._stream
        if isinstance(stream, CallerStream) and stream.is_last_answer():
            self._is_last = True
            fields['Connection'] = 'close'
            self._disallow_keep_alive()
        line = ResponseStartLine('HTTP/1.1', status, _reason_phrase(status))
        return line, fields

    def _write_head(
        self, line: ResponseStartLine, fields: HTTPHeaders, body: bytes
    ) -> asyncio.Future[None]:
        try:
            return self._conn.write_headers(line, fields, body)
        except Exception:
            # It is checked before it is written: another one may follow.
            self.has_begun = False
            self.told = AnswerTold.NOTHING
            raise

    async def write(self, piece: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""
        if piece:
            await self._send(self._conn.write, piece)

    def push(self, piece: bytes) -> asyncio.Future[None] | None:
        """Send a part of the body without waiting.

        Return a future that is done once the part has been written, or None
        if it has been written already.

        Raises
        ------
        CallerGoneError
            If the caller has left.
        """
        if self.is_gone:
            raise CallerGoneError
        sent = self._conn.write(piece)
        if not sent.done():
            self._backlog.add(self, len(piece))
            sent.add_done_callback(lambda _: self._backlog.remove(self))
            return sent
        if isinstance(sent.exception(), StreamClosedError):
            self.is_gone = True
            raise CallerGoneError
        return None

    def finish(self) -> None:
        """Mark the answer as complete."""
        self._on_gone = None
        if self.is_gone:
            return
        self._set_close_rule(CloseRule.LAST_ANSWER)
        is_delimited = not self._resets_on_close
        if not is_delimited:
            self._set_reset_on_close(is_set=False)
        self._conn.finish()
        self.told = AnswerTold.WHOLE
        if self._is_last or not is_delimited:
            self._close_when_written()

    def abort(self) -> None:
        """Close the connection, so that the caller sees a truncated answer."""
        self._on_gone = None
        if self.told is AnswerTold.WHOLE:
            return
        self.told = AnswerTold.TRUNCATED
        self._set_close_rule(CloseRule.TRUNCATED)
        self._backlog.remove(self)
        self._conn.close()

    def cut_off(self) -> None:
        """Close the connection of a caller that reads too slowly."""
        self.is_cut_off = True
        self.told = AnswerTold.TRUNCATED
        self._set_close_rule(CloseRule.SLOW_READER)
        self._conn.close()
        self.mark_gone()

    async def answer(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a complete answer with its length."""
        sized = [*headers, ('Content-Length', str(len(body)))]
        self.is_answer_whole = True
        await self.begin(status, sized, body)
        self.finish()

    @property
    def _connection(self) -> CallerConnection | None:
        stream = self._stream
        return stream.connection if isinstance(stream, CallerStream) else None

    def _set_close_rule(self, rule: CloseRule) -> None:
        if isinstance(self._stream, CallerStream):
            self._stream.close_rule = rule

    def _record_arrival(self) -> None:
        stream = self._stream
        if not isinstance(stream, CallerStream):
            return
        now = clock_s()
        peer = stream.peer()
        self.is_admitted, stream.is_admitted = stream.is_admitted, False
        self.read_at = stream.read_at
        # Data that arrived after the head makes the result too small.
        self.unread_s = max(stream.read_at - now + peer.data_age_s, 0)
        if not peer.is_open:
            self.is_gone = True
            self._record_leaving(now - peer.segment_age_s)

    def _record_leaving(self, left_at: float | None) -> None:
        if self.gone_at is not None:
            return
        self.gone_at = clock_s()
        if left_at is not None:
            self.gone_late_s = self.gone_at - left_at

    def _set_reset_on_close(self, *, is_set: bool) -> None:
        """Let any close of the connection reset it, or no longer.

        To a caller that accepts no chunks, the orderly end of the connection
        is the end of the answer, also if this process crashes.
        """
        stream = self._conn.stream
        if not stream.closed():
            linger = _RESET_ON_CLOSE if is_set else _ORDERLY_CLOSE
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        self._resets_on_close = is_set

    def _disallow_keep_alive(self) -> None:
        # Tornado would answer that it keeps the connection.
        self._request_headers.pop('Connection', None)

    def _close_when_written(self) -> None:
        stream = self._conn.stream
        if not stream.closed():
            stream.write(b'').add_done_callback(lambda _: stream.close())

    async def _send(self, write: Callable[..., Any], *args: object) -> None:
        if self.is_gone:
            raise CallerGoneError
        sent = write(*args)
        if not sent.done():
            size = sum(len(each) for each in args if isinstance(each, bytes))
            self._backlog.add(self, size)
        try:
            await sent
        except StreamClosedError as exc:
            self.is_gone = True
            raise CallerGoneError from exc
        finally:
            self._backlog.remove(self)


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
