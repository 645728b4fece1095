"""Distinguish the incarnations of an upstream that restarts under its name."""

from __future__ import annotations

from attrs import define

STALE_REPORT_S = 1.0
"""Greatest age at which a load report of an earlier incarnation may still
arrive: agents repeat theirs within 0.4 s, and relays forward none that is
older than 0.6 s."""


@define
class IncarnationTracker:
    """The newest known incarnation of an upstream.

    An upstream may restart under its name with nothing loaded. If the state of
    its earlier incarnation were applied to the new one, the new one would get
    requests that it refuses because it has no weights, or would be avoided for
    failures of the earlier one.

    Records arrive in the order of their publication. Load reports don't: one
    of the new incarnation may arrive before its record, and one of the old
    incarnation after it. A clock may have been set back between two starts, so
    the greater start time isn't always the later one.

    Parameters
    ----------
    started_ms
        Start of the newest incarnation, milliseconds since 1970; 0 if
        unknown.
    first_seen_at
        When it was first seen, seconds on the own clock.
    """

    started_ms: int = 0
    first_seen_at: float = 0
    _recorded_ms: int = 0

    def apply_record(self, started_ms: int, *, now: float) -> bool:
        """Apply a record; return whether it began a new incarnation."""
        has_changed = started_ms != self._recorded_ms
        self._recorded_ms = started_ms
        return has_changed and self._start_incarnation(started_ms, now)

    def apply_report(self, started_ms: int, *, as_of: float) -> bool:
        """Apply a load report; return whether it began a new incarnation."""
        return self.is_report_current(
            started_ms, as_of=as_of
        ) and self._start_incarnation(started_ms, as_of)

    def is_report_current(self, started_ms: int, *, as_of: float) -> bool:
        """Return whether a load report is not of an earlier incarnation.

        A report that doesn't name its incarnation counts as current.
        """
        if not started_ms or started_ms >= self.started_ms:
            return True
        return as_of > self.first_seen_at + STALE_REPORT_S

    @property
    def is_recorded(self) -> bool:
        """Whether the record in force may be of the newest incarnation."""
        return self._recorded_ms in {0, self.started_ms}

    def _start_incarnation(self, started_ms: int, now: float) -> bool:
        """Record a start; return False if it is known or the first of all."""
        if not started_ms or started_ms == self.started_ms:
            return False
        is_first = not self.started_ms
        self.started_ms = started_ms
        self.first_seen_at = now
        return not is_first
