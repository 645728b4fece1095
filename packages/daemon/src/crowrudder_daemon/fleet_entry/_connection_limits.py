"""Limits on the connections of this entry to each upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.limits import connection_share
from crowrudder_core.membership import split_by_region
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.fleet_entry._forecast_table import ForecastTable
    from crowrudder_model.fleet import NodeLocation

SHARE_CACHE_S = 0.25
"""How long a share is cached: counting the entries takes time proportional to
their number, and the choice of an upstream asks for many shares."""


@define(eq=False)
class ConnectionLimits:
    """Computes and caches this entry's share of upstreams' connections."""

    _table: ForecastTable
    _place: NodeLocation
    _view: FleetView
    _peers: PeersTask
    _limits: dict[str, int] = field(factory=dict)
    _shares: dict[tuple[int, str], int] = field(factory=dict)
    _cached_at: float = -math.inf

    def limit_of(self, address: str) -> int:
        """Return this entry's share at an address, 0 for no limit."""
        now = clock_s()
        if now - self._cached_at >= SHARE_CACHE_S:
            self.clear()
            self._cached_at = now
        limit = self._limits.get(address)
        if limit is None:
            limit = self._limits[address] = self._compute_limit(address)
        return limit

    def clear(self) -> None:
        """Drop the cached shares, as records or entries may have changed."""
        self._limits, self._shares = {}, {}

    def _compute_limit(self, address: str) -> int:
        """Return the share at an address.

        While two upstreams are listed there, as the next incarnation is known
        before the record of the previous one is removed, the smaller share
        counts.
        """
        shares = (
            self._share_of(
                forecast.upstream.service, forecast.upstream.failure_domain
            )
            for forecast in self._table.at(address)
        )
        return min((share for share in shares if share), default=0)

    def _share_of(self, service: str, failure_domain: str) -> int:
        config = self._view.config
        found = config.service(service) if config else None
        if found is None or not found.most_connections:
            return 0
        key = (found.most_connections, self._place.region_of(failure_domain))
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = self._compute_share(*key)
        return share

    def _compute_share(self, most_connections: int, region: str) -> int:
        near, far = split_by_region(self._peers.entries(), region)
        is_near = region == self._place.region
        own = self._peers.roster.own.ip
        if own not in near and own not in far:
            (near if is_near else far).append(own)
        return connection_share(
            most_connections, near=len(near), far=len(far), is_near=is_near
        )
