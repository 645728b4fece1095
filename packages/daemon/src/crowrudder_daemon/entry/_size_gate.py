"""Refuse a body over the limit before it is read, with an error of our own.

Tornado itself answers a bare 400 to a `Content-Length` over its limit: the
caller learns neither that nothing ran nor what is allowed. A body in chunks
whose size isn't announced still gets that.
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

from crowrudder_daemon.entry._caller_request import shown_id
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
"""How long the caller may go on sending before the connection is closed."""

DROPPED_BYTES = 65_536
_MOST_DIGITS = 18


class SizeGate(HTTPServerConnectionDelegate):
    """Stand before an application and pass on what isn't too large.

    Parameters
    ----------
    most_bytes
        The longest body that is passed on.
    """

    def __init__(
        self,
        inner: HTTPServerConnectionDelegate,
        *,
        most_bytes: int,
    ) -> None:
        self._inner = inner
        self._most_bytes = most_bytes

    def start_request(
        self,
        server_conn: object,
        request_conn: Any,
    ) -> HTTPMessageDelegate:
        """Begin a request."""
        inner = self._inner.start_request(server_conn, request_conn)
        return _GatedRequest(inner, request_conn, self._most_bytes)

    def on_close(self, server_conn: object) -> None:
        """Pass the end of a connection on."""
        self._inner.on_close(server_conn)


class _GatedRequest(HTTPMessageDelegate):
    def __init__(
        self,
        inner: HTTPMessageDelegate,
        conn: HTTP1Connection,
        most_bytes: int,
    ) -> None:
        self._inner = inner
        self._conn = conn
        self._most_bytes = most_bytes

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        if is_longer(headers.get('Content-Length', ''), self._most_bytes):
            return self._refuse(shown_id(headers))
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()

    async def _refuse(self, request_id: str) -> None:
        stream = self._conn.detach()
        answer = too_large(request_id, self._most_bytes)
        # A close before the caller has sent all would reset the connection,
        # and the answer would be lost on its way.
        with contextlib.suppress(StreamClosedError, TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await stream.write(answer)
                await _drop_rest(stream)
        stream.close()


def is_longer(length: str, most_bytes: int) -> bool:
    """Tell whether a `Content-Length` is a number over the limit.

    >>> is_longer('11', 10), is_longer('10', 10), is_longer('-1', 10)
    (True, False, False)
    """
    if not (length.isascii() and length.isdigit()):
        return False
    return len(length) > _MOST_DIGITS or int(length) > most_bytes


def too_large(request_id: str, most_bytes: int) -> bytes:
    """Give the whole answer to a body over the limit."""
    body = msgspec.json.encode(
        {
            'error': {
                'code': 'too_large',
                'message': f'the body may have {most_bytes} bytes at most',
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


async def _drop_rest(stream: IOStream) -> None:
    while True:
        await stream.read_bytes(DROPPED_BYTES, partial=True)
