"""What the declared files want of this host's engine."""

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
    """What this host's engine shall answer with, and who else shall."""

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
        """The names of all weights that are wanted."""
        return frozenset((self.version.name, *(a.name for a in self.adapters)))

    @property
    def target(self) -> Target:
        """What the engine is ordered."""
        generation, digest = self.order
        return Target(
            generation=generation,
            digest=digest,
            model=self.service.model,
            version=self.version.name,
        )

    def same_weights(self, other: Goal | None) -> bool:
        """Whether the other goal is reached by the same transfer."""
        return (
            other is not None
            and other.version == self.version
            and other.adapters == self.adapters
            and other.service.name == self.service.name
        )


def goal_of(snapshot: Snapshot, host: str) -> Goal | None:
    """Give a host's goal; None when no version is placed on it."""
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
    """Whether the files place nothing on a host that is listed as live.

    A host that the list lacks is not withdrawn: the list lags, and may be
    wrong for a while, and a host that goes by it would stop for nothing.
    """
    member = snapshot.member(host)
    listed = member is not None and member.state == 'live'
    placed = host in snapshot.placement
    return snapshot.bundle is not None and listed and not placed


def places_of(snapshot: Snapshot, service: str) -> dict[str, Place]:
    """Give the place of each host that a service is placed on."""
    return {
        member.host: Place(member.region, member.failure_domain)
        for member in snapshot.hosts_of(service)
    }
