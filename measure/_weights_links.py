"""A virtual clock in microseconds, and links with a limited rate."""

from __future__ import annotations

import heapq
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Callable

MICROS = 1_000_000
SLICES = 16


@define
class Clock:
    """Runs callbacks in order of time, then in the order of scheduling."""

    now: int = 0
    _due: list[tuple[int, int, Callable[[], None]]] = field(factory=list)
    _serial: int = 0

    @property
    def now_s(self) -> float:
        """The time in seconds."""
        return self.now / MICROS

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Schedule a callback at a time, or now if that time has passed."""
        self._serial += 1
        heapq.heappush(self._due, (max(when, self.now), self._serial, call))

    def step(self) -> bool:
        """Run the next callback; return false if there is none."""
        if not self._due:
            return False
        self.now, _, call = heapq.heappop(self._due)
        call()
        return True


@define
class Link:
    """One direction of a host's link; sends one chunk after the other."""

    free_at: int = 0
    carried: int = 0

    def reserve(self, now: int, duration_us: int) -> tuple[int, int]:
        """Reserve the link for a duration; return its start and end."""
        begin = max(now, self.free_at)
        self.free_at = begin + duration_us
        self.carried += 1
        return begin, self.free_at


@define(eq=False)
class _ChunkInFlight:
    on_slice: Callable[[], None]
    on_complete: Callable[[int], None]
    left: int = SLICES
    began: int = -1


@define
class SharedLink:
    """The origin's link, shared slice by slice by all reads in flight."""

    clock: Clock
    chunk_us: int
    carried: int = 0
    _in_flight: deque[_ChunkInFlight] = field(factory=deque)
    _busy: bool = False

    @property
    def copies(self) -> float:
        """Chunks carried so far."""
        return self.carried / SLICES

    def send(
        self,
        on_slice: Callable[[], None],
        on_complete: Callable[[int], None],
    ) -> None:
        """Send a chunk.

        ``on_slice`` is called after each slice, ``on_complete`` after the last
        one, with the time at which the first began.
        """
        self._in_flight.append(_ChunkInFlight(on_slice, on_complete))
        if not self._busy:
            self._busy = True
            self._send_next_slice()

    def drop_all(self) -> None:
        """Abort all reads in flight."""
        self._in_flight.clear()

    def _send_next_slice(self) -> None:
        if not self._in_flight:
            self._busy = False
            return
        chunk = self._in_flight.popleft()
        if chunk.began < 0:
            chunk.began = self.clock.now
        self.carried += 1
        slice_us = self.chunk_us // SLICES
        self.clock.at(
            self.clock.now + slice_us,
            partial(self._on_slice_sent, chunk),
        )

    def _on_slice_sent(self, chunk: _ChunkInFlight) -> None:
        chunk.left -= 1
        chunk.on_slice()
        if chunk.left:
            self._in_flight.append(chunk)
        else:
            chunk.on_complete(chunk.began)
        self._send_next_slice()
