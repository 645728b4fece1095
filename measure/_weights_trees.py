"""Baselines: other ways of distributing a version over the same links."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from _weights_fleet import CHUNK_US, DOMAIN_US, ORIGIN_CHUNK_US
from _weights_links import Clock, Link, SharedLink

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

CONCURRENT_READS = 4


def all_from_origin(hosts: int, chunks: int) -> float:
    """Return the time over the bound if hosts read only from the origin.

    The origin's link is always busy, so it is the time to send all bytes.
    """
    return hosts * ORIGIN_CHUNK_US / CHUNK_US


def one_tree(hosts: int, chunks: int, *, width: int) -> float:
    """Return the time over the bound with one tree for all chunks."""
    return _PushSimulation(
        hosts, chunks, width, lambda _: list(range(hosts))
    ).run()


def tree_per_chunk(hosts: int, chunks: int, *, width: int) -> float:
    """Return the time over the bound with a random tree for each chunk."""

    def order(chunk: int) -> list[int]:
        shuffled = list(range(hosts))
        random.Random(chunk).shuffle(shuffled)
        return shuffled

    return _PushSimulation(hosts, chunks, width, order).run()


class _PushSimulation:
    """Simulates hosts that push each chunk to their children in its tree."""

    def __init__(
        self,
        hosts: int,
        chunks: int,
        width: int,
        order: Callable[[int], Sequence[int]],
    ) -> None:
        self._clock = Clock()
        self._origin = SharedLink(self._clock, ORIGIN_CHUNK_US)
        self._up = [Link() for _ in range(hosts)]
        self._down = [Link() for _ in range(hosts)]
        self._orders = [order(chunk) for chunk in range(chunks)]
        self._width = width
        self._chunks = chunks
        self._last = 0

    def run(self) -> float:
        """Push all chunks; return the time over the bound."""
        for chunk in range(min(CONCURRENT_READS, self._chunks)):
            self._read(chunk)
        while self._clock.step():
            self._last = self._clock.now
        return self._last / (self._chunks * CHUNK_US)

    def _read(self, chunk: int) -> None:
        """Read a chunk at the root of its tree; its end starts the next read."""
        self._origin.send(_ignore, partial(self._on_root_read, chunk))

    def _on_root_read(self, chunk: int, began: int) -> None:
        if chunk + CONCURRENT_READS < self._chunks:
            self._read(chunk + CONCURRENT_READS)
        self._receive(chunk, 0, began)

    def _receive(self, chunk: int, rank: int, began: int) -> None:
        down = self._down[self._orders[chunk][rank]]
        _, end = down.reserve(began + DOMAIN_US, CHUNK_US)
        self._clock.at(end, partial(self._push, chunk, rank))

    def _push(self, chunk: int, rank: int) -> None:
        up = self._up[self._orders[chunk][rank]]
        first = rank * self._width + 1
        last = min(first + self._width, len(self._up))
        for child in range(first, last):
            begin, _ = up.reserve(self._clock.now, CHUNK_US)
            self._clock.at(begin, partial(self._receive, chunk, child, begin))


def _ignore() -> None:
    """Ignore the progress of a chunk."""
