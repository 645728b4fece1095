"""The aggregate that decides which processes read the platform, and when."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from attrs import define

from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from crowrudder_model import Member

WATCHERS = 3
"""Processes of a failure domain that hold a watch at the platform."""

PEER_SILENCE_TIMEOUT_S = 6.0
"""Time without a message from any peer after which a process polls."""

STALE_READ_S = 20.0
"""Age of the last read by any process above which others take over."""

RANK_GROUP_DELAY_S = 2.0
"""Additional delay until the next three ranks of a failure domain take over."""

BACKOFF_BASE_S = 0.5
"""Half of the first pause before a failed watch is retried."""

MAX_BACKOFF_FACTOR = 8
"""Longest pause after failures, as a multiple of the polling interval."""

POLL_INTERVAL_FACTOR = 2.5
"""Time between polls of one source in polling intervals: there are two sources,
and all processes may poll at once."""

START_RETRY_FACTOR = 1.25
"""The same factor for startup, which reads only the members."""


class ReadingMode(enum.Enum):
    """How a process learns about changes at the platform."""

    WATCH = 'watch'
    POLL = 'poll'
    LISTEN = 'listen'


def watchers_of(
    domain: str,
    members: Iterable[Member],
    suspects: Collection[str] = (),
) -> list[str]:
    """Rank the live hosts of a failure domain; the first ones watch."""
    hosts = (
        member.host
        for member in members
        if member.failure_domain == domain
        and member.state == 'live'
        and member.host not in suspects
    )
    return ranked(f'watch|{domain}', hosts)


@define
class PlatformReadPolicy:
    """Have the platform read regularly with a bounded number of calls.

    The platform accepts a limited number of calls from the whole fleet, and
    with a watch by each process all their next calls would fall into the
    second after a change. Therefore few processes watch and inform the rest.
    If the watchers of every domain die, hang, or can't reach the platform, no
    change would come into force any more, though all hosts communicate
    normally. Therefore each message between processes carries the age of the
    last read known to its sender, and when this age is high everywhere,
    others take over by rank.

    Times are seconds of one monotonic clock.
    """

    host: str
    domain: str
    started_at: float
    peer_seen_at: float = -math.inf
    read_at: float = -math.inf
    rank: int | None = None
    failures: int = 0

    def on_members(
        self,
        members: Iterable[Member],
        suspects: Collection[str] = (),
    ) -> None:
        """Compute this host's rank in its failure domain."""
        order = watchers_of(self.domain, members, suspects)
        self.rank = order.index(self.host) if self.host in order else None

    def on_peer_report(self, age_s: float, now: float) -> None:
        """Record a peer's message with the age of the last read it knows."""
        self.peer_seen_at = now
        self.read_at = max(self.read_at, now - max(age_s, 0))

    def on_read(self, now: float) -> None:
        """Record that the platform answered this process."""
        self.read_at = now
        self.failures = 0

    def on_failed(self) -> None:
        """Record that the platform gave no answer."""
        self.failures += 1

    def age_s(self, now: float) -> float:
        """Return the age of the last read known to this process."""
        return now - max(self.read_at, self.started_at)

    def mode(self, now: float) -> ReadingMode:
        """Return how to read now."""
        if self.rank is not None and self.rank < WATCHERS:
            return ReadingMode.WATCH
        if now - self.peer_seen_at > PEER_SILENCE_TIMEOUT_S:
            return ReadingMode.POLL
        rank_group = (self.rank or 0) // WATCHERS
        if self.age_s(now) > STALE_READ_S + rank_group * RANK_GROUP_DELAY_S:
            return ReadingMode.POLL
        return ReadingMode.LISTEN

    def first_poll_s(self, poll_s: float, random: Random) -> float:
        """Return the time until the first poll of a source.

        A network failure cuts off all peers of all hosts at once. Without a
        random first pause over the whole interval, all processes would call in
        the same second.
        """
        return POLL_INTERVAL_FACTOR * poll_s * random.uniform(0, 1)

    def poll_pause_s(self, poll_s: float, random: Random) -> float:
        """Return the time from one poll of a source to the next."""
        factor = 1 << min(self.failures, MAX_BACKOFF_FACTOR)
        longest = poll_s * MAX_BACKOFF_FACTOR
        pause_s = min(POLL_INTERVAL_FACTOR * poll_s * factor, longest)
        return pause_s * random.uniform(0.9, 1.1)

    def start_pause_s(self, poll_s: float, random: Random) -> float:
        """Return the time until a startup without members retries.

        It is longer than the interval over which all processes may have
        started, so that second calls don't overlap with first ones.
        """
        tries = min(max(self.failures, 1), MAX_BACKOFF_FACTOR)
        pause_s = START_RETRY_FACTOR * poll_s * tries
        return pause_s * random.uniform(0.9, 1.1)

    def retry_pause_s(self, poll_s: float, random: Random) -> float:
        """Return the time until a failed watch is retried."""
        factor = 1 << min(self.failures, MAX_BACKOFF_FACTOR)
        pause_s = min(BACKOFF_BASE_S * factor, poll_s * MAX_BACKOFF_FACTOR)
        return pause_s * random.uniform(0.5, 1)
