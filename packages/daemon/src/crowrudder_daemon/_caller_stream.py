"""The stream of a caller's connection, which can be asked about its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.iostream import IOStream

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._peer_state import PeerState, peer_state

if TYPE_CHECKING:
    from typing import Any


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
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.read_at = clock_s()
        self.left_at: float | None = None
        self.is_admitted = False
        self.requests = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and record the time."""
        count = super().read_from_fd(buf)
        if count:
            self.read_at = clock_s()
        return count

    def close_fd(self) -> None:
        """Record when the peer left, and close the socket."""
        peer = peer_state(self.socket)
        if not peer.is_open:
            self.left_at = clock_s() - peer.segment_age_s
        super().close_fd()

    def peer(self) -> PeerState:
        """Return the state of the peer."""
        return peer_state(self.socket)
