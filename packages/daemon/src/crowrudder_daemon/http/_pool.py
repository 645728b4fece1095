"""Pool of persistent connections to external systems, and calls over them."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._late_timeout import late_timeout
from crowrudder_daemon.http._connection import (
    ConnectionEndedError,
    ConnectionLimitError,
    HttpConnection,
    NotConnectedError,
    WireAnswer,
    WireHead,
    WireRequest,
)
from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

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
    limit_of
        Returns how many connections an address may have, 0 for any.
    """

    def __init__(
        self,
        on_open: Callable[[], None] | None = None,
        limit_of: Callable[[str], int] | None = None,
    ) -> None:
        self._idle: dict[str, list[HttpConnection]] = {}
        self._open_by_address: dict[str, set[HttpConnection]] = {}
        self._on_open = on_open
        self._limit_of = limit_of

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
        ConnectionLimitError
            When none is idle and the address may have no further one.
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
        if kept_s <= 0 or self._excess(conn.peer) > 0:
            conn.close()
            return
        conn.usable_until = clock_s() + kept_s
        self._idle.setdefault(conn.peer, []).append(conn)

    def put_back(self, conn: HttpConnection) -> None:
        """Return a connection to the pool that wasn't used since `acquire`."""
        if not conn.is_open:
            return
        if self._excess(conn.peer) > 0:
            conn.close()
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
        async with self._conn_for_call(
            address, request, timeout_s=timeout_s
        ) as conn:
            conn.send(request)
            answer = await conn.answer(max_bytes=max_bytes, on_bytes=on_bytes)
            self.keep(conn, answer.head)
            return answer

    async def call_pair(
        self,
        address: str,
        first: WireRequest,
        second: Callable[[WireAnswer], WireRequest],
        *,
        timeout_s: float,
    ) -> WireAnswer:
        """Make two calls on one connection; return the second response.

        Both reach the same process, as a connection ends with the process
        that accepted it. ``second`` makes the second request from the first
        response, or raises.

        Raises
        ------
        ConnectionEndedError
            When the connection can't take the second call, which wasn't sent.
        UpstreamError
            When a complete response did not arrive in time.
        """
        async with self._conn_for_call(
            address, first, timeout_s=timeout_s
        ) as conn:
            conn.send(first)
            answer = await conn.answer(max_bytes=MAX_ANSWER_BYTES)
            request = second(answer)
            if kept_s_of(answer.head.headers) == 0 or not conn.finish():
                raise ConnectionEndedError(
                    'closed after the first of two calls',
                    step=request.target,
                    peer=address,
                )
            conn.send(request)
            answer = await conn.answer(max_bytes=MAX_ANSWER_BYTES)
            self.keep(conn, answer.head)
            return answer

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close_expired(self) -> None:
        """Close connections that were idle too long or closed by the peer.

        Idle ones above the limit of their address are closed as well: it may
        have been lowered.
        """
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
            while kept and self._excess(address) > 0:
                kept.pop(0).close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)

    def connections(self, address: str) -> int:
        """Return the number of connections to an address, idle or in use."""
        return len(self._open_by_address.get(address, ()))

    def has_room(self, address: str) -> bool:
        """Return whether `acquire` would reuse or open a connection now."""
        limit = self._limit(address)
        if not limit or self.connections(address) < limit:
            return True
        now = clock_s()
        return any(
            conn.is_open and now < conn.usable_until
            for conn in self._idle.get(address, ())
        )

    def _limit(self, address: str) -> int:
        if self._limit_of is None:
            return 0
        return self._limit_of(address)

    def _excess(self, address: str) -> int:
        """Return by how much an address exceeds its limit; 0 without one."""
        limit = self._limit(address)
        return max(self.connections(address) - limit, 0) if limit else 0

    def _on_closed(self, conn: HttpConnection) -> None:
        conns = self._open_by_address.get(conn.peer)
        if conns is not None:
            conns.discard(conn)
            if not conns:
                del self._open_by_address[conn.peer]

    def _take_idle(self, address: str) -> HttpConnection | None:
        conns = self._idle.get(address, [])
        now = clock_s()
        while conns:
            conn = conns.pop()
            is_usable = conn.is_open and now < conn.usable_until
            if is_usable and conn.socket_state().is_open:
                return conn
            conn.close()
        return None

    @contextlib.asynccontextmanager
    async def _conn_for_call(
        self, address: str, request: WireRequest, *, timeout_s: float
    ) -> AsyncIterator[HttpConnection]:
        """Provide a connection within a time; close it after any error."""
        conn: HttpConnection | None = None
        try:
            async with late_timeout(timeout_s):
                conn = await self.acquire(address, timeout_s=timeout_s)
                yield conn
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

    async def _open(self, address: str, timeout_s: float) -> HttpConnection:
        limit = self._limit(address)
        if limit and self.connections(address) >= limit:
            raise ConnectionLimitError(
                f'all {limit} connections are in use',
                step='connect',
                peer=address,
            )
        ip, _, port = address.rpartition(':')
        conn = HttpConnection(address, self._on_closed)
        # An attempt counts as well: the upstream may have accepted it.
        self._open_by_address.setdefault(address, set()).add(conn)
        loop = asyncio.get_running_loop()
        if self._on_open is not None:
            self._on_open()
        try:
            async with late_timeout(timeout_s):
                await loop.create_connection(lambda: conn, ip, int(port))
        except (OSError, ValueError, TimeoutError) as exc:
            conn.close()
            raise NotConnectedError(
                f'not connected: {type(exc).__name__} {exc}',
                step='connect',
                peer=address,
            ) from exc
        except BaseException:
            conn.close()
            raise
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
