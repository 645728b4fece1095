"""Known state of the other hosts that want the same version."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.transfer._chunk_sets import full
from crowrudder_core.transfer._planner import (
    OTHER_REGION,
    SAME_DOMAIN,
    SAME_REGION,
    OriginReason,
    Source,
)
from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from crowrudder_core.transfer._pacing import PacingConfig

SUSPECT_AFTER_FAILURES = 2
"""Consecutive queries without an answer after which a peer counts as failed."""

MAX_CORRUPTED_CHUNKS = 3
"""Consecutive corrupted chunks after which a source is no longer read from."""

AVOID_CHUNK_TIMES = 4
"""Chunk times for which a source is avoided after a corrupted chunk."""

MAX_STALL_DOUBLINGS = 4
"""Maximum doublings of the time for which a stalled source is avoided."""

SLOW_QUERY_PERIODS = 4
"""Poll periods between queries to a peer that has nothing to offer."""


@frozen
class Place:
    """Location of a host."""

    region: str
    failure_domain: str

    def distance(self, other: Place) -> int:
        """Return whether the path crosses a failure domain or a region."""
        if self.region != other.region:
            return OTHER_REGION
        if self.failure_domain != other.failure_domain:
            return SAME_REGION
        return SAME_DOMAIN


@frozen(kw_only=True)
class PeerInventory:
    """Inventory of one version that a peer reported.

    Sets of chunks are bits. ``passes`` are chunks that the peer leaves to the
    next reader of the origin; ``busy`` of its ``slots`` for uploads are in
    use; ``wants`` is false if it is not aware that it should hold the version.
    """

    host: str
    chunks: int = 0
    passes: int = 0
    busy: int = 0
    slots: int = 1
    wants: bool = True


@define
class Peer:
    """Known state of one other host."""

    place: Place
    distance: int
    chunks: int = 0
    passes: int = 0
    busy: int = 0
    slots: int = 0
    reading: int = 0
    failures: int = 0
    corrupted_chunks: int = 0
    stalls: int = 0
    query_at: float = 0
    busy_until: float = 0
    avoid_until: float = 0
    not_participating: bool = False
    has_answered: bool = False

    @property
    def suspected(self) -> bool:
        """Whether it counts as failed until it answers again."""
        return self.failures >= SUSPECT_AFTER_FAILURES

    @property
    def banned(self) -> bool:
        """Whether it sent too many corrupted chunks."""
        return self.corrupted_chunks >= MAX_CORRUPTED_CHUNKS

    @property
    def is_skipped(self) -> bool:
        """Whether other hosts replace it as a reader of the origin."""
        return (
            self.suspected
            or self.banned
            or self.not_participating
            or self.stalls > 0
        )

    def offers(self, now: float) -> bool:
        """Return whether its chunks count as available."""
        excluded = self.suspected or self.banned or now < self.avoid_until
        return bool(self.chunks) and not excluded

    def free_slots(self, limit: int, now: float) -> int:
        """Return the number of reads from it that may start now."""
        if now < self.busy_until:
            return 0
        return min(limit, max(self.slots - self.busy, 1)) - self.reading


@define
class PeerTable:
    """The other hosts, and which of them to query and read from.

    The host lists of processes lag and differ. A peer is trusted if it answers
    and suspected if it does not, regardless of the list. ``revision`` changes
    when the set of skipped hosts or their passed chunks change.
    """

    host: str
    place: Place
    pace: PacingConfig
    peers: dict[str, Peer] = field(factory=dict)
    revision: int = 0
    _preference: list[str] = field(factory=list)
    _neighbours: list[str] = field(factory=list)
    _neighbours_revision: int = -1
    _next_query_at: float = 0

    def on_hosts(self, places: Mapping[str, Place]) -> None:
        """Update the hosts that should hold the version, including this one."""
        for removed in self.peers.keys() - places.keys():
            self.peers.pop(removed)
        for host, place in places.items():
            known = self.peers.get(host)
            if host != self.host and (known is None or known.place != place):
                self.peers[host] = Peer(place, self.place.distance(place))
        self._preference = _preference_order(self.host, self.peers)
        self.revision += 1

    def on_inventory(self, inventory: PeerInventory, now: float) -> None:
        """Record the inventory that a peer reported."""
        peer = self.peers.get(inventory.host)
        if peer is None:
            return
        before = (peer.is_skipped, peer.passes)
        peer.failures = 0
        peer.has_answered = True
        peer.chunks = inventory.chunks
        peer.passes = inventory.passes
        peer.busy = inventory.busy
        peer.slots = inventory.slots
        peer.not_participating = not inventory.wants
        peer.query_at = now + self.pace.poll_s
        self._update_revision(before, peer)

    def on_no_answer(self, host: str, now: float) -> None:
        """Record a query without an answer."""
        peer = self.peers.get(host)
        if peer is None:
            return
        before = (peer.is_skipped, peer.passes)
        peer.failures += 1
        wait = SLOW_QUERY_PERIODS if peer.suspected else 1
        peer.query_at = now + wait * self.pace.poll_s
        self._update_revision(before, peer)

    def on_stalled(self, host: str, now: float) -> None:
        """Avoid a source that answers queries but sends no chunk.

        Answers to queries must not clear it: the last chunk, if only that host
        holds it, would be requested from it again and again while no host
        reads it from the origin.
        """
        peer = self.peers.get(host)
        if peer is None:
            return
        before = (peer.is_skipped, peer.passes)
        peer.stalls += 1
        wait = self.pace.stall_s * 2 ** min(peer.stalls, MAX_STALL_DOUBLINGS)
        peer.avoid_until = now + wait
        self._update_revision(before, peer)

    def on_corrupted(self, host: str, now: float) -> None:
        """Avoid a source, longer each time and finally forever."""
        peer = self.peers.get(host)
        if peer is None:
            return
        before = (peer.is_skipped, peer.passes)
        peer.corrupted_chunks += 1
        wait = AVOID_CHUNK_TIMES**peer.corrupted_chunks * self.pace.chunk_s
        peer.avoid_until = now + wait
        self._update_revision(before, peer)

    def on_delivered(self, host: str) -> None:
        """Clear the faults of a source, as it delivered."""
        peer = self.peers.get(host)
        if peer is None:
            return
        before = (peer.is_skipped, peer.passes)
        peer.corrupted_chunks = peer.stalls = 0
        peer.avoid_until = 0
        self._update_revision(before, peer)

    def on_ended(self, host: str) -> None:
        """Record that a read from a source ended, with or without success."""
        peer = self.peers.get(host)
        if peer is not None:
            peer.reading = max(peer.reading - 1, 0)

    def on_busy(self, host: str, now: float) -> None:
        """Delay reads from a source until a slot may have become free."""
        peer = self.peers.get(host)
        if peer is not None:
            peer.busy_until = now + self.pace.chunk_s / 2

    def is_skipped(self, host: str) -> bool:
        """Return whether a host is skipped: failed or not participating."""
        peer = self.peers.get(host)
        return peer is not None and peer.is_skipped

    def has_passed(self, host: str, index: int) -> bool:
        """Return whether a host leaves a chunk to the next reader."""
        peer = self.peers.get(host)
        return peer is not None and bool(peer.passes >> index & 1)

    def passes_all(self, host: str, count: int) -> bool:
        """Return whether a host leaves all chunks to other readers."""
        peer = self.peers.get(host)
        return peer is not None and peer.passes.bit_count() >= count

    def has_reader(self, count: int) -> bool:
        """Return whether another host reads chunks from the origin."""
        return any(
            peer.has_answered
            and not peer.is_skipped
            and peer.passes.bit_count() < count / 2
            for peer in self.peers.values()
        )

    @property
    def assigned_reason(self) -> OriginReason:
        """Reason for reads that this host is assigned at the origin."""
        if not self.peers or any(
            peer.has_answered for peer in self.peers.values()
        ):
            return OriginReason.TURN
        return OriginReason.UNHEARD

    def count_incomplete(self, count: int) -> int:
        """Count the responsive hosts that reported missing chunks."""
        all_chunks = full(count)
        return sum(
            peer.has_answered
            and not (peer.suspected or peer.not_participating)
            and peer.chunks != all_chunks
            for peer in self.peers.values()
        )

    def sources(
        self, now: float, *, importable: int, all_chunks: int
    ) -> list[Source]:
        """Return the hosts that hold any chunks as sources for the planner.

        Only ``importable`` chunks (bits) are read from other regions. Hosts
        there that hold neither one of these nor ``all_chunks`` are
        merged into one source without a name, from which nothing is read.
        They are most of a large fleet, and the sources are scanned for each
        chunk.
        """
        preferred = frozenset(self.neighbours())
        found = []
        unread_chunks = 0
        for host, peer in self.peers.items():
            if not (peer.chunks and peer.offers(now)):
                continue
            is_usable = (
                peer.distance != OTHER_REGION or peer.chunks & importable
            )
            if is_usable or peer.chunks == all_chunks:
                found.append(self._source(host, peer, host in preferred, now))
            else:
                unread_chunks |= peer.chunks
        if unread_chunks:
            found.append(Source('', unread_chunks, OTHER_REGION, free_slots=0))
        return found

    def _source(
        self,
        host: str,
        peer: Peer,
        is_near: bool,
        now: float,
    ) -> Source:
        return Source(
            host,
            peer.chunks,
            peer.distance,
            peer.free_slots(self.pace.reads_of_one_peer, now),
            peer.busy,
            is_near or peer.distance == OTHER_REGION,
        )

    def neighbours(self) -> list[str]:
        """Return the preferred hosts to read from, without skipped ones."""
        if self._neighbours_revision != self.revision:
            self._neighbours_revision = self.revision
            usable = (
                host for host in self._preference if not self.is_skipped(host)
            )
            self._neighbours = list(islice(usable, self.pace.neighbours))
            self._next_query_at = 0
        return self._neighbours

    def due_queries(self, additional: Iterable[str], now: float) -> list[str]:
        """Return the hosts whose inventory is due, and schedule the next query.

        ``additional`` lists hosts other than the neighbours, such as the
        readers of the origin; they are queried less often.
        """
        preferred = self.neighbours()
        if now < self._next_query_at:
            return []
        due_at = {
            host: self.peers[host].query_at
            + SLOW_QUERY_PERIODS * self.pace.poll_s
            for host in additional
            if host in self.peers
        }
        due_at.update((host, self.peers[host].query_at) for host in preferred)
        due = [host for host, at in due_at.items() if at <= now]
        for host in due:
            self.peers[host].query_at = (
                now + SLOW_QUERY_PERIODS * self.pace.poll_s
            )
        later = [at for at in due_at.values() if at > now]
        self._next_query_at = min([*later, now + self.pace.poll_s])
        return due

    def _update_revision(self, before: tuple[bool, int], peer: Peer) -> None:
        if before != (peer.is_skipped, peer.passes):
            self.revision += 1


def _preference_order(host: str, peers: Mapping[str, Peer]) -> list[str]:
    """Return the peers of this region, alternating own and other domains.

    Enough peers are in other failure domains that a slow or disconnected
    domain is not the only source. Chunks of other regions arrive only through
    the importers.
    """
    same_domain: list[str] = []
    same_region: list[str] = []
    for name in ranked(host, peers):
        if peers[name].distance == SAME_DOMAIN:
            same_domain.append(name)
        elif peers[name].distance == SAME_REGION:
            same_region.append(name)
    alternating: list[str] = []
    while same_domain and same_region:
        alternating += (same_domain.pop(0), same_region.pop(0))
    return alternating + same_domain + same_region
