"""Forecasts of an entry's upstreams, by id, address and service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crowrudder_core.forecast import UpstreamForecast
    from crowrudder_model.fleet import NodeLocation, Upstream


@frozen
class ServicePool:
    """The forecasts of a service, in the own region and in other regions."""

    near: list[UpstreamForecast] = field(factory=list)
    far: list[UpstreamForecast] = field(factory=list)


@define(eq=False)
class ForecastTable:
    """The forecasts of all listed upstreams.

    Attributes
    ----------
    by_id
        Forecasts by upstream id; call `index` after a change.
    partial_received_at
        When an agent last reported a partial version.
    host_count
        Number of hosts that have upstreams.
    """

    _place: NodeLocation
    by_id: dict[str, UpstreamForecast] = field(factory=dict, init=False)
    partial_received_at: float = field(default=-math.inf, init=False)
    host_count: int = field(default=0, init=False)
    _by_address: dict[str, list[UpstreamForecast]] = field(
        factory=dict, init=False
    )
    _pools: dict[str, ServicePool] = field(factory=dict, init=False)

    def at(self, address: str) -> Sequence[UpstreamForecast]:
        """Return the forecasts of the upstreams at an address."""
        return self._by_address.get(address, ())

    def pool(self, service: str) -> ServicePool:
        """Return the forecasts of a service."""
        return self._pools.get(service, ServicePool())

    def is_far(self, upstream: Upstream) -> bool:
        """Return whether an upstream is in another region."""
        region = self._place.region_of(upstream.failure_domain)
        return region != self._place.region

    def region_of(self, upstream_id: str) -> str:
        """Return an upstream's region; the own one if it is not listed."""
        forecast = self.by_id.get(upstream_id)
        if forecast is None:
            return self._place.region
        return self._place.region_of(forecast.upstream.failure_domain)

    def index(self) -> None:
        """Index the forecasts by address and by service."""
        self._by_address = {}
        self._pools = {}
        for forecast in self.by_id.values():
            upstream = forecast.upstream
            self._by_address.setdefault(upstream.address, []).append(forecast)
            pool = self._pools.setdefault(upstream.service, ServicePool())
            group = pool.far if self.is_far(upstream) else pool.near
            group.append(forecast)
        self.host_count = len(
            {known.upstream.host_ip for known in self.by_id.values()}
        )
