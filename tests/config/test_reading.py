"""Which processes read the platform: few, at least one, never all at once."""

from __future__ import annotations

from collections import Counter
from random import Random

from attrs import evolve

from crowrudder_core.config import (
    PlatformReadPolicy,
    ReadingMode,
    watchers_of,
)
from support.bundles import fleet

FLEET_SIZE = 2140
MAX_CALLS_PER_S = 500
POLL_S = 5.0
SOURCES = 2


def make_readings(count: int) -> list[PlatformReadPolicy]:
    members = fleet(count)
    found = []
    for each in members:
        reading = PlatformReadPolicy(
            each.host, each.failure_domain, started_at=0
        )
        reading.on_members(members)
        found.append(reading)
    return found


def count_modes(
    found: list[PlatformReadPolicy], now: float
) -> Counter[ReadingMode]:
    return Counter(reading.mode(now) for reading in found)


class TestWatchers:
    def test_watchers_per_failure_domain_are_independent_of_size(self) -> None:
        for count in (60, FLEET_SIZE):
            found = make_readings(count)
            for reading in found:
                reading.on_peer_report(age_s=0, now=1)
            assert count_modes(found, 1)[ReadingMode.WATCH] == 18

    def test_ranking_is_independent_of_member_order(self) -> None:
        members = fleet(40)
        reversed_members = tuple(reversed(members))
        assert watchers_of('domain-1', members) == watchers_of(
            'domain-1', reversed_members
        )

    def test_a_leaving_or_suspected_watcher_is_replaced(self) -> None:
        members = fleet(60)
        first, second, third, fourth = watchers_of('domain-0', members)[:4]
        changed = tuple(
            evolve(each, state='leaving') if each.host == first else each
            for each in members
        )
        assert watchers_of('domain-0', changed, {second})[:2] == [third, fourth]


class TestSteppingIn:
    def test_listener_without_peer_messages_polls(self) -> None:
        reading = make_readings(60)[-1]
        reading.rank = 9
        reading.on_peer_report(age_s=0, now=1)
        assert reading.mode(2) is ReadingMode.LISTEN
        assert reading.mode(8) is ReadingMode.POLL

    def test_other_ranks_take_over_when_all_watchers_hang(self) -> None:
        """Changes must come into force when no watcher reaches the platform.

        Every watcher loses the platform but continues to exchange hello
        messages with its peers; the age of the last reading grows in all of
        them alike.
        """
        found = make_readings(600)
        for reading in found:
            reading.on_peer_report(age_s=0, now=0)
        polling = {}
        for now in range(1, 61):
            for reading in found:
                reading.on_peer_report(age_s=now, now=now)
            polling[now] = count_modes(found, now)[ReadingMode.POLL]
        assert polling[22] == 0
        assert polling[23] == 18
        assert list(polling.values()) == sorted(polling.values())

    def test_a_recent_reading_anywhere_ends_polling(self) -> None:
        found = make_readings(600)
        for reading in found:
            reading.on_peer_report(age_s=100, now=100)
        assert count_modes(found, 100)[ReadingMode.POLL] > 18
        for reading in found:
            reading.on_peer_report(age_s=1, now=101)
        assert count_modes(found, 101)[ReadingMode.POLL] == 0


class TestCallsAtFullSize:
    """Calls are bounded when all 2,140 processes act at once."""

    def test_polls_while_all_peers_are_silent(self) -> None:
        """A network failure must not make all processes poll at once.

        If each process polled as soon as its peers are silent, 1,000 calls and
        more would fall into one second.
        """
        calls = count_polls(make_readings(FLEET_SIZE), fails=False)
        assert max(calls.values()) < MAX_CALLS_PER_S

    def test_polls_while_the_platform_is_down(self) -> None:
        calls = count_polls(make_readings(FLEET_SIZE), fails=True)
        assert max(calls.values()) < MAX_CALLS_PER_S

    def test_simultaneous_start_while_the_platform_is_down(self) -> None:
        """Each waits for a random part of `poll_s`, and longer at each retry."""
        random = Random(3)
        calls: Counter[int] = Counter()
        for reading in make_readings(FLEET_SIZE):
            now = random.uniform(0, POLL_S)
            while now < 60:
                calls[int(now)] += 1
                reading.on_failed()
                now += reading.start_pause_s(POLL_S, random)
        assert max(calls.values()) < MAX_CALLS_PER_S

    def test_a_watcher_retries_soon(self) -> None:
        reading = make_readings(60)[0]
        reading.on_failed()
        assert reading.retry_pause_s(POLL_S, Random(1)) <= 1
        for _ in range(20):
            reading.on_failed()
        assert reading.retry_pause_s(POLL_S, Random(1)) <= POLL_S * 8


def count_polls(
    found: list[PlatformReadPolicy], *, fails: bool
) -> Counter[int]:
    """Start polling both sources everywhere at once; return calls by second."""
    random = Random(1)
    calls: Counter[int] = Counter()
    for reading in found:
        for _ in range(SOURCES):
            reading.failures = 0
            now = reading.first_poll_s(POLL_S, random)
            while now < 120:
                calls[int(now)] += 1
                reading.failures += fails
                now += reading.poll_pause_s(POLL_S, random)
    return calls
