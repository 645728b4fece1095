"""Callers that keep connections idle for nearly the idle limit, and its changes.

Uses its own random generator, so that it doesn't change a seed's other random
choices.
"""

from __future__ import annotations

import asyncio
import io
import random
import time
from collections import Counter
from http.client import parse_headers
from typing import TYPE_CHECKING

from _platform_config import HOST
from _platform_load import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    DEADLINE_S,
    RECONNECT_DELAY_S,
    ROUTE_KINDS,
    RequestResult,
)
from attrs import define, field

from crowrudder_standins.fleet_replica import LEAVING, REQUEST_ID, SEAL

if TYPE_CHECKING:
    from collections.abc import Callable

    from _platform_chaos import PlatformChaos
    from _platform_fleet import PlatformFleet

CALLERS = 30
MAX_IDLE_SHARE = 0.8
"""Share of the idle limit for which callers leave a connection idle at most."""

UPPER_END_POWER = 0.15
"""Five of six gaps are longer than three quarters of the longest."""

PAIR_SHARE = 0.15
PARTS_SHARE = 0.3
PART_GAP_S = (0.0, 0.3)
POLL_S = 0.02
LOW_LIMIT_S = (0.4, 1.0)
HIGH_LIMIT_S = (1.0, 3.0)
CHANGES = (2, 6)
"""Changes of the idle limit in a series, up and down in turn."""

CHANGE_INTERVAL_S = (0.2, 1.5)
SERIES_INTERVAL_S = (0.5, 2.5)
FREEZE_S = (0.2, 1.5)
SIGNAL_INTERVAL_S = (1.0, 4.0)
HEAD_END = b'\r\n\r\n'
LINE_END = b'\r\n'


@define
class KeptResult(RequestResult):
    """A request on a kept connection.

    ``sent_at`` is when its last byte was sent or, if it was pipelined, the
    answer before it had ended. ``end`` is ``answer``, ``FIN``, ``RST`` or
    ``waiting``, empty if it was not sent whole.
    """

    sent_at: float = 0
    end: str = ''


