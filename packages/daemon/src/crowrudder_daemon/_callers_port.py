"""The listening port for callers of an entry."""

from __future__ import annotations

import contextlib
import enum
from typing import TYPE_CHECKING, Any

from tornado.netutil import add_accept_handler, bind_sockets

from crowrudder_daemon._caller_stream import CallerStream

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from tornado.httpserver import HTTPServer

    from crowrudder_daemon._connection_watch import ConnectionWatch


class Admission(enum.Enum):
    """What was decided on a new connection."""

    ADMITTED = 'admitted'
    """Its first request is handled."""

    UNDECIDED = 'undecided'
    """Its first request has yet to be read."""

    REFUSED = 'refused'
    """It has been answered and closed."""


class CallersPort:
    """Accepts connections for an HTTP server and empties the queue on close.

    The kernel completes connections before the process accepts them. Closing
    the port resets those in the accept queue, and their callers, which may
    have sent a request, can't know whether it ran. So they are accepted before
    the port closes, and refused with a response.
    """

    def __init__(
        self,
        http: HTTPServer,
        *,
        admit: Callable[[socket.socket], Admission] | None = None,
        watch: ConnectionWatch | None = None,
    ) -> None:
        self._http = http
        self._watch = watch
        self._admit = admit
        self._sockets: list[socket.socket] = []
        self._remove_handlers: list[Callable[[], None]] = []

    def listen(self, port: int, address: str) -> None:
        """Open the port."""
        self._sockets = bind_sockets(port, address)
        self._remove_handlers = [
            add_accept_handler(each, self._on_connection)
            for each in self._sockets
        ]

    def close(self) -> None:
        """Accept queued connections, then close the port."""
        for remove_handler in self._remove_handlers:
            remove_handler()
        for each in self._sockets:
            # The queue is empty, or a queued connection was reset.
            with contextlib.suppress(BlockingIOError, ConnectionError):
                while True:
                    self._on_connection(*each.accept())
            each.close()
        self._sockets, self._remove_handlers = [], []

    def _on_connection(self, connection: socket.socket, address: Any) -> None:
        connection.setblocking(False)
        admission = Admission.UNDECIDED
        if self._admit is not None:
            admission = self._admit(connection)
        if admission is Admission.REFUSED:
            return
        stream = CallerStream(
            connection,
            max_buffer_size=self._http.max_buffer_size,
            watch=self._watch,
        )
        stream.is_admitted = admission is Admission.ADMITTED
        self._http.handle_stream(stream, address)
