"""Port allocation for the servers and processes of a test."""

from __future__ import annotations

import functools
import itertools
import os
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

_RANGES = (20_000, 32_000)
_SINGLES = (10_000, 20_000)
"""Below the ephemeral ports of the operating system."""

_SINGLE_COUNT = 400
"""Single ports that a process reserves; it goes round them."""

_reservations: list[socket.socket] = []


def free_port(address: str = '127.0.0.1') -> int:
    """Return a TCP port that nothing uses.

    It is no ephemeral port: another process could connect from it before the
    test listens there. An entry that can't listen leaks its gRPC server, and
    all later tests of the process fail.
    """
    for port in itertools.islice(_single_ports(), _SINGLE_COUNT):
        with socket.socket() as sock:
            try:
                sock.bind((address, port))
            except OSError:
                continue
            return port
    raise AssertionError('the ports ran out')


@functools.cache
def _single_ports() -> Iterator[int]:
    first, last = _claim(_SINGLES, _SINGLE_COUNT)
    return itertools.cycle(range(first, last + 1))


def claimed_range(count: int) -> tuple[int, int]:
    """Reserve consecutive ports for this test process; return first and last.

    Processes of a fleet have the same ports and different addresses, so two
    concurrent test runs with the same ports would treat each other as peers,
    and tests would fail only during another run.
    """
    return _claim(_RANGES, count)


def _claim(bounds: tuple[int, int], count: int) -> tuple[int, int]:
    """Reserve ports by a bound socket on an address that no test uses."""
    range_count = (bounds[1] - bounds[0]) // count
    for index in itertools.count(os.getpid()):
        first = bounds[0] + index % range_count * count
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
