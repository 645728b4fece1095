"""The published member list: its editions, and the ways between them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash
from attrs import define, field, frozen

from crowrudder_model import CrowrudderError, InvariantError
from crowrudder_model.messages import ListEdition, MembersDelta

if TYPE_CHECKING:
    from crowrudder_model import Member

KEPT_LISTS = 16
"""Lists that peers may still have; others get the whole."""

REBUILT_S = 10.0
"""How long the platform must tell a lower revision before it is believed."""

Members = tuple['Member', ...]


class DeltaError(CrowrudderError):
    """A change of the member list that doesn't lead to its edition."""


@frozen
class _Lower:
    """A list that the platform gave with too low a revision."""

    members: Members
    revision: int
    since: float


@define
class MemberList:
    """Keep the newest published list.

    The platform's revision orders the lists until the platform is rebuilt and
    counts anew. A single lower revision is a stale read; only one that goes
    on begins a new epoch. Without epochs every host would keep the members of
    the day of the rebuild; without the wait, a stale replica of the platform
    would bring replaced hosts back.
    """

    members: Members = ()
    edition: ListEdition = field(factory=ListEdition)
    _kept: dict[str, Members] = field(factory=dict)
    _lower: _Lower | None = None

    def on_platform(self, members: Members, revision: int, now: float) -> bool:
        """Take a list that the platform gave; true when it is now in use."""
        ordered = in_order(members)
        known = self.edition
        digest = digest_of(ordered)
        is_other = revision == known.revision and digest != known.digest
        if known.digest and (revision < known.revision or is_other):
            return self._on_lower(_Lower(ordered, revision, now))
        self._lower = None
        return self.offer(
            ListEdition(epoch=known.epoch, revision=revision, digest=digest),
            ordered,
        )

    def on_same(self, now: float) -> bool:
        """Take the platform's word that nothing changed since its answer."""
        lower = self._lower
        if lower is None or now - lower.since < REBUILT_S:
            return False
        self._lower = None
        return self.offer(
            ListEdition(
                epoch=self.edition.epoch + 1,
                revision=lower.revision,
                digest=digest_of(lower.members),
            ),
            lower.members,
        )

    def offer(self, edition: ListEdition, members: Members) -> bool:
        """Take a list of any origin if it is newer."""
        if edition <= self.edition:
            return False
        before = self.edition
        self.members = in_order(members)
        self.edition = edition
        self._kept[edition.digest] = self.members
        while len(self._kept) > KEPT_LISTS:
            del self._kept[next(iter(self._kept))]
        if self.edition <= before:
            raise InvariantError('the member list went back', step='members')
        return True

    def delta_from(self, digest: str) -> MembersDelta | None:
        """Give the way from a list that a peer has, if it is still known."""
        base = self._kept.get(digest)
        return None if base is None else _delta(base, self.members)

    def whole(self) -> MembersDelta:
        """Give the way from nothing."""
        return MembersDelta(put=self.members)

    def applied(
        self,
        delta: MembersDelta,
        *,
        base: str,
        edition: ListEdition,
    ) -> Members:
        """Give the list that a peer's delta leads to.

        Raises
        ------
        DeltaError
            when the list it starts from isn't known, or another comes out.
        """
        start = self._kept.get(base, ()) if base else ()
        found = {member.host: member for member in start}
        for host in delta.dropped:
            found.pop(host, None)
        found.update({member.host: member for member in delta.put})
        members = in_order(tuple(found.values()))
        if digest_of(members) != edition.digest:
            raise DeltaError(
                f'revision {edition.revision} does not come out; ask for all',
                step='members',
            )
        return members

    def _on_lower(self, lower: _Lower) -> bool:
        known = self._lower
        if known is None or known.revision != lower.revision:
            self._lower = lower
            return False
        return self.on_same(lower.since)


def in_order(members: Members) -> Members:
    """Bring a list into the order of its hosts."""
    return tuple(sorted(members, key=lambda member: member.host))


def digest_of(members: Members) -> str:
    """Name a list by its content."""
    return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(members))


def _delta(before: Members, after: Members) -> MembersDelta:
    known = frozenset(before)
    present = {member.host for member in after}
    return MembersDelta(
        put=tuple(member for member in after if member not in known),
        dropped=tuple(
            member.host for member in before if member.host not in present
        ),
    )
