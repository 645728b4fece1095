"""Port allocation for the servers and processes of a test."""

from __future__ import annotations

import itertools
import os
import socket

_FIRST = 20_000
_LAST = 32_000
"""Below the ephemeral ports of the operating system."""

_FIRST_SINGLE = 10_000
_SINGLE_COUNT = 10_000
_next_single = itertools.count(os.getpid() * 101)

_reservations: list[socket.socket] = []


def free_port(address: str = '127.0.0.1') -> int:
    """Return a TCP port that nothing uses.

    It is no ephemeral port: another process could connect from it before the
    test listens there. An entry that can't listen leaks its gRPC server, and
    all later tests of the process fail.
    """
    for index in itertools.islice(_next_single, _SINGLE_COUNT):
        port = _FIRST_SINGLE + index % _SINGLE_COUNT
        with socket.socket() as sock:
            try:
                sock.bind((address, port))
            except OSError:
                continue
            return port
    raise AssertionError('the ports ran out')


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
