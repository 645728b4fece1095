"""Callers of a fleet on its users' platform, and what they found wrong."""

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
from crowrudder_standins.fleet_replica import REQUEST_ID, SEAL

if TYPE_CHECKING:
    from collections.abc import Callable

DEADLINE_S = 4.0
PATIENCE_S = DEADLINE_S + 1.5
"""The longest that a caller waits; an answer is due at its deadline."""

CONNECT_S = 1.0
SHARE_LEAVES = 0.05
LEAVES_WITHIN_S = 0.2
PAUSE_S = (0.0, 0.06)
CONN_PAUSE_S = 0.1
NOT_RUN = frozenset((408, 421, 429, 503))
BLAMES = frozenset((400, 401, 403, 404, 413, 431))


@frozen
class Kind:
    """A route of the fleet as its callers see it."""

    path: str
    method: str
    is_once: bool
    is_stream: bool


KINDS = (
    Kind('/read/x', 'GET', is_once=False, is_stream=False),
    Kind('/notice/x', 'POST', is_once=True, is_stream=False),
    Kind('/draft/x', 'POST', is_once=False, is_stream=True),
    Kind('/once/x', 'POST', is_once=True, is_stream=True),
)


@define
class Asked:
    """A request and what came of it; ``status`` 0 where no head came."""

    request_id: str
    kind: Kind
    entry: str
    began_at: float
    ended_at: float = 0
    status: int = 0
    body: bytes = b''
    is_whole: bool = False
    has_seal: bool = False
    echoed: str = ''
    reason: str = ''
    left: bool = False
    refused: bool = False
    retry_after: str = ''


@define(eq=False)
class Caller:
    """Sends one request after the other, on a connection that it keeps.

    It keeps to an entry until its connection there ends, as callers do that
    were told of the entry a while ago.
    """

    rng: random.Random
    entries: Callable[[], dict[str, str]]
    key: Callable[[], str]
    kinds: tuple[Kind, ...] = KINDS
    body: bytes = b'body'
    asked: list[Asked] = field(factory=list)
    _conn: HttpConnection | None = None
    _entry: str = ''
    _kept_until: float = 0

    async def run(self, ends_at: float, name: str) -> None:
        """Send requests until a time."""
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            await self.ask(f'{name}-{number}')
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        self.close()

    async def ask(self, request_id: str) -> Asked:
        """Send one request and read its answer."""
        kind = self.rng.choice(self.kinds)
        leaves = self.rng.random() < SHARE_LEAVES
        found = Asked(request_id, kind, self._entry, time.monotonic())
        wait_s = PATIENCE_S
        if leaves:
            wait_s = self.rng.uniform(0, LEAVES_WITHIN_S)
        try:
            async with asyncio.timeout(wait_s):
                await self._exchange(found)
        except NotConnectedError as exc:
            found.refused = True
            found.reason = str(exc)
            self.close()
            await asyncio.sleep(CONN_PAUSE_S)
        except (BrokenAnswerError, TimeoutError) as exc:
            found.reason = str(exc) or 'no answer in time'
            found.left = leaves
            self.close()
        found.ended_at = time.monotonic()
        self.asked.append(found)
        return found

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    async def _exchange(self, found: Asked) -> None:
        conn = await self._connection()
        found.entry = self._entry
        conn.send(self._request(found))
        head = await conn.head()
        found.status = head.status
        found.echoed = head.header(REQUEST_ID.lower())
        found.has_seal = bool(head.header(SEAL.lower()))
        found.retry_after = head.header('retry-after')
        parts: list[bytes] = []
        while (part := await conn.part()) is not None:
            parts.append(part)
            found.body = b''.join(parts)
        found.is_whole = True
        self._keep(conn, head)

    async def _connection(self) -> HttpConnection:
        conn = self._conn
        is_kept = time.monotonic() < self._kept_until
        if conn is not None and conn.is_open and is_kept:
            return conn
        self.close()
        entries = self.entries()
        self._entry = self.rng.choice(sorted(entries))
        ip, _, port = entries[self._entry].rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_S):
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
        self._kept_until = time.monotonic() + DEADLINE_S
        return conn

    def _keep(self, conn: HttpConnection, head: WireHead) -> None:
        kept_s = kept_s_of(head.headers)
        if not conn.finish() or kept_s == 0:
            self.close()

    def _request(self, found: Asked) -> WireRequest:
        headers = {
            'Host': HOST,
            REQUEST_ID: found.request_id,
            'X-Credential': self.key(),
            'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
        }
        if found.kind.is_stream:
            headers |= {'X-Model': 'm', 'X-Token-Count': '100,6'}
        body = self.body if found.kind.method == 'POST' else b''
        return WireRequest(
            method=found.kind.method,
            target=found.kind.path,
            headers=tuple(headers.items()),
            body=body,
        )
