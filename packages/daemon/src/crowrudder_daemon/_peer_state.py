"""What the kernel knows of the other side of a connection."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from asyncio.trsock import TransportSocket

_TCP_ESTABLISHED = 1
_TCP_INFO = struct.Struct('=B51xII')
"""State, time since the last data and since the last acknowledgement in ms, as
the kernel's ``tcp_info`` starts."""

_MS = 1000


@frozen
class PeerState:
    """What the kernel knows of the other side of a connection.

    ``is_open`` is false from the moment at which the kernel has received the
    peer's FIN or reset, also behind bytes that nobody has read.
    ``data_age_s`` and ``segment_age_s`` are the times since the last data and
    since the last segment arrived; 0 where the system doesn't tell.
    """

    is_open: bool = True
    data_age_s: float = 0
    segment_age_s: float = 0


def peer_state(
    sock: socket.socket | TransportSocket | None,
) -> PeerState:
    """Return the state of a TCP connection's other side, by one system call.

    A peer that has closed only its sending side can't be told from one that
    has closed the connection, and counts as closed.
    """
    if sock is None:
        return PeerState(is_open=False)
    try:
        told = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        # The system doesn't tell for this socket: an error shows at the write.
        return PeerState()
    if len(told) < _TCP_INFO.size:
        return PeerState()
    state, data_age_ms, segment_age_ms = _TCP_INFO.unpack(told)
    return PeerState(
        is_open=state == _TCP_ESTABLISHED,
        data_age_s=data_age_ms / _MS,
        segment_age_s=segment_age_ms / _MS,
    )
