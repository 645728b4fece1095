"""Simulation of entries and an upstream that states a rate limit.

Time is virtual and there is no network: an entry learns a limit from the
answers to its own requests and from reports of other entries, which are
delayed or lost.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

from attrs import define, field, frozen

from crowrudder_core.limits import StatedLimits, senders_of

ANSWER_DELAY_S = (0.05, 0.3)
MESSAGE_DELAY_S = (0.004, 0.05)
MESSAGE_LOSS_RATE = 0.05
UPDATE_PARTNERS = 7
SAMPLE_SIZE = 4
NAMED_AT_S = 2.0


@frozen
class Load:
    """The size of a fleet, its load, and the limit of its first upstream.

    ``per_s`` is the request rate over all entries; requests arrive in bursts.
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
    """Simulates a load.

    ``arrivals`` holds, for each request to the limited upstream, its time and
    the time at which its entry learned the limit.
    """

    load: Load
    seed: int
    now: float = 0
    arrivals: list = field(factory=list)
    refused: int = 0
    informed_at: dict = field(factory=dict)
    words: int = 0
    rng: Any = field(init=False)
    limits: list = field(init=False)
    alive: set = field(init=False)
    _events: list = field(factory=list)
    _count: Any = field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.alive = set(range(self.load.entries))
        self.limits = [self._build_limits(n) for n in range(self.load.entries)]

    def play(self):
        """Run the simulation to its end."""
        at = 0.0
        while at < self.load.lasts_s:
            burst = self.rng.choice((1, 1, 1, 8))
            at += burst * self.rng.expovariate(self.load.per_s)
            for _ in range(burst):
                self._schedule(at, self._arrive)
        if self.load.restart_every_s:
            self._schedule(self.load.restart_every_s, self._restart)
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self

    def most_in(self, window_s, since, grace_s=0.5):
        """Return the most arrivals in a window from entries that know the limit."""
        times = [
            at
            for at, informed_at in self.arrivals
            if at >= since and at >= informed_at + grace_s
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
        """Return the fraction of the limit that is used from a time on."""
        count = sum(since <= at < self.load.lasts_s for at, _ in self.arrivals)
        return count / (self.load.limit * (self.load.lasts_s - since))

    def _build_limits(self, entry):
        def share_of(upstream_id, per_s):
            ips = [str(each) for each in self.alive]
            chosen = senders_of(upstream_id, per_s, ips, [])
            return 1 / len(chosen) if str(entry) in chosen else 0

        return StatedLimits(share_of)

    def _schedule(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._count), call, args))

    def _restart(self):
        """Stop a random entry and start its replacement a second later."""
        entry = self.rng.choice(sorted(self.alive))
        self.alive.discard(entry)
        self._schedule(self.now + 1, self._start, entry)
        if self.now + self.load.restart_every_s < self.load.lasts_s:
            restart_at = self.now + self.load.restart_every_s
            self._schedule(restart_at, self._restart)

    def _start(self, entry):
        self.limits[entry] = self._build_limits(entry)
        self.informed_at.pop(entry, None)
        self.alive.add(entry)

    def _arrive(self):
        entry = self.rng.choice(sorted(self.alive))
        limits = self.limits[entry]
        numbers = range(self.load.upstreams)
        sampled = self.rng.sample(numbers, min(SAMPLE_SIZE, len(numbers)))
        options = [
            f'u{number}'
            for number in sampled
            if limits.has_capacity(f'u{number}', now=self.now)
        ]
        if not options:
            self.refused += 1
            return
        upstream_id = self.rng.choice(options)
        assert limits.take(upstream_id, now=self.now)
        if upstream_id == 'u0':
            informed_at = self.informed_at.get(entry, float('inf'))
            self.arrivals.append((self.now, informed_at))
        answer_at = self.now + self.rng.uniform(*ANSWER_DELAY_S)
        self._schedule(answer_at, self._answer, entry, upstream_id)

    def _answer(self, entry, upstream_id):
        is_stated = NAMED_AT_S <= self.now < self.load.ends_at
        per_s = self.load.limit if is_stated and upstream_id == 'u0' else None
        if per_s is not None:
            informed_at = min(self.informed_at.get(entry, self.now), self.now)
            self.informed_at[entry] = informed_at
        limits = self.limits[entry]
        report = limits.on_answer(upstream_id, per_s, now=self.now)
        if report is not None:
            self._send_report(entry, report)

    def _send_report(self, entry, report):
        others = sorted(self.alive - {entry})
        for other in self.rng.sample(others, min(UPDATE_PARTNERS, len(others))):
            self.words += 1
            if self.rng.random() >= MESSAGE_LOSS_RATE:
                at = self.now + self.rng.uniform(*MESSAGE_DELAY_S)
                self._schedule(at, self._receive, other, report)

    def _receive(self, entry, report):
        forwarded = self.limits[entry].on_report(report, now=self.now)
        if forwarded is not None:
            self._send_report(entry, forwarded)
