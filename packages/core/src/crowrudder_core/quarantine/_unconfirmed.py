"""Closed connections, until it is known whether the upstream ended."""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

from crowrudder_core.quarantine._suspect import FRESH_RUN_S, End

ALIVE_AFTER_S = 0.5
"""An upstream known to be alive this long after a close has its runs cleared.

An agent reports that its engine is gone after two reads without an answer."""

UNCONFIRMED_END_S = 6.0
"""How long a close of unknown cause is retained; the record of an upstream
that ended expires within this time."""


@frozen
class _ClosedRun:
    digest: int
    end: End
    is_answered: bool


@define
class UnconfirmedEnds:
    """Runs that ended with their connection, by upstream incarnation.

    A reset, a truncated answer and a crash look alike to an entry, and so do a
    crash and the end of an answer that only its connection delimits. Only the
    end of the upstream itself counts against the requests that it ran; only an
    upstream that outlives it proves that a run was completed.
    """

    _closed_runs: dict[str, deque[_ClosedRun]] = field(factory=dict)

    def on_connection_closed(
        self,
        digest: int,
        incarnation: str,
        *,
        ran_s: float,
        now: float,
        is_answered: bool = False,
        is_trial: bool = False,
    ) -> None:
        """Record a run whose connection the upstream closed.

        ``is_answered`` is set if its answer may be whole, ``is_trial`` if the
        request ran in spite of its quarantine.
        """
        self._forget(now)
        end = End(now, is_fresh=ran_s <= FRESH_RUN_S, is_trial=is_trial)
        self._closed_runs.setdefault(incarnation, deque()).append(
            _ClosedRun(digest, end, is_answered)
        )

    def on_ended(
        self, incarnation: str, *, now: float
    ) -> list[tuple[int, End]]:
        """Remove an ended incarnation; return the requests that it ran."""
        self._forget(now)
        closed_runs = self._closed_runs.pop(incarnation, deque())
        return [(each.digest, each.end) for each in closed_runs]

    def on_upstream_alive(self, incarnation: str, *, as_of: float) -> set[int]:
        """Record that an upstream incarnation is alive, and clear its runs.

        Return the answered requests among those that it has outlived.
        """
        closed_runs = self._closed_runs.get(incarnation)
        if not closed_runs:
            return set()
        cleared = _pop_before(closed_runs, as_of - ALIVE_AFTER_S)
        if not closed_runs:
            self._closed_runs.pop(incarnation)
        return {each.digest for each in cleared if each.is_answered}

    def ended_incarnations(self, digest: int, *, now: float) -> set[str]:
        """Return the incarnations that may have ended under a request."""
        if not self._closed_runs:
            return set()
        self._forget(now)
        return {
            incarnation
            for incarnation, closed_runs in self._closed_runs.items()
            if any(
                each.digest == digest and not each.is_answered
                for each in closed_runs
            )
        }

    def has_closed(self, digest: int, *, now: float) -> bool:
        """Return whether a request has a closed run of unknown cause."""
        self._forget(now)
        return any(
            each.digest == digest
            for closed_runs in self._closed_runs.values()
            for each in closed_runs
        )

    def _forget(self, now: float) -> None:
        for incarnation, closed_runs in list(self._closed_runs.items()):
            _pop_before(closed_runs, now - UNCONFIRMED_END_S)
            if not closed_runs:
                self._closed_runs.pop(incarnation)


def _pop_before(closed_runs: deque[_ClosedRun], at: float) -> list[_ClosedRun]:
    """Remove and return the runs that closed before a time."""
    popped: list[_ClosedRun] = []
    while closed_runs and closed_runs[0].end.at < at:
        popped.append(closed_runs.popleft())
    return popped
