"""The state of the fleet according to the published records."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, evolve, field

from crowrudder_core.catalog._evacuations import Evacuations
from crowrudder_core.catalog._releases import Releases
from crowrudder_core.catalog._routes import RouteTable
from crowrudder_model.fleet import (
    Evacuation,
    FleetConfig,
    TargetVersion,
    Upstream,
    UpstreamState,
)

if TYPE_CHECKING:
    from crowrudder_model.fleet import PublishedRecord

LAPSE_GRACE_S = 1.5
"""How long an upstream may still be used after its record has lapsed.

Records lapse during an outage of the platform, and live upstreams write theirs
again within two seconds of its end. The grace period applies only in this
case. It is shorter than the two seconds after which no request may reach an
upstream that has ended.
"""

RETURN_GRACE_S = 3.0
"""How long an upstream may still be used that the store's copy doesn't have.

Nobody has said that it ended, and within two seconds of the store's return a
live upstream has written its record again.
"""


@define
class ListedUpstream:
    """An upstream's record; ``usable_until`` is set when it is removed."""

    upstream: Upstream
    usable_until: float | None = None

    def takes_requests(self, now: float) -> bool:
        """Return whether its record allows requests."""
        if self.usable_until is not None and now >= self.usable_until:
            return False
        return self.upstream.state is UpstreamState.READY


@define
class FleetView:
    """Configuration, upstreams, versions and evacuations in force.

    Parameters
    ----------
    version_window_s, enforced_from, known_since
        See `Releases`.
    """

    version_window_s: float
    enforced_from: float = -math.inf
    known_since: float = -math.inf
    config: FleetConfig | None = None
    routes: RouteTable = field(factory=lambda: RouteTable(()))
    releases: Releases = field(init=False)
    evacuations: Evacuations = field(factory=Evacuations)
    _listed: dict[str, ListedUpstream] = field(factory=dict)
    _ids: dict[str, str] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the empty list of releases."""
        self.releases = Releases(
            self.version_window_s, self.enforced_from, self.known_since
        )

    def on_record(
        self,
        key: str,
        record: PublishedRecord,
        *,
        age_s: float | None,
        now: float,
    ) -> None:
        """Apply the record of a key."""
        match record:
            case FleetConfig():
                self._on_config(record)
            case Upstream():
                self._on_upstream(key, record)
            case TargetVersion(model=model, version=version):
                self.releases.on_named(model, version, age_s=age_s, now=now)
            case Evacuation(failure_domain=failure_domain):
                self.evacuations.on_ordered(key, failure_domain)

    def on_removed(self, key: str, *, now: float, grace_s: float = 0) -> None:
        """Apply the removal of a record.

        Parameters
        ----------
        grace_s
            How long its upstream may still be used, since it may be written
            again: after an outage, or if the store came back from a copy.
        """
        self.evacuations.on_removed(key, now=now)
        listed = self._listed.get(self._ids.pop(key, ''))
        if listed is not None:
            listed.usable_until = now + grace_s

    def on_unreadable(self, key: str, *, now: float) -> None:
        """Apply a record that can't be decoded.

        It counts as the removal of an upstream. If the previous record stayed
        in force after another writer has overwritten it and the upstream has
        left, requests would go to an address that another service may have by
        then. Configuration and versions stay in force, since no request can be
        served without them.
        """
        self.on_removed(key, now=now)

    def remove_expired(self, *, now: float) -> list[Upstream]:
        """Drop upstreams whose grace period has ended and return them."""
        gone = [
            listed.upstream
            for listed in self._listed.values()
            if listed.usable_until is not None and now >= listed.usable_until
        ]
        for upstream in gone:
            del self._listed[upstream.id]
        return gone

    def upstreams(self, service: str, *, now: float) -> list[Upstream]:
        """List the upstreams of a service that take requests."""
        return [
            listed.upstream
            for listed in self._listed.values()
            if listed.upstream.service == service
            and self._takes_requests(listed, now)
        ]

    def takes_requests(self, upstream_id: str, *, now: float) -> bool:
        """Return whether an upstream's record and the operators allow requests."""
        listed = self._listed.get(upstream_id)
        return listed is not None and self._takes_requests(listed, now)

    def is_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave a service without any upstream."""
        domains = {
            listed.upstream.failure_domain
            for listed in self._listed.values()
            if listed.upstream.service == service
        }
        return bool(domains) and domains <= self.evacuations.domains

    def upstream(self, upstream_id: str) -> Upstream | None:
        """Find a listed upstream by its id."""
        listed = self._listed.get(upstream_id)
        return listed.upstream if listed else None

    def listed(self) -> list[Upstream]:
        """List all upstreams, including those that are leaving."""
        return [listed.upstream for listed in self._listed.values()]

    def engine_hosts(self, model: str) -> dict[str, Upstream]:
        """Return the upstreams that serve a model, by the host's IP address."""
        service = self.config.engine_service(model) if self.config else None
        if service is None:
            return {}
        return {
            upstream.host_ip: upstream
            for upstream in self.listed()
            if upstream.service == service.name
        }

    def _takes_requests(self, listed: ListedUpstream, now: float) -> bool:
        return listed.takes_requests(now) and not self.evacuations.is_evacuated(
            listed.upstream.failure_domain
        )

    def _on_upstream(self, key: str, upstream: Upstream) -> None:
        """Apply an upstream's record; one that leaves never takes requests again.

        An incarnation doesn't return from leaving, but a store that comes back
        from a copy has its record from before.
        """
        listed = self._listed.get(upstream.id)
        if listed and listed.upstream.state is UpstreamState.LEAVING:
            upstream = evolve(upstream, state=UpstreamState.LEAVING)
        self._ids[key] = upstream.id
        self._listed[upstream.id] = ListedUpstream(upstream)

    def _on_config(self, config: FleetConfig) -> None:
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self.routes = RouteTable(config.routes)
