"""Suspicion record of a request, or a part, under which upstreams ended."""

from __future__ import annotations

import math

from attrs import define, evolve, field, frozen

from crowrudder_model.messages import IncarnationEnd, SuspicionReport

QUARANTINE_THRESHOLD = 3.0
"""Total weight of ends from which a request is quarantined."""

SHARING_THRESHOLD = 2.0
"""Total weight from which all entries are notified, not only the owners."""

FRESH_RUN_S = 0.5
"""Maximum duration of a fresh run. A run that produced events for longer
before its upstream ended is less likely to be the cause."""

LATE_END_WEIGHT = 0.5
"""Weight of the end of an upstream during a run that wasn't fresh."""

COMPLETED_RUN_WINDOW_S = 10.0
"""A completed run clears ends up to this time after it."""

SUSPICION_S = 120.0
"""How long ends count that don't lead to quarantine."""

QUARANTINE_S = 600.0
"""How long quarantine lasts after the last end or the last refusal, whichever
is later."""

MAX_ENDS = 8
"""Maximum number of ends per request; six of the lowest weight suffice for
quarantine."""

CONFIRM_AFTER_S = 1.0
"""Time after the last end before an owner lets a request run that no trial has
confirmed: the ends of one power failure are known by then."""

CONFIRM_ANYWHERE_AFTER_S = 4.0
"""The same for any other entry, as no caller may come to the owner. The time counts
from the last trial as well, which is told to all entries."""

TRIAL_AFTER_S = 8.0
"""Time after the last end, or trial, before a quarantined request is let run
once: a harmless one is back within seconds."""

TRIAL_BACKOFF = 5.0
"""Factor of that time after each trial. One that is to blame ends an upstream
with each: two in its first minute."""

MAX_TRIALS = 6
"""Limit of the counted trials: the next one would come after a day."""

MAX_INCARNATION_CHARS = 64
_MS = 1000


@frozen
class End:
    """End of an upstream incarnation under a request.

    ``is_fresh`` is set if the run had just started, ``is_trial`` if it was let
    run in spite of its quarantine, alone in the fleet.
    """

    at: float
    is_fresh: bool
    is_trial: bool = False

    @property
    def weight(self) -> float:
        """Contribution to the suspicion of the request, at most 1."""
        return 1 if self.is_fresh else LATE_END_WEIGHT


