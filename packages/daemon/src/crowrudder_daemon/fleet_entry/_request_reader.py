"""Reads the requests of callers from Tornado's HTTP server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from crowrudder_daemon._caller_stream import CallerStream
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._caller_side import (
    CallerRequest,
    CallerSide,
)
from crowrudder_daemon.fleet_entry._long_bodies import BodyGate

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.iostream import IOStream

    from crowrudder_daemon.fleet_entry._caller_backlog import CallerBacklog
    from crowrudder_daemon.fleet_entry._long_bodies import BodyRules


class CallersServer(HTTPServerConnectionDelegate):
    """Reads requests and calls ``on_request`` with each complete one.

    Parameters
    ----------
    on_request
        Receives the request and its ``CallerSide``; must not block.
    backlog
        Bounds what is held for callers that read slowly.
    rules
        Knows how long a body may be.
    """

    def __init__(
        self,
        on_request: Callable[[CallerRequest, CallerSide], None],
        backlog: CallerBacklog,
        rules: BodyRules,
    ) -> None:
        self._on_request = on_request
        self._backlog = backlog
        self._rules = rules

    def start_request(
        self,
        server_conn: object,
        request_conn: Any,
    ) -> HTTPMessageDelegate:
        """Return the reader of a new request."""
        side = CallerSide(request_conn, self._backlog)
        gate = BodyGate(side, self._rules)
        return _RequestReader(
            side, self._on_request, gate, stream=request_conn.stream
        )

    def on_close(self, server_conn: object) -> None:
        """Do nothing: the reader of the request was notified already."""


class _RequestReader(HTTPMessageDelegate):
    """Collects the head and the body of one request."""

    def __init__(
        self,
        side: CallerSide,
        on_request: Callable[[CallerRequest, CallerSide], None],
        gate: BodyGate,
        *,
        stream: IOStream,
    ) -> None:
        self._side = side
        self._stream = stream if isinstance(stream, CallerStream) else None
        self._gate = gate
        self._on_request = on_request
        self._parts: list[bytes] = []
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        self._headers = headers
        with self._gate.answers_faults(headers):
            if isinstance(start_line, RequestStartLine):
                self._line = start_line
                self._side.on_request_head(start_line, headers)
            if not self._is_refused:
                self._gate.on_head(headers)

    def data_received(self, chunk: bytes) -> None:
        if self._is_refused:
            return
        with self._gate.answers_faults(self._headers):
            self._gate.on_part(chunk)
            if self._gate.has_refused:
                self._parts.clear()
            else:
                self._parts.append(chunk)

    def finish(self) -> None:
        with self._gate.answers_faults(self._headers):
            self._finish()
        if self._gate.has_refused:
            self._gate.end()

    def _finish(self) -> None:
        if self._gate.has_refused or self._is_refused:
            return
        line = self._line
        if line is None:
            self._side.abort()
            return
        request = CallerRequest(
            method=line.method,
            target=line.path,
            headers=self._headers,
            body=b''.join(self._parts),
        )
        if self._stream is not None and self._stream.connection is not None:
            self._stream.connection.on_request(now=clock_s())
        self._on_request(request, self._side)

    def on_connection_close(self) -> None:
        self._side.mark_gone()

    @property
    def _is_refused(self) -> bool:
        """Whether the caller was told that its request isn't run."""
        return self._stream is not None and self._stream.is_refused
