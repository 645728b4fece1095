"""A thin client over tornado's, with typed answers and errors."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
from attrs import frozen
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MOST_CONNECTIONS = 512
CONNECT_TIMEOUT_S = 3.0
BODY_BYTES = 256 * 1024 * 1024


@frozen
class Answer:
    """Status, headers and body of an HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Give a header's value; empty where there is none."""
        wanted = name.lower()
        for key, text in self.headers:
            if key.lower() == wanted:
                return text
        return ''

    def json(self) -> Any:
        """Decode the body."""
        return msgspec.json.decode(self.body)


@frozen
class ServerEvent:
    """One server-sent event."""

    name: str
    payload: bytes


class Fetcher:
    """HTTP calls to one outside address.

    Parameters
    ----------
    address
        ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MOST_CONNECTIONS,
            max_body_size=BODY_BYTES,
        )

    async def fetch(
        self,
        path: str,
        *,
        method: str = 'GET',
        body: bytes | None = None,
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float = 10.0,
        on_piece: Callable[[bytes], None] | None = None,
    ) -> Answer:
        """Make one call; never retried, never redirected.

        With ``on_piece`` the body goes there as it comes, and the answer's
        body is empty.

        Raises
        ------
        UpstreamError
            When there was no whole HTTP answer in time.
        """
        req = self._request(path, method, body, headers, timeout_s)
        req.streaming_callback = on_piece
        try:
            reply = await self._client.fetch(req, raise_error=False)
        except (HTTPError, OSError) as exc:
            raise self._failed(path, exc) from exc
        if reply.code == _NO_ANSWER:
            raise self._failed(path, reply.error)
        return Answer(
            reply.code,
            tuple(reply.headers.get_all()),
            reply.body or b'',
        )

    def stream(
        self,
        path: str,
        *,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float,
    ) -> tuple[asyncio.Future[Any], asyncio.Queue[bytes | None]]:
        """POST and read the answer piece by piece.

        The queue ends with None once the answer ended or broke; the future
        then tells which.
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
        """Drop all connections."""
        self._client.close()

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

    def _failed(self, path: str, exc: BaseException | None) -> UpstreamError:
        return UpstreamError(str(exc), step=path, peer=self.address)


_NO_ANSWER = 599


async def stream_events(
    pieces: asyncio.Queue[bytes | None],
) -> AsyncIterator[ServerEvent]:
    """Split a stream of bytes into server-sent events."""
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
