"""A caller's side of one request, over tornado's HTTP server."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from attrs import frozen
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection


class CallerGoneError(Exception):
    """The caller closed its connection; nobody waits for an answer."""


@frozen(kw_only=True)
class CallerRequest:
    """A request that has been read whole."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


class CallerSide:
    """Writes one answer to a caller."""

    def __init__(self, conn: HTTP1Connection) -> None:
        self._conn = conn
        self.has_begun = False
        self.is_gone = False
        self._on_gone: Callable[[], object] | None = None

    def watch(self, on_gone: Callable[[], object]) -> None:
        """Call back once the caller has left."""
        self._on_gone = on_gone
        self._conn.set_close_callback(self.note_gone)

    def note_gone(self) -> None:
        """Note that the connection closed."""
        self.is_gone = True
        callback, self._on_gone = self._on_gone, None
        if callback is not None:
            callback()

    async def begin(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes = b'',
    ) -> None:
        """Send status and headers; without a length the body is in chunks."""
        self.has_begun = True
        fields = HTTPHeaders()
        for name, text in headers:
            fields.add(name, text)
        line = ResponseStartLine('HTTP/1.1', status, _phrase(status))
        await self._sent(self._conn.write_headers, line, fields, body)

    async def write(self, piece: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        if piece:
            await self._sent(self._conn.write, piece)

    def push(self, piece: bytes) -> asyncio.Future[None] | None:
        """Send a part of the body; give what is done once it has left.

        None where it has left already.

        Raises
        ------
        CallerGoneError
            When the caller has left.
        """
        if self.is_gone:
            raise CallerGoneError
        sent = self._conn.write(piece)
        if not sent.done():
            return sent
        if isinstance(sent.exception(), StreamClosedError):
            self.is_gone = True
            raise CallerGoneError
        return None

    def finish(self) -> None:
        """End the answer as a whole one."""
        self._on_gone = None
        if not self.is_gone:
            self._conn.finish()

    def cut(self) -> None:
        """Close the connection, so that the answer looks as cut as it is."""
        self._on_gone = None
        self._conn.close()

    async def answer(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        sized = [*headers, ('Content-Length', str(len(body)))]
        await self.begin(status, sized, body)
        self.finish()

    async def _sent(self, write: Callable[..., Any], *args: object) -> None:
        if self.is_gone:
            raise CallerGoneError
        try:
            await write(*args)
        except StreamClosedError as exc:
            self.is_gone = True
            raise CallerGoneError from exc


class CallersServer(HTTPServerConnectionDelegate):
    """Reads whole requests and hands each on with its caller's side.

    Parameters
    ----------
    on_request
        Takes each request; its work goes on beside the connection.
    """

    def __init__(
        self,
        on_request: Callable[[CallerRequest, CallerSide], None],
    ) -> None:
        self._on_request = on_request

    def start_request(
        self,
        server_conn: object,
        request_conn: Any,
    ) -> HTTPMessageDelegate:
        """Begin to read a request."""
        return _Reading(request_conn, self._on_request)

    def on_close(self, server_conn: object) -> None:
        """Take note of a closed connection; its request was told already."""


class _Reading(HTTPMessageDelegate):
    """A request whose bytes are coming in."""

    def __init__(
        self,
        conn: HTTP1Connection,
        on_request: Callable[[CallerRequest, CallerSide], None],
    ) -> None:
        self._side = CallerSide(conn)
        self._on_request = on_request
        self._parts: list[bytes] = []
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        if isinstance(start_line, RequestStartLine):
            self._line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._parts.append(chunk)

    def finish(self) -> None:
        line = self._line
        if line is None:
            self._side.cut()
            return
        request = CallerRequest(
            method=line.method,
            target=line.path,
            headers=self._headers,
            body=b''.join(self._parts),
        )
        self._on_request(request, self._side)

    def on_connection_close(self) -> None:
        self._side.note_gone()


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
