"""Port allocation for the servers and processes of a test."""

from __future__ import annotations

import itertools
import os
import socket

_FIRST = 20_000
_LAST = 32_000
"""Below the ephemeral ports of the operating system."""

_reservations: list[socket.socket] = []


def free_port(address: str = '127.0.0.1') -> int:
    """Return a TCP port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def claimed_range(count: int) -> tuple[int, int]:
    """Reserve consecutive ports for this test process; return first and last.

    Processes of a fleet have the same ports and different addresses, so two
    concurrent test runs with the same ports would treat each other as peers,
    and tests would fail only during another run. The reservation is a bound
    socket on an address that no process of a test uses.
    """
    range_count = (_LAST - _FIRST) // count
    for index in itertools.count(os.getpid()):
        first = _FIRST + index % range_count * count
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            sock.bind(('127.0.0.2', first))
        except OSError:
            sock.close()
            continue
        _reservations.append(sock)
        return first, first + count - 1
    raise AssertionError('the port ranges ran out')


def closed_port() -> str:
    """Return an address that refuses connections."""
    return f'127.0.0.1:{free_port()}'
