"""The aggregate that decides when a process lists or watches the platform."""

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

Each watch call has a cost, and every change ends all watches. With fewer
watchers, a fleet whose watchers are all refused at once would receive no
updates until the other entries detect that.
"""

BATCH_PAUSES_S = (0.15, 0.3, 0.6, 1.0)
"""Longest pause by rank between an answer with changes and the next watch.

Changes come in bursts, and one answer returns all changes within the pause.
The first watcher fetches most of them; the others take over when it is dead,
paused or refused.
"""

BATCH_PAUSE_SHARE = 0.25
"""Longest pause as a share of the bound: the only watcher that hears changes
may be the last one."""

MEAN_FALLBACK_READERS = 4
"""Mean number of entries that try in each round while no process reaches the
platform.

If all entries tried, the calls during an outage would grow with the fleet,
although one entry that reaches the platform can inform all others.
"""

MAX_FALLBACK_ROUND_S = 0.8
FALLBACK_ROUND_SHARE = 0.2
"""Time until another sample of entries tries, as a share of the bound: the
platform may refuse exactly the hosts of the current sample."""

SILENCE_TIMEOUT_S = 0.8
"""Longest time after an overdue answer of the platform until other entries try
too."""

OVERDUE_SHARE = 0.7
"""Age of a confirmation as a share of the bound from which other entries try.
What is left of the bound is for two rounds of tries, a lost heartbeat and a
fetch."""

WATCH_WAIT_S = 2.0
"""Longest time that a watch waits for changes. An empty answer confirms that
the platform works."""

MAX_CONFIRMATION_GAP_S = 2.9
"""Longest time between two confirmations from a working platform: the wait of
a watch plus the time for its answer."""

RECOVERY_WINDOW_S = 3.0
"""Time after an outage of the platform in which its records may still show
effects of the outage: lapsed records that return, and changes of unknown
age."""

START_LIST_DELAY_S = 0.1
"""Time after its start that a process that doesn't watch waits for records
from others; they take about 0.05 s if other processes run."""

START_LIST_JITTER_S = 0.1
"""Interval over which such processes spread their first list if they start
together and receive nothing; the first ones inform the others."""

WATCH_START_DELAY_S = 0.2
"""Time after which a new process that has contact with others knows most of
them, and whether it is a watcher."""

MIN_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.8


_SCORE_RANGE = 2.0**64


class StoreStep(enum.Enum):
    """The next action of a process towards the platform."""

    LIST = 'list'
    WATCH = 'watch'
    IDLE = 'rest'


@define
class StoreReadPolicy:
    """Let a few processes read the platform, and others if these fail.

    The platform may refuse a few hosts and serve the rest. If the refused
    hosts were the only readers, a change would come into force nowhere, while
    every process looks healthy. Each heartbeat therefore carries a
    confirmation: the time at which the platform had nothing newer than the
    sender's records. It holds only for a process that has these records, or
    newer ones.

    Times are seconds of one clock.

    Parameters
    ----------
    is_reader
        Whether this process may be a watcher; a process that may not reads
        only if it knows no process that may.
    bound_s
        Time within which a change must be in force everywhere.
    """

    own: str
    is_reader: bool = True
    bound_s: float = math.inf
    rank: int = 0
    others: int = 0
    needs_list: bool = True
    failures: int = 0
    history_losses: int = 0
    staggers: bool = True
    confirmed_at: float = -math.inf
    confirmed_by: str = ''
    answered_at: float = -math.inf
    returned_at: float = -math.inf
    lists_at: float = math.inf
    joins_at: float = -math.inf
    started_at: float = -math.inf

    def on_start(self, now: float, *, lists_at_once: bool = False) -> None:
        """Start without reading the platform, and schedule a list as fallback.

        If an agent waited for entries alone, then after a power cut of the
        whole fleet it would learn which version to load only when the entries
        that all agents ask first have started; engines would stay idle though
        their weights are complete. After a power cut of one second, agents
        knew the version 0.6 s later than by reading it themselves.
        """
        self.rank = WATCHERS
        self.started_at = now
        self.lists_at = now
        if not lists_at_once:
            jitter = score('start', self.own) / _SCORE_RANGE
            self.lists_at += START_LIST_DELAY_S + START_LIST_JITTER_S * jitter
        self.joins_at = now + WATCH_START_DELAY_S

    def on_informed(self) -> None:
        """Record the arrival of published records from any source.

        They are complete up to their revision, so a watch can start there.
        """
        self.lists_at = math.inf
        self.needs_list = False

    def on_entries(self, names: Iterable[str]) -> None:
        """Compute the rank of this process among the live entries."""
        others = set(names) - {self.own}
        self.others = len(others)
        if self.is_reader:
            order = ranked('watch', {*others, self.own})
            self.rank = order.index(self.own)

    def on_answer(self, now: float) -> None:
        """Record that the platform answered this process."""
        self.failures = 0
        self._note_return(now, now)
        self.answered_at = now

    def on_confirmed(self, at: float, now: float, *, by: str = '') -> None:
        """Record that the platform had nothing newer at a time.

        Called only for a process that has the records that were confirmed.

        Parameters
        ----------
        by
            The peer that reports it, or the own call to the platform.
        """
        at = min(at, now)
        self._note_return(at, now)
        if at > self.confirmed_at:
            self.confirmed_at = at
            self.confirmed_by = by

    def _note_return(self, at: float, now: float) -> None:
        # An answer with changes is a sign of the platform, though it confirms
        # no more than its request.
        last_sign_at = max(self.confirmed_at, self.answered_at)
        if at - last_sign_at > MAX_CONFIRMATION_GAP_S:
            self.returned_at = now

    def on_failed(self) -> None:
        """Record that the platform gave no valid answer."""
        self.failures += 1

    def on_history_lost(self) -> None:
        """Record that the platform doesn't have the requested changes."""
        self.needs_list = True
        self.history_losses += 1

    def on_watched(self, *, has_changes: bool) -> None:
        """Record that the platform's answer continues the known records.

        Changes end all watches at the same time.
        """
        self.history_losses = 0
        self.staggers = has_changes

    def on_listed(self) -> None:
        """Record a complete list."""
        self.needs_list = False

    def unknown_age_s(self, now: float, *, is_informed: bool) -> float | None:
        """Return the assumed age of a change that arrived without one.

        A list has no times. If each change in it counted as old, a version
        that is named during an outage of the platform would, when the platform
        is back, exclude every engine that hasn't loaded it yet: no request was
        answered for six seconds. No process could know the change during the
        outage, so its age counts from the end of the outage. Without an
        outage, a change is no older than the last confirmation.

        Parameters
        ----------
        is_informed
            Whether this process knew the records before. A new process can't
            tell what changed before its start; the result is None.
        """
        if not is_informed:
            return None
        return (
            0
            if now - self.returned_at < RECOVERY_WINDOW_S
            else MAX_CONFIRMATION_GAP_S
        )

    def confirmed_s(self, now: float) -> float:
        """Return the age of the last confirmation; a large value for none."""
        return min(now - self.confirmed_at, 1.0e9)

    def is_current(self, now: float, within_s: float) -> bool:
        """Return whether the known records are recent enough.

        A process that was disconnected for longer must not reject requests
        because of missing keys or routes that may have been added since.
        """
        return self.confirmed_s(now) <= within_s

    def due_in_s(self, now: float) -> float:
        """Return the time until an idle process may have to read."""
        overdue_at = self._last_sign_at + self._overdue_s
        return max(min(self.lists_at, overdue_at) - now, 0)

    def step(self, now: float) -> StoreStep:
        """Return the action to take now."""
        if now >= self.lists_at and (
            not self.failures or self._is_selected(now)
        ):
            return StoreStep.LIST
        if self.others and now < self.joins_at:
            return StoreStep.IDLE
        if self.rank < WATCHERS or self._takes_over(now):
            return StoreStep.LIST if self.needs_list else StoreStep.WATCH
        return StoreStep.IDLE

    def watch_wait_s(self, now: float) -> float:
        """Return how long the next watch waits for changes.

        After a failure it doesn't wait: the store may be back from a copy, and
        only its answer tells the era. A process that takes over doesn't
        either: nothing has been confirmed for too long.

        After changes the watchers wait for different times, so that their next
        confirmations are spread evenly.
        """
        if self.failures or self.rank >= WATCHERS or self._takes_over(now):
            return 0
        wait_s = min(WATCH_WAIT_S, self.bound_s)
        return wait_s * (self.rank + 1) / WATCHERS if self.staggers else wait_s

    @property
    def batch_pause_s(self) -> float:
        """Pause between an answer with changes and the next watch."""
        longest = BATCH_PAUSE_SHARE * self.bound_s
        return min(BATCH_PAUSES_S[min(self.rank, WATCHERS - 1)], longest)

    @property
    def _last_sign_at(self) -> float:
        # A start delays taking over, but it is no confirmation from the
        # platform and isn't reported to others as one.
        return max(self.confirmed_at, self.started_at)

    @property
    def _overdue_s(self) -> float:
        """Age of a confirmation from which other entries try."""
        return min(
            WATCH_WAIT_S + SILENCE_TIMEOUT_S, OVERDUE_SHARE * self.bound_s
        )

    def _takes_over(self, now: float) -> bool:
        """Return whether to read in place of watchers that get no answer."""
        if now - self._last_sign_at < self._overdue_s:
            return False
        if not self.is_reader:
            return not self.others
        return self._is_selected(now)

    def _is_selected(self, now: float) -> bool:
        """Return whether this process is one of the few that try now.

        Each process computes its own sample, so that the mean number of tries
        is bounded whatever the processes know of each other.
        """
        round_s = min(MAX_FALLBACK_ROUND_S, FALLBACK_ROUND_SHARE * self.bound_s)
        sample = score(f'watch|{int(now / round_s)}', self.own) / _SCORE_RANGE
        return sample * (self.others + 1) < MEAN_FALLBACK_READERS

    def pause_s(self, random: Random) -> float:
        """Return the time until the next try after a failure.

        A process that isn't a watcher always waits long: it tries only after
        the watchers have failed. A lost history is listed at once the first
        time. If it is lost again, the platform's lists and changes don't fit
        together, and it would be asked without a pause.
        """
        if not self.failures and self.history_losses == 1:
            return 0
        longest = MAX_RETRY_PAUSE_S
        if self.rank < WATCHERS and self.history_losses <= 1:
            longest = min(
                MIN_RETRY_PAUSE_S * 2 ** min(self.failures, 6), longest
            )
        return longest * random.uniform(0.6, 1)
