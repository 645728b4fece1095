"""The orderly close of a connection whose peer may still be sending."""

from __future__ import annotations

import asyncio
import contextlib
import socket

LINGER_S = 1.0
"""How long a peer may keep sending after the last answer. Closing a connection
with bytes unread resets it, and the answer may be lost."""

MAX_LINGER_BYTES = 512 * 1024
"""How much it may keep sending."""

READ_BYTES = 65_536


class LingeringClose:
    """Ends the sending side of a connection at once, and closes it later.

    What arrives until the peer ends its side is discarded, within bounds.

    Parameters
    ----------
    sock
        The socket, of which a duplicate is kept.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock.dup()
        self._sock.setblocking(False)
        self._left_bytes = MAX_LINGER_BYTES
        self._loop = asyncio.get_running_loop()
        # The loop refers to this object until the close.
        self._loop.add_reader(self._sock, self._discard)
        self._timer = self._loop.call_later(LINGER_S, self._close)
        with contextlib.suppress(OSError):
            # The peer may have reset the connection.
            self._sock.shutdown(socket.SHUT_WR)

    def _discard(self) -> None:
        try:
            count = len(self._sock.recv(READ_BYTES))
        except BlockingIOError:
            return
        except OSError:
            count = 0
        self._left_bytes -= count
        if not count or self._left_bytes <= 0:
            self._close()

    def _close(self) -> None:
        self._timer.cancel()
        self._loop.remove_reader(self._sock)
        self._sock.close()
