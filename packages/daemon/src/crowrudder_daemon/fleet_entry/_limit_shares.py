"""Shares of this entry in the rates that limited upstreams accept."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.limits import cold_quota, lone_cold_quota, senders_of
from crowrudder_core.membership import split_by_region
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.fleet_entry._forecast_table import ForecastTable

SENDERS_CACHE_S = 0.25
"""How long the share of a limited upstream is cached: computing who sends to it
takes time proportional to the number of entries."""

ALONE_S = 5.0
"""Time after its start from which on an entry counts as the only one if it has
heard of no other and its settings name none. Others name it then, and contact
it every 0.4 s."""


@define(eq=False)
class LimitShares:
    """Computes and caches the shares of the live entries.

    Parameters
    ----------
    table
        The forecasts of the listed upstreams.
    """

    _peers: PeersTask
    _table: ForecastTable
    _started_at: float = field(factory=clock_s)
    _shares: dict[str, tuple[float, float, float]] = field(factory=dict)
    _quotas: dict[str, tuple[int, float]] = field(factory=dict)

    def share_of(self, upstream_id: str, per_s: float) -> float:
        """Return this entry's share of an upstream's rate, 0 to 1."""
        now = clock_s()
        known = self._shares.get(upstream_id)
        if known is not None:
            share, for_per_s, at = known
            if for_per_s == per_s and now - at < SENDERS_CACHE_S:
                return share
        share = self._compute_share(upstream_id, per_s)
        self._shares[upstream_id] = (share, per_s, now)
        return share

    def quota_of(self, upstream_id: str, per_s: float) -> int:
        """Return the requests a second that a cold upstream takes from here."""
        now = clock_s()
        quota, at = self._quotas.get(upstream_id, (0, -math.inf))
        if now - at < SENDERS_CACHE_S:
            return quota
        quota = self._compute_quota(upstream_id, per_s)
        self._quotas[upstream_id] = (quota, now)
        return quota

    def is_occupied(self, upstream_id: str) -> bool:
        """Return whether a cold upstream may get no second request now.

        While this entry knows no other one, it sends one at a time.
        """
        forecast = self._table.by_id.get(upstream_id)
        return forecast is not None and forecast.own > 0 and self._is_lone()

    def remove(self, upstream_id: str) -> None:
        """Remove what is cached of an upstream without a record."""
        self._shares.pop(upstream_id, None)
        self._quotas.pop(upstream_id, None)

    def _compute_quota(self, upstream_id: str, per_s: float) -> int:
        own = self._peers.roster.own.ip
        if self._is_lone():
            entries = max(self._named_count(), self._table.host_count)
            return lone_cold_quota(own, upstream_id, per_s, entries=entries)
        near, far = split_by_region(
            self._peers.entries(), self._table.region_of(upstream_id)
        )
        return cold_quota(own, upstream_id, per_s, near=near, far=far)

    def _is_lone(self) -> bool:
        """Return whether it has heard of no other entry, but there may be some.

        One that has lost all others shares as before: each side of a partition
        may take the whole.
        """
        if self._peers.roster.has_met_others:
            return False
        is_settled = clock_s() - self._started_at >= ALONE_S
        return not is_settled or self._named_count() > 1

    def _named_count(self) -> int:
        """Return the number of hosts that the settings name, with the own one."""
        return len({self._peers.roster.own.ip, *self._peers.seeds})

    def _compute_share(self, upstream_id: str, per_s: float) -> float:
        near, far = split_by_region(
            self._peers.entries(), self._table.region_of(upstream_id)
        )
        senders = senders_of(upstream_id, per_s, near, far)
        is_sender = self._peers.roster.own.ip in senders
        return 1 / len(senders) if is_sender else 0
