"""Closed connections, until it is known whether the upstream ended."""

from __future__ import annotations

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


@define
class UnconfirmedEnds:
    """Interrupted runs by upstream incarnation.

    A reset, a truncated answer and a crash look alike to an entry. Only the
    end of the upstream itself counts against the requests that it ran.
    """

    _closed_runs: dict[str, list[_ClosedRun]] = field(factory=dict)

    def on_connection_closed(
        self, digest: int, incarnation: str, *, ran_s: float, now: float
    ) -> None:
        """Record a run whose connection the upstream closed."""
        self._forget(now)
        end = End(now, is_fresh=ran_s <= FRESH_RUN_S)
        self._closed_runs.setdefault(incarnation, []).append(
            _ClosedRun(digest, end)
        )

    def on_ended(
        self, incarnation: str, *, now: float
    ) -> list[tuple[int, End]]:
        """Remove an ended incarnation; return the requests that it ran."""
        self._forget(now)
        closed_runs = self._closed_runs.pop(incarnation, [])
        return [(each.digest, each.end) for each in closed_runs]

    def on_upstream_alive(self, incarnation: str, *, as_of: float) -> None:
        """Record that an upstream incarnation is alive, and clear its runs."""
        closed_runs = self._closed_runs.get(incarnation)
        if not closed_runs:
            return
        latest = max(each.end.at for each in closed_runs)
        if as_of - latest > ALIVE_AFTER_S:
            self._closed_runs.pop(incarnation)

    def ended_incarnations(self, digest: int, *, now: float) -> set[str]:
        """Return the incarnations that may have ended under a request."""
        if not self._closed_runs:
            return set()
        self._forget(now)
        return {
            incarnation
            for incarnation, closed_runs in self._closed_runs.items()
            if any(each.digest == digest for each in closed_runs)
        }

    def _forget(self, now: float) -> None:
        remaining = {
            incarnation: [
                each
                for each in closed_runs
                if now - each.end.at < UNCONFIRMED_END_S
            ]
            for incarnation, closed_runs in self._closed_runs.items()
        }
        self._closed_runs = {
            incarnation: closed_runs
            for incarnation, closed_runs in remaining.items()
            if closed_runs
        }
