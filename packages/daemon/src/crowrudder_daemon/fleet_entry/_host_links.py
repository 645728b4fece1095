"""What an entry knows of the links of upstreams' hosts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.transit import TransitDelay

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_model.fleet import Upstream
    from crowrudder_model.messages import EngineLoad

FORGET_S = 30.0
"""How long a link is remembered without a record or a report of its host. Records
lapse for seconds while the renewals of an upstream wait for a full link."""

MAX_ENGINES = 8192
"""Engines, and hosts, of which reports are kept; a fleet has a few thousand."""


@define
class HostLinks:
    """Estimates of the links by host, and times of the last load reports.

    They outlive the records of upstreams: an upstream that is listed again
    after its record has lapsed is behind the same link.
    """

    _transits: dict[str, TransitDelay] = field(factory=dict, init=False)
    _reported_at: dict[str, float] = field(factory=dict, init=False)
    _seen_at: dict[str, float] = field(factory=dict, init=False)

    def transit(self, host: str) -> TransitDelay:
        """Return the estimate of a host's link."""
        return self._transits.setdefault(host, TransitDelay())

    def reported_at(self, address: str) -> float:
        """Return when the last load report on an engine was sent."""
        return self._reported_at.get(address, -math.inf)

    def on_load(self, load: EngineLoad, *, as_of: float) -> None:
        """Record a load report, whether or not its engine is listed."""
        is_known = load.address in self._reported_at
        if not is_known and len(self._reported_at) >= MAX_ENGINES:
            return
        host = load.address.rpartition(':')[0]
        self.transit(host).on_report(load.link_delay_s, as_of=as_of)
        latest = max(self.reported_at(load.address), as_of)
        self._reported_at[load.address] = latest
        self._seen_at[host] = max(self._seen_at.get(host, as_of), as_of)

    def on_listed(self, upstreams: Iterable[Upstream], *, now: float) -> None:
        """Record the listed upstreams, and forget hosts that are long gone."""
        for upstream in upstreams:
            self._seen_at[upstream.host_ip] = now
        for host, seen_at in list(self._seen_at.items()):
            if now - seen_at > FORGET_S:
                self._seen_at.pop(host)
                self._transits.pop(host, None)
        self._reported_at = {
            address: at
            for address, at in self._reported_at.items()
            if now - at <= FORGET_S
        }
