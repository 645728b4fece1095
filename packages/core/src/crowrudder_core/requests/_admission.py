"""Admission of attempts to the slots of an upstream, by share and deadline."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, field, frozen

from crowrudder_core.requests._queue import AdmissionQueue, Waiting
from crowrudder_model.messages import AttemptKey

SMOOTHING_FACTOR = 0.1
RUN_MARGIN_FACTOR = 1.1
"""A run starts only if more time is left than this multiple of its estimated
duration."""


@define
class RunEstimate:
    """Moving averages over the attempts that the upstream has run, in seconds.

    Example
    -------
    >>> estimate = RunEstimate()
    >>> estimate.on_ended(2.0, pieces=10)
    >>> estimate.run_s(tokens=5)
    1.0
    """

    service_s: float = field(default=0, init=False)
    """Mean time for which an attempt occupies a slot."""

    pace_s: float = field(default=0, init=False)
    """Mean time per piece of an answer."""

    def on_ended(self, duration_s: float, *, pieces: int) -> None:
        """Update the averages with the duration of a run."""
        self.service_s = _moving_average(self.service_s, duration_s)
        if pieces:
            self.pace_s = _moving_average(self.pace_s, duration_s / pieces)

    def run_s(self, *, tokens: int) -> float:
        """Estimate the duration of a run.

        ``tokens`` is only an upper bound of the answer's length, 0 for none.
        """
        if tokens <= 0:
            return self.service_s
        return min(self.service_s, tokens * self.pace_s)


@frozen
class Start:
    """The attempt got a free slot and starts."""

    key: AttemptKey


@frozen
class DeadlineUnreachable:
    """The attempt can't end before its deadline and gets no slot."""

    key: AttemptKey


@define
class SlotAdmission:
    """The slots of one upstream, with a bounded admission queue.

    Invariant: at most `slots` attempts hold a slot.
    """

    slots: int
    queue: AdmissionQueue
    estimate: RunEstimate = field(factory=RunEstimate, init=False)
    _running: set[AttemptKey] = field(factory=set, init=False)

    @property
    def running(self) -> int:
        """Number of attempts that occupy a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of attempts that wait for a slot."""
        return len(self.queue)

    def attempts(self) -> Iterator[AttemptKey]:
        """Yield all attempts that wait or occupy a slot."""
        yield from self._running
        yield from self.queue.waiting

    def holds(self, key: AttemptKey) -> bool:
        """Return whether an attempt occupies a slot."""
        return key in self._running

    def can_meet_deadline(self, item: Waiting, *, now: float) -> bool:
        """Return whether an attempt that arrives now can meet its deadline."""
        wait_s = self.wait_s(item.customer, item.share)
        return now + wait_s + self._run_s(item) < item.deadline

    def add(self, item: Waiting) -> AttemptKey | None:
        """Enqueue an attempt; return the one dropped from a full queue."""
        return self.queue.push(item)

    def next(self, *, now: float) -> Start | DeadlineUnreachable | None:
        """Return the next step; None if no slot is free or no attempt waits."""
        if len(self._running) >= self.slots:
            return None
        item = self.queue.pop(now=now)
        if item is None:
            return None
        if now + self._run_s(item) >= item.deadline:
            return DeadlineUnreachable(item.key)
        self.queue.record_start(item, now=now)
        self._running.add(item.key)
        return Start(item.key)

    def leave(self, key: AttemptKey) -> None:
        """Remove an attempt from the queue or from its slot."""
        self.queue.remove(key)
        self._running.discard(key)

    def wait_s(self, customer: str, share: float) -> float:
        """Estimate the seconds until a new attempt would get a slot."""
        free = self.slots - len(self._running)
        ahead = self.queue.ahead_of(customer, share)
        rounds = max(ahead + 1 - free, 0) / self.slots
        return rounds * self.estimate.service_s

    def _run_s(self, item: Waiting) -> float:
        """Return the time that must be left for a run to start.

        It is 0 for an idle upstream: estimates change only when an attempt
        runs, so an outdated high estimate would reject short deadlines forever.
        """
        if not self._running:
            return 0
        return RUN_MARGIN_FACTOR * self.estimate.run_s(tokens=item.tokens)


def _moving_average(before: float, measured: float) -> float:
    weight = SMOOTHING_FACTOR if before else 1
    return before + weight * (measured - before)
