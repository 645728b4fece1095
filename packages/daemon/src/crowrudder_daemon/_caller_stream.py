"""The stream of a caller's connection, which can be asked about its caller."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from tornado.iostream import IOStream

from crowrudder_core.connections import CloseRule
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._peer_state import PeerState, peer_state

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from typing import Any

    from crowrudder_daemon._connection_watch import ConnectionWatch

MAX_PEEKED_BYTES = 65_536


class CallerStream(IOStream):
    """A stream that records when its bytes were read and its peer left.

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
        self.connection = watch.connection() if watch else None

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read the head of the next request."""
        if self.connection is not None and self._watch is not None:
            self.close_rule = CloseRule.HTTP_SERVER
            self.connection.on_wait(self._watch.limits, now=clock_s())
        return super().read_until_regex(regex, max_bytes)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and record the time."""
        count = super().read_from_fd(buf)
        if count:
            self.read_at = clock_s()
            if self.connection is not None:
                self.connection.on_bytes(count, now=self.read_at)
        return count

    def close_fd(self) -> None:
        """Record the close and when the peer left, and close the socket."""
        peer = peer_state(self.socket)
        now = clock_s()
        if not peer.is_open:
            self.left_at = now - peer.segment_age_s
        if self.connection is not None and self._watch is not None:
            rule = self.close_rule if peer.is_open else CloseRule.CALLER_LEFT
            self._watch.on_closed(
                self.connection.close(rule, now=now),
                unread_bytes=self.unread_bytes(),
            )
        super().close_fd()

    def peer(self) -> PeerState:
        """Return the state of the peer."""
        return peer_state(self.socket)

    def unread_bytes(self) -> int:
        """Return how many bytes stand in the socket, `MAX_PEEKED_BYTES` at most."""
        try:
            return len(self.socket.recv(MAX_PEEKED_BYTES, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the caller has left.
            return 0
