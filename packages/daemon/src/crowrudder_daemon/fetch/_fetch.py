"""HTTP client of one external address, with typed answers and errors.

Answers are read over `HttpConnection`: Tornado's client takes the reset of an
answer without length and chunks for its end. Streams are read by Tornado's,
as their last event proves them complete.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
from attrs import frozen
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from crowrudder_core.dispatch import Completeness, answer_completeness
from crowrudder_daemon.http import (
    ConnectionPool,
    HttpConnection,
    WireAnswer,
    WireRequest,
)
from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MAX_CONNECTIONS = 512
CONNECT_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 256 * 1024 * 1024


@frozen
class Answer:
    """Status, headers and body of an HTTP answer that was read to its end."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    completeness: Completeness = Completeness.COMPLETE

    def header(self, name: str) -> str:
        """Return a header's value; empty if it is absent."""
        wanted = name.lower()
        for key, text in self.headers:
            if key.lower() == wanted:
                return text
        return ''

    def json(self) -> Any:
        """Decode the body as JSON."""
        return msgspec.json.decode(self.body)


@frozen
class ServerEvent:
    """One server-sent event."""

    name: str
    payload: bytes


class Fetcher:
    """HTTP client of one external address.

    Parameters
    ----------
    address
        ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = ConnectionPool()
        self._open: set[HttpConnection] = set()
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_BODY_BYTES,
        )

    async def fetch(
        self,
        path: str,
        *,
        method: str = 'GET',
        body: bytes | None = None,
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float = 10.0,
        on_bytes: Callable[[int], None] | None = None,
    ) -> Answer:
        """Make one call without retries or redirects, on its own connection.

        ``on_bytes`` gets the size of each part of the body as it arrives.

        Raises
        ------
        UpstreamError
            When no complete HTTP answer arrived in time.
        """
        req = WireRequest(
            method=method,
            target=path,
            headers=(
                ('Host', self.address),
                ('Connection', 'close'),
                *headers,
            ),
            body=body or b'',
        )
        conn: HttpConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self._pool.acquire(
                    self.address,
                    timeout_s=min(CONNECT_TIMEOUT_S, timeout_s),
                    force_new=True,
                )
                self._open.add(conn)
                conn.send(req)
                return _answer(
                    conn,
                    await conn.answer(
                        max_bytes=MAX_BODY_BYTES, on_bytes=on_bytes
                    ),
                )
        except TimeoutError as exc:
            raise UpstreamError(
                f'no answer within {timeout_s:.2f} s',
                step=path,
                peer=self.address,
            ) from exc
        finally:
            if conn is not None:
                self._open.discard(conn)
                conn.close()

    def stream(
        self,
        path: str,
        *,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float,
    ) -> tuple[asyncio.Future[Any], asyncio.Queue[bytes | None]]:
        """Send a POST request and stream the answer.

        The queue ends with None once the answer is complete or failed; the
        future then holds the result.
        """
        pieces: asyncio.Queue[bytes | None] = asyncio.Queue()
        req = self._request(path, 'POST', body, headers, timeout_s)
        req.streaming_callback = pieces.put_nowait
        fut = asyncio.ensure_future(
            self._client.fetch(req, raise_error=False),
        )
        fut.add_done_callback(lambda _: pieces.put_nowait(None))
        return fut, pieces

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
        for conn in list(self._open):
            conn.close()

    def _request(
        self,
        path: str,
        method: str,
        body: bytes | None,
        headers: tuple[tuple[str, str], ...],
        timeout_s: float,
    ) -> HTTPRequest:
        return HTTPRequest(
            f'http://{self.address}{path}',
            method=method,
            body=body,
            headers=dict(headers),
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
        )


def _answer(conn: HttpConnection, wire_answer: WireAnswer) -> Answer:
    status, body = wire_answer.head.status, wire_answer.body
    return Answer(
        status,
        wire_answer.head.headers,
        body,
        answer_completeness(conn.body_end, status=status, size=len(body)),
    )


async def stream_events(
    pieces: asyncio.Queue[bytes | None],
) -> AsyncIterator[ServerEvent]:
    """Yield the server-sent events of a byte stream."""
    pending = b''
    while (piece := await pieces.get()) is not None:
        pending += piece
        *blocks, pending = pending.split(b'\n\n')
        for block in blocks:
            yield _parse_event(block)


def _parse_event(block: bytes) -> ServerEvent:
    name = ''
    lines: list[bytes] = []
    for line in block.splitlines():
        field, _, text = line.partition(b':')
        if field == b'event':
            name = text.strip().decode(errors='replace')
        if field == b'data':
            lines.append(text.strip())
    return ServerEvent(name, b'\n'.join(lines))
