"""Entries with their quarantines before upstreams that end, in virtual time.

Nothing of it has a network: upstreams begin what they are sent after a while,
words between entries are late or lost, and agents tell of an end a moment
later. Requests go to upstreams drawn by chance.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

from attrs import define, field, frozen

from crowrudder_core.quarantine import (
    Audience,
    Convicted,
    Quarantine,
    Tell,
    owners,
)
from crowrudder_model.messages import SuspectNews

ATTEMPTS = 2
BEGIN_S = (0.08, 0.4)
RUN_S = (0.8, 3.0)
FATAL_AFTER_S = (0.02, 0.12)
AWAY_S = 2.0
AGENT_SEES_S = (0.1, 0.25)
WORD_S = (0.004, 0.05)
LOST = 0.02
RETURNS = 1
COMES_BACK_S = (0.02, 0.2)
FATAL = 7
NEAR = 7
"""Partners of an entry that it tells news."""


@define(eq=False)
class Life:
    """One life of an upstream, and the runs that are there."""

    name: str
    ends_at: float = float('inf')
    runs: list = field(factory=list)


@frozen
class Fleet:
    """The size of a fleet, and the load on it.

    ``beside`` is how many other requests a second one upstream gets,
    ``fatal_every_s`` the time between two arrivals of the fatal one.
    """

    entries: int
    upstreams: int
    beside: float = 5.0
    fatal_every_s: float = 0.5
    fatal_callers: int = 1
    lasts_s: float = 8.0


@define(eq=False)
class Run:
    """A request at an upstream."""

    digest: int
    entry: int
    sends: int
    tries: int
    life: Life
    began_at: float = float('inf')
    is_over: bool = False


@define(eq=False)
class QuarantineWorld:
    """Plays a fatal request among others."""

    fleet: Fleet
    seed: int
    now: float = 0
    ended: list = field(factory=list)
    rejected: set = field(factory=set)
    fatal_sends: list = field(factory=list)
    words: int = 0
    rng: Any = field(init=False)
    cores: list = field(init=False)
    names: list = field(init=False)
    lives: list = field(init=False)
    _events: list = field(factory=list)
    _count: Any = field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.cores = [Quarantine() for _ in range(self.fleet.entries)]
        self.names = [str(number) for number in range(self.fleet.entries)]
        self.lives = [Life(f'u{n}') for n in range(self.fleet.upstreams)]

    def play(self):
        """Run to the end."""
        rate = self.fleet.beside * self.fleet.upstreams
        at = 0.0
        for digest in itertools.count(1000):
            at += self.rng.expovariate(rate)
            if at > self.fleet.lasts_s:
                break
            self._at(at, self._arrive, digest, 0)
        for caller in range(self.fleet.fatal_callers):
            at = 1.0 + self.rng.uniform(0, 0.1)
            while at < self.fleet.lasts_s:
                self._at(at, self._arrive, FATAL + caller, 0)
                at += self.fleet.fatal_every_s
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self

    def sent_after_third(self, slack_s):
        """Count sends of a fatal request so long after its third end."""
        late = 0
        for digest in range(FATAL, FATAL + self.fleet.fatal_callers):
            ends = [at for at, cause in self.ended if cause == digest]
            if len(ends) >= 3:
                since = ends[2] + slack_s
                sends = [at for at, each in self.fatal_sends if each == digest]
                late = max(late, sum(at > since for at in sends))
        return late

    def _at(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._count), call, args))

    def _within(self, times):
        return self.now + self.rng.uniform(*times)

    def _is_fatal(self, digest):
        return digest < FATAL + self.fleet.fatal_callers

    def _arrive(self, digest, tries):
        entry = self.rng.randrange(self.fleet.entries)
        self._send(digest, entry, 0, tries, None)

    def _send(self, digest, entry, sends, tries, avoid):
        core = self.cores[entry]
        if core.is_convicted(digest, now=self.now):
            self.rejected.add(digest)
            return
        life = self._place(avoid)
        if life is None:
            return
        if self._is_fatal(digest):
            self.fatal_sends.append((self.now, digest))
        run = Run(digest, entry, sends + 1, tries, life)
        life.runs.append(run)
        self._at(self._within(BEGIN_S), self._begin, run)

    def _place(self, avoid):
        sound = [
            life
            for life in self.lives
            if life.ends_at > self.now and life is not avoid
        ]
        return self.rng.choice(sound) if sound else None

    def _begin(self, run):
        if run.is_over:
            return
        run.began_at = self.now
        if self._is_fatal(run.digest):
            self._at(self._within(FATAL_AFTER_S), self._end, run)
        else:
            self._at(self._within(RUN_S), self._whole, run)

    def _whole(self, run):
        if run.is_over:
            return
        run.is_over = True
        run.life.runs.remove(run)
        core = self.cores[run.entry]
        self._carry_out(run.entry, core.on_whole(run.digest, now=self.now))

    def _end(self, run):
        life = run.life
        if run.is_over or life.ends_at <= self.now:
            return
        life.ends_at = self.now
        self.ended.append((self.now, run.digest))
        seen_at = self._within(AGENT_SEES_S)
        for each in life.runs:
            each.is_over = True
            self._broken(each)
        for entry in sorted({each.entry for each in life.runs}):
            self._at(seen_at, self._seen, entry, life)
        self._at(self.now + AWAY_S, self._back, life)

    def _broken(self, run):
        core = self.cores[run.entry]
        ran_s = max(self.now - run.began_at, 0)
        core.on_broken(run.digest, [run.life.name], ran_s=ran_s, now=self.now)
        may_again = core.may_send_again(run.digest, now=self.now)
        if run.sends < ATTEMPTS and may_again:
            args = (run.digest, run.entry, run.sends, run.tries, run.life)
            self._at(self.now, self._send, *args)
        elif run.tries < RETURNS:
            self._at(
                self._within(COMES_BACK_S),
                self._arrive,
                run.digest,
                run.tries + 1,
            )

    def _seen(self, entry, life):
        core = self.cores[entry]
        self._carry_out(entry, core.on_ended(life.name, now=self.now))

    def _back(self, life):
        name, _, number = life.name.partition('.')
        self.lives.remove(life)
        self.lives.append(Life(f'{name}.{int(number or 1) + 1}'))

    def _carry_out(self, entry, effects):
        for effect in effects:
            match effect:
                case Tell(word=word, audience=Audience.PARTNERS):
                    others = [n for n in self.names if n != str(entry)]
                    count = min(NEAR, len(others))
                    self._tell(word, self.rng.sample(others, count))
                case Tell(word=word):
                    chosen = owners(word.digest, self.names)
                    self._tell(word, [n for n in chosen if n != str(entry)])
                case Convicted(digest=digest):
                    self._take_back(entry, digest)

    def _tell(self, word, names):
        for name in names:
            self.words += 1
            if self.rng.random() >= LOST:
                self._at(self._within(WORD_S), self._hear, int(name), word)

    def _hear(self, entry, word):
        news = SuspectNews((word,))
        self._carry_out(entry, self.cores[entry].on_news(news, now=self.now))

    def _take_back(self, entry, digest):
        for life in self.lives:
            for run in life.runs:
                is_waiting = run.began_at > self.now and not run.is_over
                if run.digest == digest and run.entry == entry and is_waiting:
                    run.is_over = True
