"""The port on which callers reach an entry."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler, bind_sockets

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from tornado.httpserver import HTTPServer


class CallersPort:
    """Accepts connections for an HTTP server; nobody is left in the queue.

    The system completes connections before the process takes them. A port
    that is just closed resets those that wait, and their callers, who have
    sent a request by then, can't tell whether it ran. So the last ones are
    taken before the port closes, to be refused in words.
    """

    def __init__(self, http: HTTPServer) -> None:
        self._http = http
        self._sockets: list[socket.socket] = []
        self._endings: list[Callable[[], None]] = []

    def listen(self, port: int, address: str) -> None:
        """Open the port."""
        self._sockets = bind_sockets(port, address)
        self._endings = [
            add_accept_handler(each, self._on_connection)
            for each in self._sockets
        ]

    def close(self) -> None:
        """Take what waits, then refuse connections."""
        for end in self._endings:
            end()
        for each in self._sockets:
            # Nothing waits any more, or the last one has gone.
            with contextlib.suppress(BlockingIOError, ConnectionError):
                while True:
                    self._on_connection(*each.accept())
            each.close()
        self._sockets, self._endings = [], []

    def _on_connection(self, connection: socket.socket, address: Any) -> None:
        stream = IOStream(
            connection, max_buffer_size=self._http.max_buffer_size
        )
        self._http.handle_stream(stream, address)
