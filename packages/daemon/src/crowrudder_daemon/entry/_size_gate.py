"""Refuse a body over the limit before it is read, with a descriptive error.

Tornado itself answers a `Content-Length` over its limit with a bare 400,
which says neither that nothing ran nor what is allowed. A body in chunks
without a declared length still gets that answer.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.httputil import (
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.iostream import StreamClosedError

from crowrudder_core.connections import CloseRule
from crowrudder_daemon._body_length import is_too_long
from crowrudder_daemon._caller_stream import CallerStream
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.entry._caller_request import answer_request_id
from crowrudder_model import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tornado.http1connection import HTTP1Connection
    from tornado.httputil import (
        HTTPHeaders,
        RequestStartLine,
        ResponseStartLine,
    )
    from tornado.iostream import IOStream

LINGER_S = 2.0
"""How long the caller may keep sending before the connection is closed."""

DISCARD_READ_BYTES = 65_536


class SizeGate(HTTPServerConnectionDelegate):
    """Wrap an application and forward requests within the size limit.

    Parameters
    ----------
    max_bytes
        The longest body that is forwarded.
    """

    def __init__(
        self,
        inner: HTTPServerConnectionDelegate,
        *,
        max_bytes: int,
    ) -> None:
        self._inner = inner
        self._max_bytes = max_bytes

    def start_request(
        self,
        server_conn: object,
        request_conn: Any,
    ) -> HTTPMessageDelegate:
        """Return a delegate that checks the size of the request."""
        inner = self._inner.start_request(server_conn, request_conn)
        return _GatedRequest(inner, request_conn, self._max_bytes)

    def on_close(self, server_conn: object) -> None:
        """Forward the end of a connection."""
        self._inner.on_close(server_conn)


class _GatedRequest(HTTPMessageDelegate):
    def __init__(
        self,
        inner: HTTPMessageDelegate,
        conn: HTTP1Connection,
        max_bytes: int,
    ) -> None:
        self._inner = inner
        self._conn = conn
        self._max_bytes = max_bytes
        # A detached connection has no stream any more.
        self._stream = conn.stream

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        stream = self._stream
        if isinstance(stream, CallerStream) and stream.connection is not None:
            stream.connection.on_head(now=clock_s())
        if is_too_long(headers.get('Content-Length', ''), self._max_bytes):
            return self._refuse(answer_request_id(headers))
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        stream = self._stream
        if isinstance(stream, CallerStream) and stream.connection is not None:
            stream.connection.on_request(now=clock_s())
            # The server closes it behind the answer, if the caller asks so.
            stream.close_rule = CloseRule.LAST_ANSWER
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()

    async def _refuse(self, request_id: str) -> None:
        stream = self._conn.detach()
        answer = too_large_response(request_id, self._max_bytes)
        # Closing before the caller has sent the whole body would reset the
        # connection, and the answer would be lost.
        with contextlib.suppress(StreamClosedError, TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await stream.write(answer)
                await _discard_rest(stream)
        stream.close()


def too_large_response(request_id: str, max_bytes: int) -> bytes:
    """Return the complete HTTP response to a body over the limit."""
    body = msgspec.json.encode(
        {
            'error': {
                'code': 'too_large',
                'message': f'the body may have {max_bytes} bytes at most',
                'outcome': Outcome.NOT_RUN.value,
                'request_id': request_id,
            },
        },
    )
    lines = (
        'HTTP/1.1 413 Payload Too Large',
        'Content-Type: application/json; charset=UTF-8',
        f'Content-Length: {len(body)}',
        f'X-Outcome: {Outcome.NOT_RUN.value}',
        f'X-Request-Id: {request_id}',
        'Connection: close',
    )
    return '\r\n'.join((*lines, '', '')).encode() + body


async def _discard_rest(stream: IOStream) -> None:
    while True:
        await stream.read_bytes(DISCARD_READ_BYTES, partial=True)
