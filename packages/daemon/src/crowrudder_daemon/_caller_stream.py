"""The stream of a caller's connection, which can be asked about its caller."""

from __future__ import annotations

import asyncio
import math
import socket
from http import HTTPStatus
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, UnsatisfiableReadError

from crowrudder_core.connections import CloseRule, ConnectionState
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._lingering_close import LINGER_S, LingeringClose
from crowrudder_daemon._peer_state import PeerState, peer_state

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from typing import Any

    from crowrudder_daemon._connection_watch import ConnectionWatch

MAX_PEEKED_BYTES = 65_536
"""Most unread bytes that are counted: they are copied to be counted."""

MAX_REFUSED_BYTES = 512 * 1024
"""How much of a refused request is read, with what was read before."""

_LAST_WORDS = {
    CloseRule.SLOW_HEAD: HTTPStatus.REQUEST_TIMEOUT,
    CloseRule.SLOW_BODY: HTTPStatus.REQUEST_TIMEOUT,
    CloseRule.LONG_HEAD: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    CloseRule.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
}

_LINGERING_RULES = frozenset((CloseRule.LAST_ANSWER, CloseRule.BAD_REQUEST))

_TORNADO_BAD_REQUEST = b'HTTP/1.1 400 Bad Request\r\n\r\n'
"""What Tornado writes to a request that it can't parse: it has no length."""


