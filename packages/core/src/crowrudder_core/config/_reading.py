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

SILENCE_S = 6.0
"""Without a word from any peer for so long, a process reads for itself."""

STALE_S = 20.0
"""Without a sign that anyone still reads the platform, others step in."""

STEP_S = 2.0
"""So much later the next three ranks of a failure domain step in."""

BACKOFF_FIRST_S = 0.5
"""Half of the first pause before a watch that failed is tried again."""

BACKOFF_MOST = 8
"""Longest pause after failures, as a multiple of the polling interval."""

POLL_SPREAD = 2.5
"""Polls of one source are so many polling intervals apart: there are two
sources, and all processes may poll at once."""

START_SPREAD = 1.25
"""The same for a start, which reads the members alone."""


class ReadingMode(enum.Enum):
    """How a process learns what the platform has."""

    WATCH = 'watch'
    POLL = 'poll'
    LISTEN = 'listen'


def watchers_of(
    domain: str,
    members: Iterable[Member],
    suspects: Collection[str] = (),
) -> list[str]:
    """Rank the hosts of a failure domain; the first ones watch."""
    hosts = (
        member.host
        for member in members
        if member.failure_domain == domain
        and member.state == 'live'
        and member.host not in suspects
    )
    return ranked(f'watch|{domain}', hosts)


@define
class PlatformReading:
    """Keep the platform's calls bounded, and the platform read.

    The platform takes a limited number of calls from the whole fleet; a watch
    by each process would put all their next calls into the second after a
    change. So few watch, and tell the rest. What goes wrong with that alone:
    the watchers of every domain die, hang, or lose the platform, and no change
    comes into force any more, though all hosts talk happily to each other. So
    each message between processes carries the age of the last reading that its
    sender knows of, and when it grows old everywhere, others step in by rank.

    Times are seconds of one monotonic clock.
    """

    host: str
    domain: str
    started_at: float
    heard_at: float = -math.inf
    read_at: float = -math.inf
    rank: int | None = None
    failures: int = 0

    def on_members(
        self,
        members: Iterable[Member],
        suspects: Collection[str] = (),
    ) -> None:
        """Find this host's rank in its failure domain."""
        order = watchers_of(self.domain, members, suspects)
        self.rank = order.index(self.host) if self.host in order else None

    def on_heard(self, age_s: float, now: float) -> None:
        """Take note of a peer's word, with the age of its last reading."""
        self.heard_at = now
        self.read_at = max(self.read_at, now - max(age_s, 0))

    def on_read(self, now: float) -> None:
        """Take note that the platform answered this process."""
        self.read_at = now
        self.failures = 0

    def on_failed(self) -> None:
        """Take note that the platform gave no answer."""
        self.failures += 1

    def age_s(self, now: float) -> float:
        """Give the age of the last reading that this process knows of."""
        return now - max(self.read_at, self.started_at)

    def mode(self, now: float) -> ReadingMode:
        """Tell how to read now."""
        if self.rank is not None and self.rank < WATCHERS:
            return ReadingMode.WATCH
        if now - self.heard_at > SILENCE_S:
            return ReadingMode.POLL
        behind = (self.rank or 0) // WATCHERS
        if self.age_s(now) > STALE_S + behind * STEP_S:
            return ReadingMode.POLL
        return ReadingMode.LISTEN

    def first_poll_s(self, poll_s: float, random: Random) -> float:
        """Give the time until the first poll of a source.

        A cut network silences all peers of all hosts at once. Without a first
        pause over the whole interval, each would call in the same second.
        """
        return POLL_SPREAD * poll_s * random.uniform(0, 1)

    def poll_pause_s(self, poll_s: float, random: Random) -> float:
        """Give the time from one poll of a source to the next."""
        factor = 1 << min(self.failures, BACKOFF_MOST)
        longest = poll_s * BACKOFF_MOST
        pause_s = min(POLL_SPREAD * poll_s * factor, longest)
        return pause_s * random.uniform(0.9, 1.1)

    def start_pause_s(self, poll_s: float, random: Random) -> float:
        """Give the time until a start that read no members tries again.

        It is longer than the interval over which all may have started, so
        that the second calls don't fall among the first ones.
        """
        tries = min(max(self.failures, 1), BACKOFF_MOST)
        pause_s = START_SPREAD * poll_s * tries
        return pause_s * random.uniform(0.9, 1.1)

    def retry_pause_s(self, poll_s: float, random: Random) -> float:
        """Give the time until a watch that failed is tried again."""
        factor = 1 << min(self.failures, BACKOFF_MOST)
        pause_s = min(BACKOFF_FIRST_S * factor, poll_s * BACKOFF_MOST)
        return pause_s * random.uniform(0.5, 1)
