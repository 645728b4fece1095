"""Ports for the servers and the processes of a test."""

from __future__ import annotations

import itertools
import os
import socket

_FIRST = 20_000
_LAST = 32_000
"""Below the ports that the system gives out by itself."""

_claims: list[socket.socket] = []


def free_port(address: str = '127.0.0.1') -> int:
    """Give a TCP port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def claimed_range(count: int) -> tuple[int, int]:
    """Claim ports in a row for this test process; give the first and last.

    Processes of a fleet share their ports and differ by address, so two runs
    of the tests with the same ports take each other for peers, seen as tests
    that fail only beside another run. The claim is a bound socket on an
    address that no process of a test has.
    """
    steps = (_LAST - _FIRST) // count
    for step in itertools.count(os.getpid()):
        first = _FIRST + step % steps * count
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            sock.bind(('127.0.0.2', first))
        except OSError:
            sock.close()
            continue
        _claims.append(sock)
        return first, first + count - 1
    raise AssertionError('the steps have no end')


def closed_port() -> str:
    """Give an address that refuses connections."""
    return f'127.0.0.1:{free_port()}'
