"""Continuous batching of the engine: slots, token steps, prefix cache."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field

_SLOWDOWN_PER_REQUEST = 0.02
_HIT_PREFILL_SHARE = 0.2
_PREFIX_CHARS = 32
_EVENT_LOSS_PROBABILITY = 0.1
Token = tuple[str, int]


def token_text(version: str, index: int, prompt: str) -> str:
    """Return a token text that identifies its version, index and prompt."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return f'{version}:{index}:{digest[:8]} '


@define(eq=False)
class Run:
    """One run of a request; ``ranges`` are [version, first, last] tokens."""

    request_id: str
    prompt: str
    end: int
    priority: int
    resume_from: int
    serial: int
    state: str = 'queued'
    ready_at: float = 0
    ranges: list[list[Any]] = field(factory=list)
    events: asyncio.Queue[Token | None] = field(factory=asyncio.Queue)

    def priority_key(self) -> tuple[int, int]:
        return (self.priority, self.serial)

    def next_index(self) -> int:
        return self.ranges[-1][2] + 1 if self.ranges else self.resume_from

    def add_token(self, version: str) -> None:
        index = self.next_index()
        if self.ranges and self.ranges[-1][0] == version:
            self.ranges[-1][2] = index
        else:
            self.ranges.append([version, index, index])
        self.events.put_nowait((version, index))

    def log_entry(self) -> dict[str, Any]:
        shown = ('serial', 'request_id', 'resume_from', 'state', 'ranges')
        return {name: getattr(self, name) for name in shown}


@define
class PrefixCache:
    """LRU cache of prompt prefixes; its events are delayed and have gaps."""

    size: int
    event_lag_s: float
    _rng: random.Random = field(factory=lambda: random.Random(1))
    _prefixes: OrderedDict[str, None] = field(factory=OrderedDict)
    _events: list[tuple[float, dict[str, Any]]] = field(factory=list)
    _seq: int = 0

    def touch(self, prompt: str) -> bool:
        """Store the prompt's prefix and return whether it was cached."""
        prefix = prompt[:_PREFIX_CHARS]
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._emit('stored', prefix)
        if len(self._prefixes) > self.size:
            self._emit('evicted', self._prefixes.popitem(last=False)[0])
        return hit

    def clear(self) -> None:
        while self._prefixes:
            self._emit('evicted', self._prefixes.popitem()[0])

    def events(self, after: int) -> dict[str, Any]:
        visible_until = time.monotonic() - self.event_lag_s
        shown = [each for at, each in self._events if at <= visible_until]
        last = shown[-1]['seq'] if shown else 0
        later = [each for each in shown if each['seq'] > after]
        return {'events': later, 'last': last}

    def _emit(self, kind: str, prefix: str) -> None:
        self._seq += 1
        if self._rng.random() >= _EVENT_LOSS_PROBABILITY:
            event = {'seq': self._seq, 'kind': kind, 'prefix': prefix}
            self._events.append((time.monotonic(), event))


@define(eq=False)
class Batch:
    """Queued and running requests; a step adds a token to each running one."""

    slots: int
    token_interval_s: float
    prefill_s: float
    cache: PrefixCache
    append_journal: Callable[[Mapping[str, Any]], None]
    version: str = ''
    runs: list[Run] = field(factory=list)
    tokens: int = 0
    _running: list[Run] = field(factory=list)
    _queue: list[Run] = field(factory=list)
    _wake: asyncio.Event = field(factory=asyncio.Event)

    def submit(self, order: dict[str, Any]) -> Run:
        run = Run(
            request_id=str(order['request_id']),
            prompt=str(order.get('prompt', '')),
            end=int(order.get('max_tokens', 16)),
            priority=int(order.get('priority', 5)),
            resume_from=int(order.get('resume_from', 0)),
            serial=len(self.runs),
        )
        self.runs.append(run)
        self._queue.append(run)
        self._wake.set()
        return run

    def counts(self) -> dict[str, int]:
        return {'running': len(self._running), 'queued': len(self._queue)}

    def stop(self, run: Run, state: str) -> bool:
        """End a run early; return whether it was still queued or running."""
        if run in self._queue:
            self._queue.remove(run)
        elif run in self._running:
            self._running.remove(run)
        else:
            return False
        self._end(run, state)
        return True

    def cancel(self, request_id: str) -> bool:
        live = [*self._running, *self._queue]
        found = [run for run in live if run.request_id == request_id]
        return any([self.stop(run, 'cancelled') for run in found])

    async def step(self) -> None:
        """Wait for work, then add a token to each running request."""
        if not self._running and not self._queue:
            self._wake.clear()
            await self._wake.wait()
        while self._queue and len(self._running) < self.slots:
            self._start(min(self._queue, key=Run.priority_key))
        slowdown = 1 + _SLOWDOWN_PER_REQUEST * (len(self._running) - 1)
        await asyncio.sleep(self.token_interval_s * slowdown)
        now = time.monotonic()
        ready = [run for run in self._running if run.ready_at <= now]
        for run in ready:
            self._advance(run)

    def _start(self, run: Run) -> None:
        hit = self.cache.touch(run.prompt)
        prefill_s = self.prefill_s * (_HIT_PREFILL_SHARE if hit else 1)
        run.ready_at = time.monotonic() + prefill_s
        run.state = 'started'
        self._queue.remove(run)
        self._running.append(run)
        self.append_journal(run.log_entry())

    def _advance(self, run: Run) -> None:
        if run.next_index() < run.end:
            run.add_token(self.version)
            self.tokens += 1
        if run.next_index() >= run.end:
            self._running.remove(run)
            self._end(run, 'finished')

    def _end(self, run: Run, state: str) -> None:
        run.state = state if run.state == 'started' else f'{state}_unstarted'
        run.events.put_nowait(None)
        self.append_journal(run.log_entry())