@define
class Suspect:
    """Ends of upstreams under one request, and its last completed run.

    Merging records of one request is commutative and idempotent, so that
    reports may be lost, delayed or repeated.
    """

    ends: dict[str, End] = field(factory=dict)
    completed_at: float = -math.inf
    refused_at: float = -math.inf
    tried_at: float = -math.inf
    trials: int = 0

    @property
    def weight(self) -> float:
        """Total weight of the ends that count against the request."""
        return self.weight_without(set())

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is quarantined."""
        return self.weight >= QUARANTINE_THRESHOLD

    @property
    def evidence(self) -> tuple[float, int]:
        """The weight, and how many upstreams ended under trials."""
        return self.weight, len(self.trial_incarnations)

    @property
    def counted_incarnations(self) -> set[str]:
        """The ended incarnations that count against the request."""
        return {
            incarnation
            for incarnation, end in self.ends.items()
            if self._counts(end)
        }

    @property
    def trial_incarnations(self) -> set[str]:
        """The incarnations that ended under trials of the request.

        Ends by several causes add up under a request that many callers send:
        it runs on each of those upstreams. A trial tells it from the cause.
        """
        return {
            incarnation
            for incarnation, end in self.ends.items()
            if end.is_trial and self._counts(end)
        }

    def weight_without(self, incarnations: set[str]) -> float:
        """Return the weight of the ends of all but some incarnations."""
        return sum(
            end.weight
            for incarnation, end in self.ends.items()
            if self._counts(end) and incarnation not in incarnations
        )

    def is_expired(self, now: float) -> bool:
        """Return whether nothing in the record counts any more."""
        last = self._last_end_at()
        if self.is_quarantined:
            return now - max(last, self.refused_at) > QUARANTINE_S
        return now - last > SUSPICION_S

    def is_trial_due(self, now: float) -> bool:
        """Return whether a quarantined request may be let run once."""
        trials = self.trials + len(self.trial_incarnations)
        since = max(self._last_end_at(), self.tried_at)
        return now - since >= TRIAL_AFTER_S * TRIAL_BACKOFF**trials

    def may_be_confirmed(self, now: float, *, is_owner: bool) -> bool:
        """Return whether an entry may let a request run that isn't confirmed."""
        if is_owner:
            return now - self._last_end_at() >= CONFIRM_AFTER_S
        since = max(self._last_end_at(), self.tried_at)
        return now - since >= CONFIRM_ANYWHERE_AFTER_S

    def on_confirming_trial(self, now: float) -> None:
        """Record that a request is let run that isn't confirmed yet."""
        self.tried_at = now

    def on_trial(self, now: float) -> None:
        """Record that a quarantined request is let run."""
        self.tried_at = now
        self.trials = min(self.trials + 1, MAX_TRIALS)

    def on_end(self, incarnation: str, end: End) -> bool:
        """Record the end of an upstream; return whether it is new."""
        known = self.ends.get(incarnation)
        if known is None:
            is_new = len(self.ends) < MAX_ENDS or end.is_trial
        else:
            end = evolve(
                end,
                is_fresh=end.is_fresh or known.is_fresh,
                is_trial=end.is_trial or known.is_trial,
            )
            is_new = evolve(end, at=known.at) != known
        if is_new:
            self.ends[incarnation] = end
        return is_new

    def on_run_completed(self, at: float) -> None:
        """Record a completed run and drop the ends that it clears."""
        self.completed_at = max(self.completed_at, at)
        self.ends = {
            incarnation: end
            for incarnation, end in self.ends.items()
            if end.at > self.completed_at + COMPLETED_RUN_WINDOW_S
        }

    def on_report(self, report: SuspicionReport, *, now: float) -> bool:
        """Merge another entry's report; return whether the evidence changed."""
        before = self.evidence
        if report.refused_ms >= 0:
            refused_at = now - report.refused_ms / _MS
            self.refused_at = max(self.refused_at, refused_at)
        if report.tried_ms >= 0:
            self.tried_at = max(self.tried_at, now - report.tried_ms / _MS)
        self.trials = min(max(self.trials, report.trials), MAX_TRIALS)
        for received in report.ends[:MAX_ENDS]:
            if 0 <= received.ended_ms <= QUARANTINE_S * _MS:
                end = End(
                    now - received.ended_ms / _MS,
                    received.is_fresh,
                    received.is_trial,
                )
                self.on_end(received.incarnation[:MAX_INCARNATION_CHARS], end)
        if report.completed_ms >= 0:
            self.on_run_completed(now - report.completed_ms / _MS)
        return self.evidence != before

    def report(self, digest: int, *, now: float) -> SuspicionReport:
        """Return the report for other entries."""
        # Older entries read the first `MAX_ENDS` only.
        by_trial = sorted(
            self.ends.items(), key=lambda each: not each[1].is_trial
        )
        ends = tuple(
            IncarnationEnd(
                incarnation, _age_ms(end.at, now), end.is_fresh, end.is_trial
            )
            for incarnation, end in by_trial[:MAX_ENDS]
        )
        return SuspicionReport(
            digest=digest,
            ends=ends,
            completed_ms=_age_ms(self.completed_at, now),
            refused_ms=_age_ms(self.refused_at, now),
            tried_ms=_age_ms(self.tried_at, now),
            trials=self.trials,
        )

    def _last_end_at(self) -> float:
        counted = filter(self._counts, self.ends.values())
        return max((end.at for end in counted), default=-math.inf)

    def _counts(self, end: End) -> bool:
        return end.at > self.completed_at + COMPLETED_RUN_WINDOW_S


def _age_ms(at: float, now: float) -> int:
    return int((now - at) * _MS) if math.isfinite(at) else -1
