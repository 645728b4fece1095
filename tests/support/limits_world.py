"""Entries before upstreams that name limits, in virtual time.

Nothing of it has a network: an entry hears a limit from the answers to its own
requests, and from words of others that are late or lost.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

from attrs import define, field, frozen

from crowrudder_core.limits import NamedLimits, senders_of

ANSWER_S = (0.05, 0.3)
WORD_S = (0.004, 0.05)
LOST = 0.05
PARTNERS = 7
DRAWN = 4
NAMED_AT_S = 2.0


@frozen
class Load:
    """A fleet's size, its load, and the limit of its first upstream.

    ``per_s`` is what all entries get together in a second, in bursts.
    """

    entries: int
    upstreams: int
    limit: float
    per_s: float
    lasts_s: float = 20.0
    ends_at: float = float('inf')
    restart_every_s: float = 0


@define(eq=False)
class LimitsWorld:
    """Plays a load.

    ``arrivals`` are those at the limited upstream, with the time since which
    their entry knew the limit.
    """

    load: Load
    seed: int
    now: float = 0
    arrivals: list = field(factory=list)
    refused: int = 0
    told_at: dict = field(factory=dict)
    words: int = 0
    rng: Any = field(init=False)
    limits: list = field(init=False)
    alive: set = field(init=False)
    _events: list = field(factory=list)
    _count: Any = field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.alive = set(range(self.load.entries))
        self.limits = [self._limits(n) for n in range(self.load.entries)]

    def play(self):
        """Run to the end."""
        at = 0.0
        while at < self.load.lasts_s:
            burst = self.rng.choice((1, 1, 1, 8))
            at += burst * self.rng.expovariate(self.load.per_s)
            for _ in range(burst):
                self._at(at, self._arrive)
        if self.load.restart_every_s:
            self._at(self.load.restart_every_s, self._restart)
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self

    def most_in(self, window_s, since, told_s=0.5):
        """Give the most arrivals in a window from entries that were told."""
        times = [
            at
            for at, told_at in self.arrivals
            if at >= since and at >= told_at + told_s
        ]
        ends = (at + window_s for at in times)
        return max(
            (
                sum(first <= at < end for at in times)
                for first, end in zip(times, ends, strict=True)
            ),
            default=0,
        )

    def used(self, since):
        """Give the part of the limit that is used from a time on."""
        count = sum(since <= at < self.load.lasts_s for at, _ in self.arrivals)
        return count / (self.load.limit * (self.load.lasts_s - since))

    def _limits(self, entry):
        def part_of(upstream_id, per_s):
            ips = [str(each) for each in self.alive]
            chosen = senders_of(upstream_id, per_s, ips, [])
            return 1 / len(chosen) if str(entry) in chosen else 0

        return NamedLimits(part_of)

    def _at(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._count), call, args))

    def _restart(self):
        """End one entry and start another one in its place a second later."""
        entry = self.rng.choice(sorted(self.alive))
        self.alive.discard(entry)
        self._at(self.now + 1, self._start, entry)
        if self.now + self.load.restart_every_s < self.load.lasts_s:
            again_at = self.now + self.load.restart_every_s
            self._at(again_at, self._restart)

    def _start(self, entry):
        self.limits[entry] = self._limits(entry)
        self.told_at.pop(entry, None)
        self.alive.add(entry)

    def _arrive(self):
        entry = self.rng.choice(sorted(self.alive))
        limits = self.limits[entry]
        numbers = range(self.load.upstreams)
        drawn = self.rng.sample(numbers, min(DRAWN, len(numbers)))
        options = [
            f'u{number}'
            for number in drawn
            if limits.has_room(f'u{number}', now=self.now)
        ]
        if not options:
            self.refused += 1
            return
        upstream_id = self.rng.choice(options)
        assert limits.take(upstream_id, now=self.now)
        if upstream_id == 'u0':
            told_at = self.told_at.get(entry, float('inf'))
            self.arrivals.append((self.now, told_at))
        answer_at = self.now + self.rng.uniform(*ANSWER_S)
        self._at(answer_at, self._answer, entry, upstream_id)

    def _answer(self, entry, upstream_id):
        is_named = NAMED_AT_S <= self.now < self.load.ends_at
        per_s = self.load.limit if is_named and upstream_id == 'u0' else None
        if per_s is not None:
            told_at = min(self.told_at.get(entry, self.now), self.now)
            self.told_at[entry] = told_at
        limits = self.limits[entry]
        word = limits.on_answer(upstream_id, per_s, now=self.now)
        if word is not None:
            self._tell(entry, word)

    def _tell(self, entry, word):
        others = sorted(self.alive - {entry})
        for other in self.rng.sample(others, min(PARTNERS, len(others))):
            self.words += 1
            if self.rng.random() >= LOST:
                at = self.now + self.rng.uniform(*WORD_S)
                self._at(at, self._hear, other, word)

    def _hear(self, entry, word):
        passed = self.limits[entry].on_word(word, now=self.now)
        if passed is not None:
            self._tell(entry, passed)
