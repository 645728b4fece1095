"""The aggregate that decides who watches the platform, and how."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

from attrs import define

from crowrudder_model import ranked, score

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

WATCHERS = 4
"""Entries that hold a watch at the platform.

Each call of a watch is paid for, and every change ends all of them. Fewer
would leave a fleet without news for the time that the others need to notice
that all watchers were turned away at once.
"""

GATHER_S = (0.15, 0.3, 0.6, 1.0)
"""Pause by rank between an answer with changes and the next watch.

Changes come in bursts, and those within the pause come with one answer. The
first watcher brings most of them, the others are there for when it is dead,
frozen or turned away: a change is then later by half of the two seconds in
which it has to be in force at the most.
"""

STEPPING_IN = 4
"""Entries that try in each turn while nobody hears the platform, in the mean.

What goes wrong when all of them try: calls grow with the fleet, in an outage
from which one that hears the platform again could tell all others.
"""

TURN_S = 0.8
"""For so long the same entries try, then others: those that try may just be
the hosts that the platform turns away."""

SILENT_S = 0.8
"""Without a word from the platform for so long, other entries try as well.

It is under half of the shortest time (2 s) in which operators want a change
in force, so that a second reader is in time.
"""

WATCH_WAIT_S = 2.0
"""How long a watch waits for news; an answer also shows that it lives."""

PROOF_S = 2.9
"""Longest time between two signs of a platform that works: a watch's wait,
and what its answer may take."""

RETURN_S = 3.0
"""For so long after the platform was away, what it shows may follow from that:
records that lapsed and come back, and changes of unknown age."""

UNINFORMED_S = 0.1
"""For so long after its start a process that doesn't watch waits for records
from others; they take some 0.05 s where others run."""

SPREAD_S = 0.1
"""Over so long such processes list that start together and hear nothing: the
first of them inform the others."""

JOINS_S = 0.2
"""After so long a new process that has met others knows most of them, and
whether it is a watcher."""

FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.8


_SCORES = 2.0**64


class StoreStep(enum.Enum):
    """What a process does next at the platform."""

    LIST = 'list'
    WATCH = 'watch'
    REST = 'rest'


@define
class StoreReading:
    """Keep the platform read by a few, and by everyone when they fail.

    What goes wrong otherwise: the platform turns a few hosts away and serves
    the rest; were these few the only readers, a change would be in force
    nowhere, while every process looks healthy. Each heartbeat therefore says
    how long ago its sender last knew the platform to be heard by anyone.

    Times are seconds of one clock.

    Parameters
    ----------
    is_reader
        Whether it may be a watcher; others read only where they know nobody
        who may.
    """

    own: str
    is_reader: bool = True
    rank: int = 0
    others: int = 0
    needs_list: bool = True
    failures: int = 0
    confirmed_at: float = -math.inf
    returned_at: float = -math.inf
    lists_at: float = math.inf
    joins_at: float = -math.inf
    started_at: float = -math.inf

    def on_start(self, now: float, *, lists_at_once: bool = False) -> None:
        """Leave the platform to others, unless nobody tells anything.

        What goes wrong when an agent waits for entries alone: all lose power,
        and the agents learn which version to load as late as the last of the
        first entries that all ask has started, seen as engines that stand
        still with whole weights beside them. After a power cut of one second
        agents knew of it 0.6 s later than they could read it themselves.
        """
        self.rank = WATCHERS
        self.started_at = now
        self.lists_at = now
        if not lists_at_once:
            part = score('start', self.own) / _SCORES
            self.lists_at += UNINFORMED_S + SPREAD_S * part
        self.joins_at = now + JOINS_S

    def on_informed(self) -> None:
        """Take note that records came, from whomever.

        They are complete up to their revision, so a watch can go on from it.
        """
        self.lists_at = math.inf
        self.needs_list = False

    def on_entries(self, names: Iterable[str]) -> None:
        """Find the own rank among the live entries."""
        others = set(names) - {self.own}
        self.others = len(others)
        if self.is_reader:
            order = ranked('watch', {*others, self.own})
            self.rank = order.index(self.own)

    def on_answer(self, now: float) -> None:
        """Take note that the platform answered this process."""
        self.failures = 0
        self._confirm(now, now)

    def on_peer(self, confirmed_s: float, now: float) -> None:
        """Take note of a peer's word on when the platform was last heard."""
        self._confirm(now - max(confirmed_s, 0), now)

    def on_failed(self) -> None:
        """Take note that the platform gave no proper answer."""
        self.failures += 1

    def on_forgotten(self) -> None:
        """Take note that the platform no longer has the changes asked for."""
        self.needs_list = True

    def on_listed(self) -> None:
        """Take note that everything was listed."""
        self.needs_list = False

    def unknown_age_s(self, now: float, *, is_informed: bool) -> float | None:
        """Give how old a change counts that came without its age.

        A list shows no times. What goes wrong when each change in it counts
        as an old one: a version is named while the platform is away, and on
        its return no engine may be used before it has loaded that version,
        seen as six seconds without a single answer. Nobody could know of the
        change meanwhile, so its time begins with the return; and without an
        absence a change is no older than the last sign of the platform.

        Parameters
        ----------
        is_informed
            Whether this process knew the records before. A new process can't
            tell what changed while it wasn't there: None.
        """
        if not is_informed:
            return None
        return 0 if now - self.returned_at < RETURN_S else PROOF_S

    def _confirm(self, at: float, now: float) -> None:
        if at - self.confirmed_at > PROOF_S:
            self.returned_at = now
        self.confirmed_at = max(self.confirmed_at, at)

    def confirmed_s(self, now: float) -> float:
        """Give how long ago anyone heard the platform; large for never."""
        return min(now - self.confirmed_at, 1.0e9)

    def is_current(self, now: float, within_s: float) -> bool:
        """Whether what is known can't be older than the bound allows.

        A process that was cut off for longer must not turn callers away by
        keys and routes that may have been added since.
        """
        return self.confirmed_s(now) <= within_s + WATCH_WAIT_S

    def step(self, now: float) -> StoreStep:
        """Tell what to do now."""
        if now >= self.lists_at and (not self.failures or self._is_drawn(now)):
            return StoreStep.LIST
        if self.others and now < self.joins_at:
            return StoreStep.REST
        if self.rank < WATCHERS or self._steps_in(now):
            return StoreStep.LIST if self.needs_list else StoreStep.WATCH
        return StoreStep.REST

    @property
    def gather_s(self) -> float:
        """The pause between an answer with changes and the next watch."""
        return GATHER_S[min(self.rank, WATCHERS - 1)]

    def _steps_in(self, now: float) -> bool:
        """Whether to try in place of watchers that don't hear the platform."""
        # A start is no sign of the platform: it isn't told to others as one.
        silent_s = now - max(self.confirmed_at, self.started_at)
        if silent_s < WATCH_WAIT_S + SILENT_S:
            return False
        if not self.is_reader:
            return not self.others
        return self._is_drawn(now)

    def _is_drawn(self, now: float) -> bool:
        """Whether this process is one of the few that try now.

        Each draws for itself, so that a bounded number of them do in the mean
        whatever they know of each other.
        """
        drawn = score(f'watch|{int(now / TURN_S)}', self.own) / _SCORES
        return drawn * (self.others + 1) < STEPPING_IN

    def pause_s(self, random: Random) -> float:
        """Give the time before the next try after a failure.

        Who isn't a watcher tries in place of others that have failed already.
        """
        longest = LONGEST_PAUSE_S
        if self.rank < WATCHERS:
            longest = min(FIRST_PAUSE_S * 2 ** min(self.failures, 6), longest)
        return longest * random.uniform(0.6, 1)
