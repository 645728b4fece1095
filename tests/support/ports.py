"""Free ports for servers of a test."""

from __future__ import annotations

import socket


def free_port(address: str = '127.0.0.1') -> int:
    """Give a TCP port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]
