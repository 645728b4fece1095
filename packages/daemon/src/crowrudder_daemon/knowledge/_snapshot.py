"""An immutable snapshot of configuration and members for other tasks."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

from attrs import field, frozen

from crowrudder_model.declared import place

if TYPE_CHECKING:
    from crowrudder_model import Member
    from crowrudder_model.declared import Bundle, Service


@frozen(slots=False)
class Snapshot:
    """The bundle in force and the members as seen by one process.

    ``suspects`` may be dead. The member list still has them as live, so that
    every process places services alike, but requests should go to other hosts.
    """

    bundle: Bundle | None = None
    members: tuple[Member, ...] = field(default=())
    suspects: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple[int, str]:
        """Generation and digest in force; (0, '') without a bundle."""
        if self.bundle is None:
            return (0, '')
        return (self.bundle.declaration.generation, self.bundle.digest)

    @cached_property
    def placement(self) -> dict[str, Service]:
        """Return the service of each agent host."""
        if self.bundle is None:
            return {}
        return place(self.bundle.declaration, self.members)

    def by_role(self, role: str) -> tuple[Member, ...]:
        """Return the members of a role."""
        return tuple(member for member in self.members if member.role == role)

    def member(self, host: str) -> Member | None:
        """Return a member by its host name."""
        for member in self.members:
            if member.host == host:
                return member
        return None

    def hosts_of(self, service: str) -> list[Member]:
        """Return the members on which a service is placed."""
        return [
            member
            for member in self.by_role('agent')
            if member.host in self.placement
            and self.placement[member.host].name == service
        ]