@define(eq=False)
class KeptCaller:
    """Sends requests with long gaps on a kept connection to one entry."""

    name: str
    entry: str
    address: str
    rng: random.Random
    key: Callable[[], str]
    idle_limit_s: Callable[[], float]
    results: list[KeptResult] = field(factory=list)

    async def run(self, ends_at: float) -> None:
        """Send requests until a deadline; connect again when a connection ends."""
        ip, _, port = self.address.rpartition(':')
        while time.monotonic() < ends_at:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(ip, port)
            except (OSError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            while await self._wait(reader, ends_at):
                if not await self._exchange(reader, writer):
                    break
            writer.close()

    async def _wait(self, reader: asyncio.StreamReader, ends_at: float) -> bool:
        """Wait for a gap; return whether the connection can be used."""
        idle_since = time.monotonic()
        share = choose_idle_share(self.rng)
        while time.monotonic() - idle_since < share * self.idle_limit_s():
            await asyncio.sleep(POLL_S)
            if has_ended(reader) or time.monotonic() > ends_at:
                return False
        return not has_ended(reader)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one or two requests; return whether the connection is kept."""
        count = 1 + (self.rng.random() < PAIR_SHARE)
        sent = [self._new_result() for _ in range(count)]
        wire = b''.join(self._request(each) for each in sent)
        if self.rng.random() < PARTS_SHARE:
            head, end, wire = wire.rpartition(HEAD_END)
            writer.write(head + end)
            await asyncio.sleep(self.rng.uniform(*PART_GAP_S))
            if wire and has_ended(reader):
                return False
        writer.write(wire)
        free_at = time.monotonic()
        is_kept = True
        for each in sent:
            each.sent_at = free_at
            is_kept = await _read(reader, each) and is_kept
            free_at = each.ended_at
        return is_kept

    def _new_result(self) -> KeptResult:
        result = KeptResult(
            f'{self.name}-{len(self.results)}',
            self.rng.choice(ROUTE_KINDS),
            self.entry,
            time.monotonic(),
        )
        self.results.append(result)
        return result

    def _request(self, result: RequestResult) -> bytes:
        body = b'body' if result.kind.method == 'POST' else b''
        lines = [
            f'{result.kind.method} {result.kind.path} HTTP/1.1',
            f'Host: {HOST}',
            f'{REQUEST_ID}: {result.request_id}',
            f'X-Credential: {self.key()}',
            f'X-Deadline-Ms: {DEADLINE_S * 1000:.0f}',
            f'Content-Length: {len(body)}',
        ]
        if result.kind.is_stream:
            lines += ['X-Model: m', 'X-Token-Count: 100,6']
        return '\r\n'.join(lines).encode() + HEAD_END + body


def choose_idle_share(rng: random.Random) -> float:
    """Choose a gap as a share of the idle limit, mostly near the upper end."""
    return float(MAX_IDLE_SHARE * rng.random() ** UPPER_END_POWER)


def has_ended(reader: asyncio.StreamReader) -> bool:
    """Return whether the end of a connection has been received."""
    return reader.at_eof() or reader.exception() is not None


async def _read(reader: asyncio.StreamReader, result: KeptResult) -> bool:
    """Read an answer; return whether the connection is kept."""
    is_kept = False
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            is_kept = await _read_answer(reader, result)
    except (asyncio.IncompleteReadError, ValueError) as exc:
        result.end, result.reason = 'FIN', str(exc)
    except ConnectionError:
        result.end = 'RST'
    except TimeoutError:
        result.end = 'waiting'
    else:
        result.end, result.is_whole = 'answer', True
    result.ended_at = time.monotonic()
    return is_kept


async def _read_answer(
    reader: asyncio.StreamReader, result: KeptResult
) -> bool:
    start, _, fields = (await reader.readuntil(HEAD_END)).partition(LINE_END)
    headers = parse_headers(io.BytesIO(fields))
    result.head_at = time.monotonic()
    result.status = int(start.split()[1])
    result.echoed = headers.get(REQUEST_ID, '')
    result.has_seal = SEAL in headers
    result.retry_after = headers.get('Retry-After', '')
    result.states_leaving = LEAVING in headers
    if headers.get('Transfer-Encoding') == 'chunked':
        size = -1
        while size:
            size = int(await reader.readuntil(LINE_END), 16)
            part = await reader.readexactly(size + len(LINE_END))
            result.body += part[:size]
    else:
        length = headers.get('Content-Length')
        result.body = await (
            reader.readexactly(int(length)) if length else reader.read()
        )
    return headers.get('Connection', '').lower() != 'close'


@define(eq=False)
class KeptLoad:
    """Callers with kept connections, changes of the idle limit, and signals."""

    fleet: PlatformFleet
    rng: random.Random
    key: Callable[[], str]
    chaos: PlatformChaos
    log_line: Callable[[str], None]
    callers: list[KeptCaller] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)

    @property
    def results(self) -> list[KeptResult]:
        """The requests that were sent whole."""
        sent = (each for caller in self.callers for each in caller.results)
        return [each for each in sent if each.end]

    async def run(self, ends_at: float, *, is_calm: bool = False) -> None:
        """Run the callers and, unless it is calm, the faults."""
        entries = sorted(self.fleet.entries().items())
        self.callers = [
            KeptCaller(
                f'kept-{number}',
                *entries[number % len(entries)],
                random.Random(self.rng.getrandbits(32)),
                self.key,
                lambda: self.fleet.idle_limit_s,
            )
            for number in range(CALLERS)
        ]
        faults = () if is_calm else (self.change_limits, self._disturb_entries)
        await asyncio.gather(
            *(caller.run(ends_at) for caller in self.callers),
            *(fault(ends_at) for fault in faults),
        )

    async def change_limits(self, ends_at: float) -> None:
        """Raise and lower the idle limit in series."""
        while time.monotonic() < ends_at:
            for number in range(self.rng.randint(*CHANGES)):
                limits = HIGH_LIMIT_S if number % 2 else LOW_LIMIT_S
                self.fleet.idle_limit_s = self.rng.uniform(*limits)
                self.fleet.publish()
                self.counts['limits'] += 1
                self.log_line(f'idle limit {self.fleet.idle_limit_s:.3f} s')
                await asyncio.sleep(self.rng.uniform(*CHANGE_INTERVAL_S))
            await asyncio.sleep(self.rng.uniform(*SERIES_INTERVAL_S))

    async def _disturb_entries(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(*SIGNAL_INTERVAL_S))
            if self.rng.random() < 0.5:
                summary = await self.chaos.freeze(
                    self.rng, FREEZE_S, entry=True
                )
            else:
                summary = self.chaos.hang_up(self.rng, entry=True)
            self.counts[summary.partition(' ')[0]] += 1
            self.log_line(summary)
