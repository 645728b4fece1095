"""The published member list, its editions and the deltas between them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash
from attrs import define, field, frozen

from crowrudder_model import CrowrudderError, InvariantError
from crowrudder_model.messages import MemberListDelta, MemberListEdition

if TYPE_CHECKING:
    from crowrudder_model import Member

MAX_RETAINED_LISTS = 16
"""Number of lists from which deltas are available; a peer with another list
gets the complete one."""

REBUILD_CONFIRM_S = 10.0
"""How long the platform must report a lower revision before it is accepted."""

Members = tuple['Member', ...]


class DeltaError(CrowrudderError):
    """A delta of the member list that doesn't produce its edition."""


@frozen
class _LowerRevision:
    """A list from the platform with a lower or conflicting revision."""

    members: Members
    revision: int
    since: float


@define
class MemberList:
    """The newest published list.

    The platform's revision orders the lists until the platform is rebuilt and
    restarts its count. A single lower revision is a stale read; a lower
    revision that persists starts a new epoch. Without epochs, every host would
    keep the members from before the rebuild. Without the wait, a stale replica
    of the platform would restore replaced hosts.
    """

    members: Members = ()
    edition: MemberListEdition = field(factory=MemberListEdition)
    _retained: dict[str, Members] = field(factory=dict)
    _lower: _LowerRevision | None = None

    def on_platform(self, members: Members, revision: int, now: float) -> bool:
        """Apply a list from the platform; return whether it is now in use."""
        ordered = in_order(members)
        known = self.edition
        digest = digest_of(ordered)
        is_conflicting = revision == known.revision and digest != known.digest
        if known.digest and (revision < known.revision or is_conflicting):
            return self._on_lower_revision(
                _LowerRevision(ordered, revision, now)
            )
        self._lower = None
        return self.offer(
            MemberListEdition(
                epoch=known.epoch, revision=revision, digest=digest
            ),
            ordered,
        )

    def on_unchanged(self, now: float) -> bool:
        """Record that the platform reports no change since its last answer.

        Return whether a lower revision was thereby confirmed and is now in use.
        """
        lower = self._lower
        if lower is None or now - lower.since < REBUILD_CONFIRM_S:
            return False
        self._lower = None
        return self.offer(
            MemberListEdition(
                epoch=self.edition.epoch + 1,
                revision=lower.revision,
                digest=digest_of(lower.members),
            ),
            lower.members,
        )

    def offer(self, edition: MemberListEdition, members: Members) -> bool:
        """Apply a list from any source if it is newer; return whether it is."""
        if edition <= self.edition:
            return False
        before = self.edition
        self.members = in_order(members)
        self.edition = edition
        self._retained[edition.digest] = self.members
        while len(self._retained) > MAX_RETAINED_LISTS:
            del self._retained[next(iter(self._retained))]
        if self.edition <= before:
            raise InvariantError(
                'member list edition did not increase', step='members'
            )
        return True

    def delta_from(self, digest: str) -> MemberListDelta | None:
        """Return the delta from a peer's list; None if that is unknown."""
        base = self._retained.get(digest)
        return None if base is None else _delta(base, self.members)

    def whole(self) -> MemberListDelta:
        """Return the complete list as a delta."""
        return MemberListDelta(put=self.members)

    def applied(
        self,
        delta: MemberListDelta,
        *,
        base: str,
        edition: MemberListEdition,
    ) -> Members:
        """Return the list that results from a peer's delta.

        Raises
        ------
        DeltaError
            if the base list is unknown, or the result isn't the edition.
        """
        base_members = self._retained.get(base, ()) if base else ()
        by_host = {member.host: member for member in base_members}
        for host in delta.dropped:
            by_host.pop(host, None)
        by_host.update({member.host: member for member in delta.put})
        members = in_order(tuple(by_host.values()))
        if digest_of(members) != edition.digest:
            raise DeltaError(
                f'delta does not produce revision {edition.revision}; '
                'request the complete list',
                step='members',
            )
        return members

    def _on_lower_revision(self, lower: _LowerRevision) -> bool:
        known = self._lower
        if known is None or known.revision != lower.revision:
            self._lower = lower
            return False
        return self.on_unchanged(lower.since)


def in_order(members: Members) -> Members:
    """Return a list sorted by host."""
    return tuple(sorted(members, key=lambda member: member.host))


def digest_of(members: Members) -> str:
    """Compute the digest of a list's content."""
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(members))


def _delta(before: Members, after: Members) -> MemberListDelta:
    known = frozenset(before)
    present = {member.host for member in after}
    return MemberListDelta(
        put=tuple(member for member in after if member not in known),
        dropped=tuple(
            member.host for member in before if member.host not in present
        ),
    )
