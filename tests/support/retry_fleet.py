"""Entries that share a retry budget, and what arrives at their service."""

from __future__ import annotations

import bisect
from typing import Any

from attrs import define, field

from crowrudder_core.limits import SharedRetryBudget
from crowrudder_core.membership import Roster
from crowrudder_model.messages import MemberStatus

RATIO = 0.2
EXTRA = 100.0
WINDOW_S = 10.0
STEP_S = 0.1
TRIES = 200
"""Retries that an entry tries to spend in one step: more than it may."""

SERVICE = 's'


def status(number: int, incarnation: str) -> MemberStatus:
    return MemberStatus(
        ip=f'10.0.0.{number}',
        role='entry',
        incarnation=incarnation,
        started_at=float(incarnation),
    )


@define
class RetryingEntry:
    """One incarnation of an entry."""

    roster: Roster
    knows_at: float
    budget: SharedRetryBudget = field(
        factory=lambda: SharedRetryBudget(
            share=RATIO, extra=EXTRA, window_s=WINDOW_S
        )
    )


@define
class RetryFleet:
    """Entries that retry as often as their budgets allow.

    Attributes
    ----------
    firsts, arrivals
        Times at which callers sent requests, and at which retries arrived.
    """

    count: int
    known_after_s: float = 0
    now: float = 1000.0
    firsts: list[float] = field(factory=list)
    arrivals: list[float] = field(factory=list)
    entries: list[RetryingEntry] = field(factory=list)
    held: dict[int, list[Any]] = field(factory=dict)
    starts: int = 0

    def __attrs_post_init__(self) -> None:
        self.entries = [self._start(number) for number in range(self.count)]

    def _start(self, number: int) -> RetryingEntry:
        self.starts += 1
        return RetryingEntry(
            Roster(status(number, str(self.starts))),
            self.now + self.known_after_s,
        )

    def restart(self, number: int) -> None:
        """Replace an entry; what it held is lost or arrives at once."""
        self.release(number)
        self.entries[number] = self._start(number)

    def hold(self, number: int) -> None:
        """Let nothing arrive that an entry sends, until it is released."""
        self.held.setdefault(number, [])

    def release(self, number: int) -> None:
        """Let all that is held arrive now."""
        for taken in self.held.pop(number, ()):
            self._arrive(number, taken)

    def _arrive(self, number: int, taken: Any) -> None:
        self.arrivals.append(self.now)
        self.entries[number].budget.on_arrived(taken, now=self.now)

    def send_first(self, number: int) -> None:
        """Count a request of a caller."""
        self.firsts.append(self.now)
        self.entries[number].budget.on_first(SERVICE, now=self.now)

    def retry(self, number: int, tries: int = TRIES) -> int:
        """Spend retries until one is refused; return how many were spent."""
        entry = self.entries[number]
        self._meet(number, entry)
        for spent in range(tries):
            taken = entry.budget.take(
                SERVICE,
                entry_share=entry.roster.budget_share(now=self.now),
                now=self.now,
            )
            if not taken:
                return spent
            held = self.held.get(number)
            if held is None:
                self._arrive(number, taken)
            else:
                held.append(taken)
        return tries

    def _meet(self, number: int, entry: RetryingEntry) -> None:
        for other, peer in enumerate(self.entries):
            if other != number and entry.knows_at <= self.now:
                entry.roster.on_status(peer.roster.own, 0, now=self.now)

    def run(self, duration_s: float, *, requests_per_step: int = 0) -> None:
        """Let all entries retry without end."""
        ends_at = self.now + duration_s
        while self.now < ends_at:
            self.now += STEP_S
            for number in range(self.count):
                for _ in range(requests_per_step):
                    self.send_first(number)
                self.retry(number)

    def run_without_failures(
        self, duration_s: float, *, requests_per_step: int = 0
    ) -> None:
        """Let requests come of which none is retried."""
        ends_at = self.now + duration_s
        while self.now < ends_at:
            self.now += STEP_S
            for number in range(self.count):
                self._meet(number, self.entries[number])
                for _ in range(requests_per_step):
                    self.send_first(number)

    def most_of_bound(self) -> float:
        """Return the most arrivals in any window, as a share of its bound."""
        self.arrivals.sort()
        return max(
            (self._share_of_bound(since) for since in self.arrivals),
            default=0,
        )

    def _share_of_bound(self, since: float) -> float:
        requests = max(
            _between(self.firsts, start, start + WINDOW_S)
            for start in (since, since - WINDOW_S / 2, since - WINDOW_S)
        )
        arrived = _between(self.arrivals, since, since + WINDOW_S)
        return arrived / (RATIO * requests + EXTRA)


def _between(times: list[float], since: float, until: float) -> int:
    return bisect.bisect_left(times, until) - bisect.bisect_left(times, since)
