"""Pool of persistent connections to external systems, and calls over them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.http._connection import (
    HttpConnection,
    NotConnectedError,
    WireAnswer,
    WireHead,
    WireRequest,
)
from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_KEEP_ALIVE_S = 8.0
"""Time to keep idle connections whose peer announced no keep-alive timeout."""

KEEP_ALIVE_MARGIN_S = 0.5
"""A connection isn't used within this time of its announced end: whether a
request that crosses the close has run can't be known."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024


class ConnectionPool:
    """Idle connections by address; the most recently used is reused first.

    Parameters
    ----------
    on_open
        Called for each connection that is opened.
    """

    def __init__(self, on_open: Callable[[], None] | None = None) -> None:
        self._idle: dict[str, list[HttpConnection]] = {}
        self._on_open = on_open

    async def acquire(
        self,
        address: str,
        *,
        timeout_s: float,
        force_new: bool = False,
    ) -> HttpConnection:
        """Return an idle connection, or open one.

        Raises
        ------
        NotConnectedError
            When none could be opened in time.
        """
        kept = None if force_new else self._take_idle(address)
        return kept or await self._open(address, timeout_s)

    def release(self, conn: HttpConnection, *, kept_s: float | None) -> None:
        """Return a connection to the pool after a response, if it is reusable.

        ``kept_s`` is the keep-alive timeout that the peer announced; 0 if it
        closes the connection, None if it announced none.
        """
        if kept_s is None:
            kept_s = DEFAULT_KEEP_ALIVE_S
        else:
            kept_s = min(kept_s - KEEP_ALIVE_MARGIN_S, DEFAULT_KEEP_ALIVE_S)
        if not conn.finish():
            return
        if kept_s <= 0:
            conn.close()
            return
        conn.usable_until = clock_s() + kept_s
        self._idle.setdefault(conn.peer, []).append(conn)

    def put_back(self, conn: HttpConnection) -> None:
        """Return a connection to the pool that wasn't used since `acquire`."""
        if not conn.is_open:
            return
        if not conn.requests:
            conn.usable_until = clock_s() + DEFAULT_KEEP_ALIVE_S
        self._idle.setdefault(conn.peer, []).append(conn)

    def keep(self, conn: HttpConnection, head: WireHead) -> None:
        """Return a connection to the pool, as the response headers allow."""
        self.release(conn, kept_s=kept_s_of(head.headers))

    async def call(
        self,
        address: str,
        request: WireRequest,
        *,
        timeout_s: float,
        max_bytes: int = MAX_ANSWER_BYTES,
        on_bytes: Callable[[int], None] | None = None,
    ) -> WireAnswer:
        """Make one call and wait for its complete response; never retried.

        ``on_bytes`` gets the size of each part of the body as it arrives.

        Raises
        ------
        UpstreamError
            When no complete response arrived in time.
        """
        conn: HttpConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self.acquire(address, timeout_s=timeout_s)
                conn.send(request)
                answer = await conn.answer(
                    max_bytes=max_bytes, on_bytes=on_bytes
                )
        except TimeoutError as exc:
            _drop(conn)
            raise UpstreamError(
                f'no answer within {timeout_s:.2f} s',
                step=request.target,
                peer=address,
            ) from exc
        except BaseException:
            _drop(conn)
            raise
        self.keep(conn, answer.head)
        return answer

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close_expired(self) -> None:
        """Close connections that were idle too long or closed by the peer."""
        now = clock_s()
        for address, conns in list(self._idle.items()):
            kept = [
                conn
                for conn in conns
                if conn.is_open and now < conn.usable_until
            ]
            for conn in conns:
                if conn not in kept:
                    conn.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)

    def _take_idle(self, address: str) -> HttpConnection | None:
        conns = self._idle.get(address, [])
        now = clock_s()
        while conns:
            conn = conns.pop()
            if conn.is_open and now < conn.usable_until:
                return conn
            conn.close()
        return None

    async def _open(self, address: str, timeout_s: float) -> HttpConnection:
        ip, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        if self._on_open is not None:
            self._on_open()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    lambda: HttpConnection(address),
                    ip,
                    int(port),
                )
        except (OSError, ValueError, TimeoutError) as exc:
            raise NotConnectedError(
                f'not connected: {type(exc).__name__} {exc}',
                step='connect',
                peer=address,
            ) from exc
        return conn


def kept_s_of(headers: tuple[tuple[str, str], ...]) -> float | None:
    """Return the peer's keep-alive timeout in seconds; None if not announced.

    >>> kept_s_of((('keep-alive', 'timeout=5, max=100'),))
    5.0
    >>> kept_s_of((('connection', 'close'),))
    0.0
    """
    kept = None
    for name, text in headers:
        if name == 'connection' and 'close' in text.lower():
            return 0.0
        if name == 'keep-alive':
            kept = _timeout_in(text)
    return kept


def _timeout_in(text: str) -> float | None:
    for part in text.split(','):
        key, _, amount = part.strip().partition('=')
        if key.lower() == 'timeout' and amount.strip().isdecimal():
            return float(amount)
    return None


def _drop(conn: HttpConnection | None) -> None:
    if conn is not None:
        conn.close()
