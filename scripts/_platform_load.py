"""Callers of a platform fleet, and the results of their requests."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from _platform_config import HOST
from attrs import define, field, frozen

from crowrudder_daemon.http import (
    BrokenAnswerError,
    HttpConnection,
    NotConnectedError,
    WireHead,
    WireRequest,
    kept_s_of,
)
from crowrudder_standins.fleet_replica import LEAVING, REQUEST_ID, SEAL

if TYPE_CHECKING:
    from collections.abc import Callable

DEADLINE_S = 4.0
ANSWER_TIMEOUT_S = DEADLINE_S + 1.5
"""How long a caller waits at most; an answer is due at its deadline."""

CONNECT_TIMEOUT_S = 1.0
DISCONNECT_SHARE = 0.05
DISCONNECT_WITHIN_S = 0.2
REQUEST_INTERVAL_S = (0.0, 0.06)
RECONNECT_DELAY_S = 0.1
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
CALLER_ERROR_STATUSES = frozenset((400, 401, 403, 404, 413, 431))


@frozen
class RouteKind:
    """A route of the fleet as callers see it."""

    path: str
    method: str
    is_once: bool
    is_stream: bool


ROUTE_KINDS = (
    RouteKind('/read/x', 'GET', is_once=False, is_stream=False),
    RouteKind('/notice/x', 'POST', is_once=True, is_stream=False),
    RouteKind('/draft/x', 'POST', is_once=False, is_stream=True),
    RouteKind('/once/x', 'POST', is_once=True, is_stream=True),
)


@define
class RequestResult:
    """A request and its result; ``status`` is 0 if no head was received."""

    request_id: str
    kind: RouteKind
    entry: str
    began_at: float
    ended_at: float = 0
    status: int = 0
    body: bytes = b''
    is_whole: bool = False
    has_seal: bool = False
    echoed: str = ''
    reason: str = ''
    caller_left: bool = False
    connect_failed: bool = False
    retry_after: str = ''
    head_at: float = 0
    states_leaving: bool = False


@define(eq=False)
class Caller:
    """Sends requests one after another on a persistent connection.

    It stays with an entry until the connection ends, like a caller that
    resolved the entry's address some time ago.
    """

    rng: random.Random
    entries: Callable[[], dict[str, str]]
    key: Callable[[], str]
    route_kinds: tuple[RouteKind, ...] = ROUTE_KINDS
    body: bytes = b'body'
    results: list[RequestResult] = field(factory=list)
    _conn: HttpConnection | None = None
    _entry: str = ''
    _entry_until: float = 0

    async def run(self, ends_at: float, name: str) -> None:
        """Send requests until a deadline."""
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            await self.send_request(f'{name}-{number}')
            await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL_S))
        self.close()

    async def send_request(self, request_id: str) -> RequestResult:
        """Send one request and read its answer."""
        kind = self.rng.choice(self.route_kinds)
        disconnects = self.rng.random() < DISCONNECT_SHARE
        result = RequestResult(request_id, kind, self._entry, time.monotonic())
        wait_s = ANSWER_TIMEOUT_S
        if disconnects:
            wait_s = self.rng.uniform(0, DISCONNECT_WITHIN_S)
        try:
            async with asyncio.timeout(wait_s):
                await self._exchange(result)
        except NotConnectedError as exc:
            result.connect_failed = True
            result.reason = str(exc)
            self.close()
            await asyncio.sleep(RECONNECT_DELAY_S)
        except (BrokenAnswerError, TimeoutError) as exc:
            result.reason = str(exc) or 'no answer in time'
            result.caller_left = disconnects
            self.close()
        result.ended_at = time.monotonic()
        self.results.append(result)
        return result

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    async def _exchange(self, result: RequestResult) -> None:
        conn = await self._connection()
        result.entry = self._entry
        conn.send(self._request(result))
        head = await conn.head()
        result.status = head.status
        result.echoed = head.header(REQUEST_ID.lower())
        result.has_seal = bool(head.header(SEAL.lower()))
        result.retry_after = head.header('retry-after')
        result.head_at = time.monotonic()
        result.states_leaving = bool(head.header(LEAVING.lower()))
        parts: list[bytes] = []
        while (part := await conn.part()) is not None:
            parts.append(part)
            result.body = b''.join(parts)
        result.is_whole = True
        self._close_unless_reusable(conn, head)

    async def _connection(self) -> HttpConnection:
        conn = self._conn
        is_kept = time.monotonic() < self._entry_until
        if conn is not None and conn.is_open and is_kept:
            return conn
        self.close()
        entries = self.entries()
        self._entry = self.rng.choice(sorted(entries))
        ip, _, port = entries[self._entry].rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await asyncio.get_running_loop().create_connection(
                    lambda: HttpConnection(f'{ip}:{port}'), ip, int(port)
                )
        except (OSError, TimeoutError) as exc:
            raise NotConnectedError(
                str(exc) or 'no connection in time',
                step='connect',
                peer=self._entry,
            ) from exc
        self._conn = conn
        self._entry_until = time.monotonic() + DEADLINE_S
        return conn

    def _close_unless_reusable(
        self, conn: HttpConnection, head: WireHead
    ) -> None:
        kept_s = kept_s_of(head.headers)
        if not conn.finish() or kept_s == 0:
            self.close()

    def _request(self, result: RequestResult) -> WireRequest:
        headers = {
            'Host': HOST,
            REQUEST_ID: result.request_id,
            'X-Credential': self.key(),
            'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
        }
        if result.kind.is_stream:
            headers |= {'X-Model': 'm', 'X-Token-Count': '100,6'}
        body = self.body if result.kind.method == 'POST' else b''
        return WireRequest(
            method=result.kind.method,
            target=result.kind.path,
            headers=tuple(headers.items()),
            body=body,
        )
