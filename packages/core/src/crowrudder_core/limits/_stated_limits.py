"""The limits that upstreams state in their answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from attrs import define, field

from crowrudder_core.limits._shared_rate import SharedRate
from crowrudder_model.statements import LimitReport

if TYPE_CHECKING:
    from collections.abc import Iterable

NO_LIMIT = -1.0

REPEAT_INTERVAL_S = 2.0
"""A report that is newer by this much is sent on even if the limit is
unchanged. Otherwise entries that get no answers themselves would drop the
limit."""

CHANGE_RATIO = 0.1
"""Relative change of a limit from which on other entries are notified without
waiting for the repeat interval."""

MIN_SEND_INTERVAL_S = 0.3
"""Least time between two reports on one upstream, which may state another
limit in each answer."""

MAX_LIMITS = 1024
"""Most upstreams whose limits are kept."""

MAX_ID_CHARS = 64
_MS = 1000


class EntryShare(Protocol):
    """Returns this entry's share of an upstream's rate, 0 to 1."""

    def __call__(self, upstream_id: str, per_s: float) -> float:
        """Compute the share."""


@define
class _KnownLimit:
    rate: SharedRate
    sent_at: float = -math.inf
    sent_per_s: float = NO_LIMIT


@define
class StatedLimits:
    """The limits that upstreams stated to this entry or to others.

    Parameters
    ----------
    entry_share
        Returns this entry's share of an upstream's rate.
    """

    _entry_share: EntryShare
    _limits: dict[str, _KnownLimit] = field(factory=dict)

    def on_answer(
        self, upstream_id: str, per_s: float | None, *, now: float
    ) -> LimitReport | None:
        """Apply an answer's limit; return the report for other entries."""
        if per_s is None and upstream_id not in self._limits:
            return None
        report = LimitReport(
            upstream_id, NO_LIMIT if per_s is None else per_s, 0
        )
        return self.on_report(report, now=now)

    def on_report(
        self, report: LimitReport, *, now: float
    ) -> LimitReport | None:
        """Apply another entry's report; return it if it is to be sent on."""
        if not math.isfinite(report.per_s) or report.age_ms < 0:
            return None
        upstream_id = report.upstream_id[:MAX_ID_CHARS]
        known = self._limits.get(upstream_id)
        stated_at = now - report.age_ms / _MS
        if known is not None and stated_at <= known.rate.stated_at:
            return None
        if known is None:
            if report.per_s < 0 or not self._can_store_limit(now):
                return None
            known = _KnownLimit(
                SharedRate(per_s=report.per_s, stated_at=stated_at)
            )
            self._limits[upstream_id] = known
        known.rate.per_s, known.rate.stated_at = report.per_s, stated_at
        return report if self._should_send(known, now) else None

    def has_capacity(self, upstream_id: str, *, now: float) -> bool:
        """Return whether a request may be sent to an upstream now."""
        rate = self._rate(upstream_id, now)
        return rate is None or rate.has_capacity(now=now)

    def take(self, upstream_id: str, *, now: float) -> bool:
        """Spend a request; return whether the limit, if any, allows it."""
        rate = self._rate(upstream_id, now)
        return rate is None or rate.take(now=now)

    def wait_s(self, upstream_ids: Iterable[str], *, now: float) -> float:
        """Return the seconds until one of some upstreams accepts a request.

        Infinite where none of them has a limit that delays requests.
        """
        rates = [self._rate(upstream_id, now) for upstream_id in upstream_ids]
        waits = [rate.wait_s(now=now) for rate in rates if rate is not None]
        return min((wait for wait in waits if wait > 0), default=math.inf)

    def on_gone(self, upstream_id: str) -> None:
        """Remove an upstream whose incarnation has ended."""
        self._limits.pop(upstream_id, None)

    def _can_store_limit(self, now: float) -> bool:
        """Return whether one more limit can be kept."""
        if len(self._limits) >= MAX_LIMITS:
            self._limits = {
                upstream_id: known
                for upstream_id, known in self._limits.items()
                if known.rate.per_s >= 0 and not known.rate.is_expired(now)
            }
        return len(self._limits) < MAX_LIMITS

    def _rate(self, upstream_id: str, now: float) -> SharedRate | None:
        known = self._limits.get(upstream_id)
        if known is None or known.rate.per_s < 0:
            return None
        if known.rate.is_expired(now):
            del self._limits[upstream_id]
            return None
        share = self._entry_share(upstream_id, known.rate.per_s)
        known.rate.set_share(share, now=now)
        return known.rate

    def _should_send(self, known: _KnownLimit, now: float) -> bool:
        """Return whether to notify other entries; record it if so."""
        since_s = now - known.sent_at
        before, per_s = known.sent_per_s, known.rate.per_s
        has_changed = (before < 0) != (per_s < 0)
        has_changed |= abs(per_s - before) > CHANGE_RATIO * max(
            abs(before), CHANGE_RATIO
        )
        if since_s < (
            MIN_SEND_INTERVAL_S if has_changed else REPEAT_INTERVAL_S
        ):
            return False
        known.sent_at, known.sent_per_s = now, per_s
        return True