class CallerStream(IOStream):
    """A stream that records when its bytes were read and its peer left.

    Parameters
    ----------
    watch
        Knows the limits of the connection; without one it has none.

    Attributes
    ----------
    read_at
        When bytes were read last, see `clock_s`.
    left_at
        When the peer's FIN or reset arrived, as far as the kernel tells; None
        while it is open, and if this side has closed it.
    is_admitted
        Whether its next request was admitted before it was read.
    requests
        Number of requests so far, with the one that is awaited.
    connection
        What the connection is doing; None without a watch.
    close_rule
        The rule by which this side closes the connection, if it does.
    """

    def __init__(
        self,
        *args: Any,
        watch: ConnectionWatch | None = None,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self.read_at = clock_s()
        self.left_at: float | None = None
        self.is_admitted = False
        self.requests = 0
        self.close_rule = CloseRule.HTTP_SERVER
        self._watch = watch
        self.connection = watch.open(self) if watch else None
        self._check_at = 0.0
        self._check: asyncio.TimerHandle | None = None
        self._late_s = 0.0
        self._discarded: int | None = None
        """Bytes discarded behind the last words; None before them."""

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read the head of the next request."""
        # The server asks for one more head after its last answer.
        is_open = not self.closed()
        if is_open and self.connection is not None and self._watch is not None:
            self.close_rule = CloseRule.HTTP_SERVER
            self.connection.on_wait(
                self._watch.limits,
                now=clock_s(),
                read_ahead=self._read_buffer_size,
            )
            if self.connection.state is ConnectionState.WAITING:
                self._watch.on_idle(self)
            self._schedule_check()
        return super().read_until_regex(regex, max_bytes)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and record the time."""
        count = super().read_from_fd(buf)
        if count and self._discarded is not None:
            self._discard(count)
            return None
        if count:
            self.read_at = clock_s()
            if self.connection is not None and self._watch is not None:
                if self.connection.state is ConnectionState.WAITING:
                    self._watch.on_busy(self)
                self.connection.on_bytes(count, now=self.read_at)
        return count

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write to the caller; the refusal of a bad request in whole."""
        if data == _TORNADO_BAD_REQUEST:
            if self._state_now is ConnectionState.IN_PROGRESS:
                # Its answer has begun: another one would be part of it.
                data = b''
            else:
                self.close_rule = CloseRule.BAD_REQUEST
                if self.connection is not None:
                    self.connection.on_answer(now=clock_s())
                data = _last_words(HTTPStatus.BAD_REQUEST)
        return super().write(data)

    def close(self, exc_info: Any = False) -> None:
        """Close the stream, so that the caller gets the last answer.

        What can't be read, as it is too long, is answered first.
        """
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            match self._state_now:
                case ConnectionState.READING_HEAD:
                    self.close_by(CloseRule.LONG_HEAD)
                    return
                case ConnectionState.READING_BODY:
                    self.close_by(CloseRule.BAD_REQUEST)
                    return
        if self._is_answered and not exc_info:
            LingeringClose(self.socket)
        super().close(exc_info)

    def close_by(self, rule: CloseRule) -> None:
        """Close the connection by a rule, with an answer if it calls for one.

        The answer says that the request was not run; it may only be given to
        one that has not been read completely.
        """
        if self.closed() or self._discarded is not None:
            return
        self.close_rule = rule
        status = _LAST_WORDS.get(rule)
        if status is None:
            self.close()
            return
        self._discarded = 0
        if rule is CloseRule.LONG_HEAD and self.connection is not None:
            # It counts as refused from its first byte.
            self._discarded = self.connection.read_bytes
        # A read that failed at once has left the socket without a reader.
        self._add_io_state(self.io_loop.READ)
        self.write(_last_words(status)).add_done_callback(
            asyncio.Future.exception
        )
        asyncio.get_running_loop().call_later(LINGER_S, self.close)

    def close_fd(self) -> None:
        """Record the close and when the peer left, and close the socket."""
        peer = peer_state(self.socket)
        now = clock_s()
        if not peer.is_open:
            self.left_at = now - peer.segment_age_s
        if self._check is not None:
            self._check.cancel()
        if self.connection is not None and self._watch is not None:
            is_own = peer.is_open or self._discarded is not None
            rule = self.close_rule if is_own else CloseRule.CALLER_LEFT
            self._watch.on_closed(
                self, self.connection.close(rule, now=now), late_s=self._late_s
            )
        super().close_fd()

    @property
    def is_refused(self) -> bool:
        """Whether the request that is being read got its last words."""
        return self._discarded is not None

    def peer(self) -> PeerState:
        """Return the state of the peer."""
        return peer_state(self.socket)

    def is_last_answer(self) -> bool:
        """Return whether the answer that begins now is to be the last one.

        It isn't if a further request was sent ahead: that one may have been
        read, and its caller may not repeat it.
        """
        return (
            self._watch is not None
            and self._watch.is_leaving
            and not self._read_buffer_size
            and not self.unread_bytes()
        )

    def unread_bytes(self) -> int:
        """Return how many bytes stand in the socket, as far as it is counted."""
        if self.closed():
            return 0
        try:
            return len(self.socket.recv(MAX_PEEKED_BYTES, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the caller has left.
            return 0

    @property
    def _state_now(self) -> ConnectionState | None:
        return self.connection.state if self.connection else None

    @property
    def _is_answered(self) -> bool:
        """Whether the last answer was written, and may not have arrived."""
        return (
            self.close_rule in _LINGERING_RULES
            and self._discarded is None
            and not self.closed()
            and not self.writing()
        )

    def _schedule_check(self) -> None:
        connection = self.connection
        if self._check is not None or connection is None:
            return
        now = clock_s()
        self._check_at = min(
            connection.due_at, now + connection.limits.check_interval_s
        )
        if math.isfinite(self._check_at):
            self._check = asyncio.get_running_loop().call_later(
                max(self._check_at - now, 0), self._on_check
            )

    def _on_check(self) -> None:
        self._check = None
        connection = self.connection
        if connection is None or self.closed():
            return
        if connection.state is ConnectionState.IN_PROGRESS:
            # The next wait begins the checks anew.
            return
        now = clock_s()
        self._late_s = now - self._check_at
        rule = connection.on_check(
            now=now,
            late_s=self._late_s,
            unread_bytes=self.unread_bytes() if now >= connection.due_at else 0,
            is_reading=self.reading(),
        )
        if rule is None:
            self._late_s = 0.0
            self._schedule_check()
        else:
            self.close_by(rule)

    def _discard(self, count: int) -> None:
        self._discarded = count + (self._discarded or 0)
        if self._discarded > MAX_REFUSED_BYTES:
            self.close()


def _last_words(status: HTTPStatus) -> bytes:
    return (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'Content-Length: 0\r\nConnection: close\r\n\r\n'
    ).encode()
