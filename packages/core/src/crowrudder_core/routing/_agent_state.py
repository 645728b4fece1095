"""What an entry knows of one agent, and what it expects of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from crowrudder_model.messages import Report, RoomReply

SLOW_START_S = 8.0
"""Seconds in which a fresh agent is given less than its share."""

SLOW_START_FACTOR = 2.0
STALL_FLOOR_S = 2.0
STALL_RUNS = 4.0
"""An upstream is stalled after so many mean run times without a sign."""

STALLED_FACTOR = 50.0
FILL_WEIGHT = 1.0
SLOW = 1.5
"""Below this, a difference of pace is taken for chance."""

MOST_PACE = 8.0
FAILED_FACTOR = 40.0
FAILED_WEIGHT = 0.3
FAILED_HALF_S = 3.0
"""Seconds in which half of the caution after failed runs is gone."""

WEIGHT = 0.2


@define(kw_only=True)
class AgentState:
    """One incarnation of an agent, as seen from this entry.

    ``outstanding`` counts what this entry has sent and not seen end.
    """

    report: Report
    since: float = 0
    linked: bool = True
    outstanding: int = 0
    suspected_until: float = 0
    first_piece_s: float = 0
    failed_share: float = 0
    failed_at: float = 0

    def on_report(self, report: Report, *, now: float) -> None:
        """Take a newer report of the same incarnation."""
        if report.version != self.report.version:
            self.since = now
        self.report = report
        self.linked = True

    def on_first_piece(self, took_s: float) -> None:
        """Take a time from permit to first piece."""
        weight = WEIGHT if self.first_piece_s else 1
        self.first_piece_s += weight * (took_s - self.first_piece_s)

    def on_outcome(self, *, failed: bool, now: float) -> None:
        """Take what a run came to.

        An upstream that fails at once is always free. Without this it would
        draw most requests, seen as answers that fail while others would run.
        """
        share = self._failing(now)
        self.failed_share = share + FAILED_WEIGHT * (failed - share)
        self.failed_at = now

    @property
    def load(self) -> int:
        """Attempts that wait or run there.

        The report is late, so it counts only for what others have sent; what
        this entry has sent itself it knows as of now.
        """
        report = self.report
        others = max(report.running + report.queued - report.yours, 0)
        return others + self.outstanding

    @property
    def stalled(self) -> bool:
        """Whether the upstream accepts work and gives nothing back."""
        limit_s = max(STALL_FLOOR_S, STALL_RUNS * self.report.service_s)
        return self.report.silent_s > limit_s

    def cost(self, *, pace_s: float, now: float) -> float:
        """Weigh one more attempt: its end, in usual run times.

        A full batch runs its attempts side by side, so a free slot at a slow
        agent still ends late. How full the agent is counts a little as well,
        as the report is late and others send at the same time.

        Parameters
        ----------
        pace_s
            The mean pace over the agents of the service, in seconds a piece.
        """
        slots = max(self.report.slots, 1)
        waves = max(self.load + 1 - slots, 0) / slots
        filled = (self.load + 1) / slots
        return (1 + waves + FILL_WEIGHT * filled) * self._factor(pace_s, now)

    def end_s(
        self,
        room: RoomReply,
        *,
        pace_s: float,
        service_s: float,
        now: float,
    ) -> float:
        """Estimate the end of one more attempt from the agent's own word."""
        slowness = self._slowness(pace_s) * self._caution(now)
        full = FILL_WEIGHT * room.filled
        return room.wait_s + service_s * (slowness + full)

    def wait_s(self, *, pace_s: float) -> float:
        """Give the seconds until one more attempt would get a slot."""
        slots = max(self.report.slots, 1)
        ahead = max(self.load + 1 - slots, 0)
        return ahead / slots * self.report.service_s * self._slowness(pace_s)

    def _factor(self, pace_s: float, now: float) -> float:
        factor = self._slowness(pace_s) * self._caution(now)
        if self.stalled:
            factor *= STALLED_FACTOR
        age = (now - self.since) / SLOW_START_S
        if age < 1:
            factor *= 1 + SLOW_START_FACTOR * (1 - age)
        return factor

    def _caution(self, now: float) -> float:
        return 1 + FAILED_FACTOR * self._failing(now)

    def _failing(self, now: float) -> float:
        """Give the share of failed runs, which fades while none is seen."""
        halves = max(now - self.failed_at, 0) / FAILED_HALF_S
        return self.failed_share * 0.5**halves

    def _slowness(self, pace_s: float) -> float:
        if not pace_s or not self.report.pace_s:
            return 1
        slowness = self.report.pace_s / pace_s
        if slowness < SLOW:
            return 1
        return min(slowness, MOST_PACE)
