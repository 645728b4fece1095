"""An entry's state of one agent and the cost estimates based on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from crowrudder_model.messages import CapacityReply, Report

SLOW_START_S = 8.0
"""Time for which a new agent gets less than its share."""

SLOW_START_FACTOR = 2.0
MIN_STALL_S = 2.0
STALL_RUN_TIMES = 4.0
"""An upstream has stalled after this many mean run times without output."""

STALLED_COST_FACTOR = 50.0
OCCUPANCY_WEIGHT = 1.0
MIN_SLOWNESS = 1.5
"""Pace differences below this ratio are treated as noise."""

MAX_SLOWNESS = 8.0
FAILURE_COST_FACTOR = 40.0
FAILURE_EWMA_WEIGHT = 0.3
FAILURE_HALF_LIFE_S = 3.0
"""Half-life of the weight of failed runs."""

FIRST_PIECE_EWMA_WEIGHT = 0.2


@define(kw_only=True)
class AgentState:
    """One incarnation of an agent, as seen from this entry.

    ``outstanding`` counts the attempts that this entry has sent and that
    haven't ended yet.
    """

    report: Report
    since: float = 0
    linked: bool = True
    outstanding: int = 0
    suspected_until: float = 0
    first_piece_s: float = 0
    failure_share: float = 0
    failed_at: float = 0

    def on_report(self, report: Report, *, now: float) -> None:
        """Apply a newer report of the same incarnation."""
        if report.version != self.report.version:
            self.since = now
        self.report = report
        self.linked = True

    def on_first_piece(self, took_s: float) -> None:
        """Record a time from start permit to first piece."""
        weight = FIRST_PIECE_EWMA_WEIGHT if self.first_piece_s else 1
        self.first_piece_s += weight * (took_s - self.first_piece_s)

    def on_outcome(self, *, failed: bool, now: float) -> None:
        """Record whether a run failed.

        An upstream that fails immediately always has free slots. Without this
        penalty it would attract most requests, and answers would fail that
        other upstreams could give.
        """
        share = self._decayed_failure_share(now)
        self.failure_share = share + FAILURE_EWMA_WEIGHT * (failed - share)
        self.failed_at = now

    @property
    def load(self) -> int:
        """Attempts that wait or run there.

        The report lags, so only the attempts of other entries are taken from
        it; those of this entry are known as of now.
        """
        report = self.report
        others = max(report.running + report.queued - report.yours, 0)
        return others + self.outstanding

    @property
    def stalled(self) -> bool:
        """Whether the upstream accepts work and produces no output."""
        limit_s = max(MIN_STALL_S, STALL_RUN_TIMES * self.report.service_s)
        return self.report.silent_s > limit_s

    def cost(self, *, pace_s: float, now: float) -> float:
        """Return the cost of one more attempt: its end, in mean run times.

        A full batch runs its attempts side by side, so an attempt in a free
        slot of a slow agent still ends late. Occupancy adds a little to the
        cost, as the report lags and other entries send at the same time.

        Parameters
        ----------
        pace_s
            The median pace of the service's agents, in seconds per piece.
        """
        slots = max(self.report.slots, 1)
        queued_batches = max(self.load + 1 - slots, 0) / slots
        occupancy = (self.load + 1) / slots
        return (
            1 + queued_batches + OCCUPANCY_WEIGHT * occupancy
        ) * self._cost_factor(pace_s, now)

    def end_s(
        self,
        reply: CapacityReply,
        *,
        pace_s: float,
        service_s: float,
        now: float,
    ) -> float:
        """Estimate the end of one more attempt from the agent's reply."""
        slowness = self._slowness(pace_s) * self._failure_factor(now)
        occupancy_cost = OCCUPANCY_WEIGHT * reply.filled
        return reply.wait_s + service_s * (slowness + occupancy_cost)

    def wait_s(self, *, pace_s: float) -> float:
        """Return the seconds until one more attempt would get a slot."""
        slots = max(self.report.slots, 1)
        ahead = max(self.load + 1 - slots, 0)
        return ahead / slots * self.report.service_s * self._slowness(pace_s)

    def _cost_factor(self, pace_s: float, now: float) -> float:
        factor = self._slowness(pace_s) * self._failure_factor(now)
        if self.stalled:
            factor *= STALLED_COST_FACTOR
        age = (now - self.since) / SLOW_START_S
        if age < 1:
            factor *= 1 + SLOW_START_FACTOR * (1 - age)
        return factor

    def _failure_factor(self, now: float) -> float:
        return 1 + FAILURE_COST_FACTOR * self._decayed_failure_share(now)

    def _decayed_failure_share(self, now: float) -> float:
        """Return the share of failed runs, which decays without new ones."""
        half_lives = max(now - self.failed_at, 0) / FAILURE_HALF_LIFE_S
        return self.failure_share * 0.5**half_lives

    def _slowness(self, pace_s: float) -> float:
        if not pace_s or not self.report.pace_s:
            return 1
        slowness = self.report.pace_s / pace_s
        if slowness < MIN_SLOWNESS:
            return 1
        return min(slowness, MAX_SLOWNESS)
