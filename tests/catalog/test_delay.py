"""Time until a change is known to all entries, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from crowrudder_core.catalog import (
    WATCHERS,
    StoreReadPolicy,
    StoreStep,
)

BOUND_S = 2.0
HEARTBEAT_S = 0.4
PARTNERS = 8
"""Entries to which a heartbeat goes; a fleet may have more."""

CALL_S = 0.01
FETCH_S = 0.03
IDLE_S = 0.2
CALL_TIMEOUT_S = 1.0
"""How long after its wait a watch without an answer is given up."""

SEEDS = range(12)
SIZES = pytest.mark.parametrize('size', [8, 48])


class Entry:
    """An entry that watches the store or hears the other entries."""

    def __init__(self, world, name, names):
        self.world = world
        self.revision = 0
        self.reading = StoreReadPolicy(own=name, bound_s=BOUND_S)
        self.reading.on_entries(names)
        self.reading.on_listed()
        self.reading.on_confirmed(0, 0)

    @property
    def is_deaf(self):
        return self.world.now >= self.world.deaf_from and (
            self.reading.own in self.world.deaf
        )

    def act(self):
        """Take the next step towards the store."""
        world, reading = self.world, self.reading
        if reading.step(world.now) is StoreStep.IDLE:
            rest_s = min(IDLE_S, reading.due_in_s(world.now) or IDLE_S)
            world.after(rest_s + CALL_S / 2, self.act)
            return
        world.calls += 1
        wait_s = reading.watch_wait_s(world.now)
        if self.is_deaf:
            world.after(wait_s + CALL_TIMEOUT_S, self.fail)
        elif self.revision < world.revision or not wait_s:
            world.after(CALL_S, self.answer)
        else:
            watch = [self, world.now + wait_s]
            world.watches.append(watch)
            world.after(wait_s, lambda: self.end(watch))

    def end(self, watch):
        """End a watch that had no change."""
        if watch not in self.world.watches:
            return
        self.world.watches.remove(watch)
        if self.is_deaf:
            self.world.after(CALL_TIMEOUT_S, self.fail)
        else:
            self.answer()

    def answer(self):
        """Apply an answer of the store."""
        world = self.world
        has_changes = self.revision < world.revision
        self.reading.on_answer(world.now)
        self.reading.on_confirmed(world.now, world.now)
        self.reading.on_watched(has_changes=has_changes)
        self.learn(world.revision)
        pause_s = self.reading.batch_pause_s if has_changes else 0
        world.after(pause_s, self.act)

    def fail(self):
        self.reading.on_failed()
        self.world.after(self.reading.pause_s(self.world.random), self.act)

    def learn(self, revision):
        """Take the records up to a revision, and tell some entries."""
        if revision > self.revision:
            self.revision = revision
            self.world.known_at[self.reading.own] = self.world.now
            self.tell()

    def tell(self):
        world = self.world
        others = [each for each in world.entries if each is not self]
        confirmed_at = self.reading.confirmed_at
        for each in world.random.sample(others, min(PARTNERS, len(others))):
            world.after(
                CALL_S / 2,
                lambda each=each, revision=self.revision: each.hear(
                    revision, confirmed_at
                ),
            )

    def hear(self, revision, confirmed_at):
        """Receive a heartbeat: a confirmation, or records to fetch."""
        world = self.world
        if revision <= self.revision:
            self.reading.on_confirmed(confirmed_at, world.now)
            return

        def fetched():
            self.reading.on_confirmed(confirmed_at, world.now)
            self.learn(revision)

        world.after(FETCH_S, fetched)

    def beat(self):
        self.tell()
        interval_s = HEARTBEAT_S * self.world.random.uniform(0.9, 1.1)
        self.world.after(interval_s, self.beat)


class World:
    """A store and the entries that read it; some become deaf to it."""

    def __init__(self, seed, size, deaf_ranks=()):
        self.random = random.Random(seed)
        self.now = 0.0
        self.calls = 0
        self.revision = 0
        self.known_at: dict[str, float] = {}
        self.watches: list[list] = []
        self._events: list[tuple] = []
        self._order = itertools.count()
        names = [f'10.0.0.{number}' for number in range(size)]
        self.entries = [Entry(self, name, names) for name in names]
        self.deaf_from = 10.0
        self.deaf = {
            each.reading.own
            for each in self.entries
            if each.reading.rank in deaf_ranks
        }
        for each in self.entries:
            self.after(self.random.uniform(0, 1), each.act)
            self.after(self.random.uniform(0, HEARTBEAT_S), each.beat)

    def after(self, delay_s, action):
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._order), action)
        )

    def run(self, until_s):
        while self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until_s

    def change(self):
        """Publish a change, which ends the watches that can hear it."""
        self.revision += 1
        self.known_at.clear()
        for watch in list(self.watches):
            if not watch[0].is_deaf:
                self.watches.remove(watch)
                self.after(CALL_S, watch[0].answer)

    def unknown_for_s(self):
        """Publish a change; return the time until all entries know it."""
        began_at = self.now
        self.change()
        while len(self.known_at) < len(self.entries):
            self.run(self.now + CALL_S)
            if self.now > began_at + 10:
                return self.now - began_at
        return max(self.known_at.values()) - began_at


@SIZES
class TestDelay:
    """A change is in force within the bound, whichever watchers hear it."""

    @pytest.mark.parametrize(
        'deaf_ranks', [(), (0,), (0, 1, 2), tuple(range(WATCHERS))]
    )
    def test_a_change_is_known_to_all_in_time(self, size, deaf_ranks):
        """Guards against parts of the delay that are longer than the bound."""
        for seed in SEEDS:
            world = World(seed, size, deaf_ranks)
            world.run(world.deaf_from + world.random.uniform(0, 4))
            assert world.unknown_for_s() <= BOUND_S

    def test_a_change_right_after_another_is_known_in_time(self, size):
        """Guards against the pause of the only watcher that hears changes."""
        for seed in SEEDS:
            world = World(seed, size, range(WATCHERS - 1))
            world.run(world.deaf_from + 3)
            world.unknown_for_s()
            assert world.unknown_for_s() <= BOUND_S

    @pytest.mark.parametrize('deaf_ranks', [(), (0,), (0, 1)])
    def test_records_stay_current_while_the_store_answers(
        self, size, deaf_ranks
    ):
        """Guards against a 503 for unknown routes on a quiet day.

        A final denial needs a confirmation within the bound, and the watchers
        give one only as their waits end.
        """
        for seed in SEEDS:
            world = World(seed, size, deaf_ranks)
            world.run(world.deaf_from + 4)
            world.unknown_for_s()
            for _ in range(60):
                world.run(world.now + 0.1)
                assert all(
                    each.reading.is_current(world.now, BOUND_S)
                    for each in world.entries
                )


class TestCalls:
    def test_calls_at_rest(self):
        world = World(1, 48)
        world.run(10)
        before = world.calls
        world.run(20)
        assert world.calls - before <= 20
