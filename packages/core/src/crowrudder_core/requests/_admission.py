"""Who gets a slot of the upstream next, and who can't be served in time."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, field, frozen

from crowrudder_core.requests._queue import AdmissionQueue, Waiting
from crowrudder_model.messages import AttemptKey

MEAN_WEIGHT = 0.1
RUN_MARGIN = 1.1
"""A run begins only where so many times its usual duration is left."""


@define
class RunEstimate:
    """Running means over the attempts that the upstream has run, in seconds.

    Example
    -------
    >>> estimate = RunEstimate()
    >>> estimate.on_ended(2.0, pieces=10)
    >>> estimate.run_s(tokens=5)
    1.0
    """

    service_s: float = field(default=0, init=False)
    """Time that one attempt holds a slot."""

    pace_s: float = field(default=0, init=False)
    """Time for one piece of an answer."""

    def on_ended(self, took_s: float, *, pieces: int) -> None:
        """Take the duration of a run."""
        self.service_s = _mean(self.service_s, took_s)
        if pieces:
            self.pace_s = _mean(self.pace_s, took_s / pieces)

    def run_s(self, *, tokens: int) -> float:
        """Estimate a run; ``tokens`` only bounds an answer, 0 for none."""
        if tokens <= 0:
            return self.service_s
        return min(self.service_s, tokens * self.pace_s)


@frozen
class Start:
    """A slot is free and this attempt's turn has come."""

    key: AttemptKey


@frozen
class Late:
    """The attempt can't end in time; a slot would be wasted on it."""

    key: AttemptKey


@define
class SlotAdmission:
    """The slots of one upstream, and the bounded queue before them.

    Invariant: at most `slots` attempts hold a slot.
    """

    slots: int
    queue: AdmissionQueue
    estimate: RunEstimate = field(factory=RunEstimate, init=False)
    _held: set[AttemptKey] = field(factory=set, init=False)

    @property
    def running(self) -> int:
        """Attempts that hold a slot."""
        return len(self._held)

    @property
    def queued(self) -> int:
        """Attempts that wait for one."""
        return len(self.queue)

    def attempts(self) -> Iterator[AttemptKey]:
        """Give all attempts that wait or hold a slot."""
        yield from self._held
        yield from self.queue.waiting

    def holds(self, key: AttemptKey) -> bool:
        """Tell whether an attempt holds a slot."""
        return key in self._held

    def in_time(self, item: Waiting, *, now: float) -> bool:
        """Tell whether an attempt that comes now can end in time."""
        wait_s = self.wait_s(item.customer, item.share)
        return now + wait_s + self._run_s(item) < item.deadline

    def add(self, item: Waiting) -> AttemptKey | None:
        """Let an attempt wait; give the one that a full queue drops."""
        return self.queue.push(item)

    def next(self, *, now: float) -> Start | Late | None:
        """Give the next step; None while all slots are taken or none waits."""
        if len(self._held) >= self.slots:
            return None
        item = self.queue.pop(now=now)
        if item is None:
            return None
        if now + self._run_s(item) >= item.deadline:
            return Late(item.key)
        self.queue.note_start(item, now=now)
        self._held.add(item.key)
        return Start(item.key)

    def leave(self, key: AttemptKey) -> None:
        """Take an attempt out of the queue or its slot."""
        self.queue.remove(key)
        self._held.discard(key)

    def wait_s(self, customer: str, share: float) -> float:
        """Estimate the seconds until a new attempt would get a slot."""
        free = self.slots - len(self._held)
        ahead = self.queue.ahead_of(customer, share)
        turns = max(ahead + 1 - free, 0) / self.slots
        return turns * self.estimate.service_s

    def _run_s(self, item: Waiting) -> float:
        """Give the time that must be left for a run to begin.

        An idle upstream is always tried: estimates only change by runs, and
        an old one from a busy time would refuse short deadlines for ever.
        """
        if not self._held:
            return 0
        return RUN_MARGIN * self.estimate.run_s(tokens=item.tokens)


def _mean(before: float, measured: float) -> float:
    weight = MEAN_WEIGHT if before else 1
    return before + weight * (measured - before)
