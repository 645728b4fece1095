"""Kept connections to outside systems, and whole calls over them."""

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

KEPT_S = 8.0
"""How long an idle connection is kept that announced no time of its own."""

KEEP_MARGIN_S = 0.5
"""A connection isn't used within so long of the announced end: a request
that crosses the close may have run, and nobody could tell."""

MOST_ANSWER_BYTES = 16 * 1024 * 1024


class ConnectionPool:
    """Connections by address, the last used one first.

    Parameters
    ----------
    on_open
        Told of each connection that is opened.
    """

    def __init__(self, on_open: Callable[[], None] | None = None) -> None:
        self._idle: dict[str, list[HttpConnection]] = {}
        self._on_open = on_open

    async def take(
        self,
        address: str,
        *,
        timeout_s: float,
        fresh: bool = False,
    ) -> HttpConnection:
        """Give a kept connection, or open one.

        Raises
        ------
        NotConnectedError
            When none could be opened in time.
        """
        kept = None if fresh else self._kept(address)
        return kept or await self._open(address, timeout_s)

    def give_back(self, conn: HttpConnection, *, kept_s: float | None) -> None:
        """Keep a connection after a whole answer, if it may be.

        ``kept_s`` is how long the other side says that it keeps it; 0 where
        it closes, None where it says nothing.
        """
        if kept_s is None:
            kept_s = KEPT_S
        else:
            kept_s = min(kept_s - KEEP_MARGIN_S, KEPT_S)
        if not conn.finish():
            return
        if kept_s <= 0:
            conn.close()
            return
        conn.usable_until = clock_s() + kept_s
        self._idle.setdefault(conn.peer, []).append(conn)

    def keep(self, conn: HttpConnection, head: WireHead) -> None:
        """Keep a connection for as long as the answer's head says."""
        self.give_back(conn, kept_s=kept_s_of(head.headers))

    async def call(
        self,
        address: str,
        request: WireRequest,
        *,
        timeout_s: float,
        most_bytes: int = MOST_ANSWER_BYTES,
        on_bytes: Callable[[int], None] | None = None,
    ) -> WireAnswer:
        """Make one call and wait for its whole answer; never repeated.

        ``on_bytes`` is told the size of each part of the body as it comes.

        Raises
        ------
        UpstreamError
            When no whole answer came in time.
        """
        conn: HttpConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                conn = await self.take(address, timeout_s=timeout_s)
                conn.send(request)
                answer = await conn.answer(
                    most_bytes=most_bytes, on_bytes=on_bytes
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

    def sweep(self) -> None:
        """Close what was idle for too long, or was closed meanwhile."""
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

    def _kept(self, address: str) -> HttpConnection | None:
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
    """Read how long the other side keeps the connection, in seconds.

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
