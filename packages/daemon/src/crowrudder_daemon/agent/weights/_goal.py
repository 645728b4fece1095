"""The declared goal of this host's engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.orders import Target
from crowrudder_core.transfer import Place
from crowrudder_daemon.chunks import Artifact

if TYPE_CHECKING:
    from crowrudder_daemon.knowledge import Snapshot
    from crowrudder_model.declared import Service, Version


@frozen
class Goal:
    """The service, version and adapters that this host's engine must serve."""

    service: Service
    version: Version
    order: tuple[int, str]
    adapters: tuple[Artifact, ...] = ()

    @property
    def artifact(self) -> Artifact:
        """The weights of the version."""
        return Artifact(self.version.name, self.version.manifest)

    @property
    def names(self) -> frozenset[str]:
        """The names of the version and its adapters."""
        return frozenset((self.version.name, *(a.name for a in self.adapters)))

    @property
    def target(self) -> Target:
        """The target of orders to the engine."""
        generation, digest = self.order
        return Target(
            generation=generation,
            digest=digest,
            model=self.service.model,
            version=self.version.name,
        )

    def has_same_weights(self, other: Goal | None) -> bool:
        """Return whether both goals need the same weights for one service."""
        return (
            other is not None
            and other.version == self.version
            and other.adapters == self.adapters
            and other.service.name == self.service.name
        )


def goal_of(snapshot: Snapshot, host: str) -> Goal | None:
    """Return a host's goal; None when no version is placed on it."""
    service = snapshot.placement.get(host)
    if service is None or snapshot.bundle is None:
        return None
    version = snapshot.bundle.declaration.version(service.version)
    if version is None:
        return None
    adapters = tuple(
        Artifact(adapter.name, adapter.manifest)
        for adapter in map(
            snapshot.bundle.declaration.adapter, service.adapters
        )
        if adapter is not None
    )
    return Goal(service, version, snapshot.order, adapters)


def is_withdrawn(snapshot: Snapshot, host: str) -> bool:
    """Return whether no service is placed on a host that is listed as live.

    A host that is missing from the member list isn't withdrawn: the list lags
    and may be temporarily wrong, so the host would stop without cause.
    """
    member = snapshot.member(host)
    is_live = member is not None and member.state == 'live'
    is_placed = host in snapshot.placement
    return snapshot.bundle is not None and is_live and not is_placed


def places_of(snapshot: Snapshot, service: str) -> dict[str, Place]:
    """Return the place of each host of a service, by host."""
    return {
        member.host: Place(member.region, member.failure_domain)
        for member in snapshot.hosts_of(service)
    }
