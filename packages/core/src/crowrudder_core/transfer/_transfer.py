"""The transfer of one version to one host."""

from __future__ import annotations

from collections import Counter
from functools import reduce
from operator import or_
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.transfer._chunk_sets import full, indices
from crowrudder_core.transfer._inbound_link import InboundLink
from crowrudder_core.transfer._origin import OriginReader
from crowrudder_core.transfer._peers import PeerInventory, PeerTable, Place
from crowrudder_core.transfer._planner import (
    FromOrigin,
    FromPeer,
    Read,
    ReadCandidates,
    Source,
    plan_reads,
)
from crowrudder_core.transfer._progress import Progress
from crowrudder_core.transfer._unassigned_reads import (
    ChunkAvailability,
    UnassignedReads,
)
from crowrudder_model import InvariantError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from crowrudder_core.transfer._manifest import Manifest
    from crowrudder_core.transfer._pacing import PacingConfig
    from crowrudder_core.transfer._store import ChunkStore

MAX_SOURCES_LISTED = 3
NARROW_STALL_FACTOR = 4
"""Factor by which the stall timeout is longer on a narrow link."""

MAX_SILENT_READS = 2
"""Maximum number of silent reads that do not count against the single read on a
narrow link."""


@define
class _ReadInFlight:
    """Times of the last received byte and of the start of a read."""

    last_byte_at: float
    started_at: float


@define(kw_only=True)
class Transfer:
    """Transfer of one version to one host; verifies every received chunk.

    Receives events with their time, and returns the reads to start next.

    Invariants: a chunk counts only if its bytes match the digest for its index
    in this version's manifest; nothing is read or accepted after the version
    is dropped; `assert_complete` passes only for a complete version whose bytes
    match the manifest; reads from the origin stay below the cap.

    Parameters
    ----------
    host, place
        This host and its location.
    store
        Store of the chunks, shared with other versions.
    pace
        Time and concurrency limits.
    copies
        Copies to read from the origin, as declared for the service.
    manifest_digest
        The declared digest of the manifest.

    Attributes
    ----------
    preferred
        Chunks (bits) to read before the others.
    yields_to
        A transfer with priority on this host's link: until it is complete,
        this one reads one chunk at a time.
    """

    manifest: Manifest
    host: str
    place: Place
    store: ChunkStore
    pace: PacingConfig
    random: Random
    copies: int = 1
    manifest_digest: str = ''
    dropped: bool = field(default=False, init=False)
    held: int = field(default=0, init=False)
    preferred: int = field(default=0, init=False)
    yields_to: Transfer | None = field(default=None, init=False, repr=False)
    peers: PeerTable = field(init=False)
    origin: OriginReader = field(init=False)
    progress: Progress = field(init=False)
    inbound_link: InboundLink = field(init=False)
    in_flight: dict[Read, _ReadInFlight] = field(factory=dict, init=False)
    _places: Mapping[str, Place] = field(factory=dict, init=False)
    _unassigned_reads: UnassignedReads = field(
        factory=UnassignedReads, init=False
    )
    _verified: bool = field(default=False, init=False)
    _indices_by_digest: dict[str, int] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Count the chunks that the store holds for other versions."""
        self.peers = PeerTable(self.host, self.place, self.pace)
        self.origin = OriginReader(
            version=self.manifest.version,
            host=self.host,
            region=self.place.region,
            count=self.count,
            copies=self.copies,
            pace=self.pace,
        )
        self.progress = Progress(self.manifest.size)
        self.inbound_link = InboundLink(
            self.manifest.chunk_bytes / self.pace.chunk_s,
            self.pace.narrow_share,
        )
        for index, digest in enumerate(self.manifest.chunks):
            self._indices_by_digest[digest] = (
                self._indices_by_digest.get(digest, 0) | 1 << index
            )
        for digest, bits in self._indices_by_digest.items():
            if digest in self.store:
                self._add_held(bits)
        self.progress.held = self.manifest.size_of(indices(self.held))

    @property
    def count(self) -> int:
        """Number of chunks."""
        return len(self.manifest.chunks)

    @property
    def share(self) -> float:
        """Share of chunks held and verified, 0 to 1."""
        return self.held.bit_count() / self.count

    @property
    def complete(self) -> bool:
        """Whether every chunk is held."""
        return self.held == full(self.count)

    @property
    def servable_chunks(self) -> int:
        """The chunks (bits) that can be sent to other hosts now.

        Chunks of a version that is no longer wanted are evicted from the store
        when others need their space.
        """
        return sum(
            bits
            for digest, bits in self._indices_by_digest.items()
            if bits & self.held and digest in self.store
        )

    @property
    def is_sound(self) -> bool:
        """Whether it is not dropped and all held chunks are stored."""
        return not self.dropped and self.held == self.servable_chunks

    def chunk(self, index: int) -> bytes | None:
        """Return a verified chunk's bytes; None if this host doesn't hold it."""
        if not self.held >> index & 1:
            return None
        return self.store.get(self.manifest.chunks[index])

    def on_hosts(self, places: Mapping[str, Place]) -> None:
        """Update the hosts, including this one, that should hold the version."""
        if places == self._places:
            return
        self._places = places
        self.peers.on_hosts(places)
        self.origin.on_hosts(places)

    def on_inventory(self, inventory: PeerInventory, *, now: float) -> None:
        """Record the inventory that a peer reported."""
        self.peers.on_inventory(inventory, now)

    def on_no_answer(self, host: str, *, now: float) -> None:
        """Record that a peer did not answer."""
        self.peers.on_no_answer(host, now)

    def peers_to_query(self, *, now: float) -> list[str]:
        """Return the hosts to query for their inventory now."""
        if self.dropped or self.complete:
            return []
        seeds = self.origin.seeds if self.origin.is_seed else ()
        return self.peers.due_queries(seeds, now)

    def next_reads(self, *, now: float) -> list[Read]:
        """Return the reads to start now; they count as started."""
        self.inbound_link.on_reads(len(self.in_flight), now=now)
        self.origin.yields = self.origin.is_slow and self.peers.has_reader(
            self.count
        )
        max_reads = _reads_at_once(self.pace, self.yields_to)
        if self.inbound_link.is_narrow(now):
            # Silent reads may be due to their sources: another one may run.
            max_reads = 1 + min(
                _count_silent(self.in_flight, now - self.pace.stall_s),
                MAX_SILENT_READS,
            )
        free_slots = max_reads - len(self.in_flight)
        if self.dropped or self.complete or free_slots <= 0:
            return []
        read_candidates = self._read_candidates()
        sources = self.peers.sources(
            now,
            importable=read_candidates.importable,
            all_chunks=full(self.count),
        )
        reads = plan_reads(
            read_candidates,
            sources,
            free_slots=free_slots,
            origin_free_slots=self.origin.free_slots(now),
            random=self.random,
            order=self.pace.order,
        )
        for read in reads:
            self._start(read, now)
        if len(reads) < free_slots:
            reads += self._unassigned_read(sources, now)
        return reads

    def _unassigned_read(self, sources: list[Source], now: float) -> list[Read]:
        if self.in_flight:
            self._unassigned_reads.on_active(now)
        read_candidates = self._read_candidates()
        availability = ChunkAvailability(
            count=self.count,
            held=self.held,
            missing=read_candidates.missing,
            primary=read_candidates.primary,
            sources=sources,
            incomplete_hosts=self.peers.count_incomplete(self.count),
            readers=len(self.origin.seeds),
        )
        read = self._unassigned_reads.next_read(
            availability,
            self.pace,
            self.random,
            now=now,
            has_origin_capacity=not self.origin.reading
            and self.origin.free_slots(now) > 0,
        )
        if read is None:
            return []
        self._start(read, now)
        return [read]

    def overdue(self, *, now: float) -> list[Read]:
        """Return the stalled reads, to be ended with `on_failed`.

        The timeout is longer on a narrow link. Otherwise each read is
        abandoned before its bytes pass the link's queue, the next one adds
        more to the queue, and no chunk arrives.
        """
        stall_factor = (
            NARROW_STALL_FACTOR if self.inbound_link.is_narrow(now) else 1
        )
        return [
            read
            for read, read_state in self.in_flight.items()
            if now - read_state.last_byte_at >= stall_factor * self.pace.stall_s
        ]

    def on_bytes_received(
        self, read: Read, *, now: float, size: int = 0
    ) -> None:
        """Record received bytes of a read."""
        self.inbound_link.on_bytes(size, now=now)
        read_state = self.in_flight.get(read)
        if read_state is not None:
            read_state.last_byte_at = now

    def on_chunk(self, read: Read, payload: bytes, *, now: float) -> bool:
        """Process a received chunk and return whether its bytes are valid.

        It may arrive late, after the read was abandoned or the version was
        dropped; each chunk is verified independently of earlier events.
        """
        read_state = self.in_flight.get(read)
        self._end(read)
        if self.dropped:
            return False
        is_valid = self._store_chunk(read.index, payload, now)
        if read_state is not None and is_valid and isinstance(read, FromOrigin):
            self.origin.on_read_time(now - read_state.started_at, now=now)
        self._update_source(read, is_valid=is_valid, now=now)
        return is_valid

    def on_local_chunk(self, index: int, payload: bytes, *, now: float) -> bool:
        """Store a chunk found locally and return whether its bytes are valid.

        Invalid bytes are not counted against any source. If they counted as
        read from the origin, at each new version every host would find chunks
        of the previous one at its engine and avoid the origin for half a
        second, while no host holds a chunk of the new version.
        """
        return not self.dropped and self._store_chunk(index, payload, now)

    def _store_chunk(self, index: int, payload: bytes, now: float) -> bool:
        """Store a chunk's bytes and return whether they match its digest."""
        digest = self.manifest.chunks[index]
        if not self.store.put(digest, payload):
            return False
        added = self._indices_by_digest[digest] & ~self.held
        if added:
            self._add_held(added)
            self.progress.on_bytes(self.manifest.size_of(indices(added)), now)
        return True

    def on_failed(
        self,
        read: Read,
        *,
        now: float,
        was_sent: bool = True,
    ) -> None:
        """Record that a read ended without its chunk.

        ``was_sent`` is false if the source certainly sent no byte.
        """
        if not self._end(read):
            return
        match read:
            case FromPeer(host=host):
                self.peers.on_stalled(host, now)
            case FromOrigin(index=index):
                self.origin.on_failed(index, was_sent=was_sent, now=now)

    def on_busy(self, read: FromPeer, *, now: float) -> None:
        """Record that a peer had no free slot or no longer held the chunk."""
        self._end(read)
        self.peers.on_busy(read.host, now)

    def abandon_reads(self) -> None:
        """Discard the reads in flight, as the tasks that made them ended."""
        for read in list(self.in_flight):
            self._end(read)

    def drop(self) -> None:
        """Drop the version; its chunks stay in the store for other versions."""
        self.dropped = True
        self.abandon_reads()

    def assert_complete(self) -> None:
        """Verify the complete version before any of it is loaded.

        Raises
        ------
        InvariantError
            If a chunk is missing, the digest of the complete version differs,
            or the version was dropped.
        """
        if not self._verified:
            self._verified = self.manifest.is_verified(self.chunk)
        if not (self._verified and self.complete and self.is_sound):
            raise InvariantError(
                f'{self.manifest.version} is not whole; it is not loaded',
                step='verify',
            )

    def waits_for(self) -> list[str]:
        """Return short descriptions of the sources in use or awaited."""
        if self.complete:
            return []
        reading = Counter(_source_of(read) for read in self.in_flight)
        listed = [
            f'{count} from {source}'
            for source, count in reading.most_common(MAX_SOURCES_LISTED)
        ]
        if listed:
            return listed
        missing = full(self.count) & ~self.held
        index = next(indices(missing))
        assigned_reader = self.origin.assigned_reader(index, self._is_skipped)
        return [
            f'chunk {index}, which {assigned_reader or "nobody"} reads first'
        ]

    def _read_candidates(self) -> ReadCandidates:
        revision = (self.peers.revision, self.origin.is_failing)
        assignments = self.origin.assignments(
            self._is_skipped, revision, is_absent=self.peers.is_skipped
        )
        being_read = reduce(
            or_, (1 << read.index for read in self.in_flight), 0
        )
        missing = full(self.count) & ~self.held & ~being_read
        return ReadCandidates(
            missing=missing,
            importable=assignments.importable,
            from_origin=assignments.from_origin,
            preferred=self.preferred,
            primary=assignments.primary,
            assigned_reason=self.peers.assigned_reason,
        )

    def _is_skipped(self, host: str, index: int) -> bool:
        """Return whether to replace a host as the reader of a chunk.

        A passed chunk is not a reason while the origin fails here as well:
        once the origin returns, two hosts would read each chunk. A host that
        passes all chunks has spent its share and reads nothing in any case.
        """
        if self.peers.is_skipped(host) or self.peers.passes_all(
            host, self.count
        ):
            return True
        has_passed = self.peers.has_passed(host, index)
        return has_passed and not self.origin.is_failing

    def _start(self, read: Read, now: float) -> None:
        match read:
            case FromPeer(host=host):
                self.peers.peers[host].reading += 1
            case FromOrigin(index=index, reason=reason):
                self.origin.on_started(index, reason)
        self.in_flight[read] = _ReadInFlight(now, now)

    def _end(self, read: Read) -> bool:
        if self.in_flight.pop(read, None) is None:
            return False
        match read:
            case FromPeer(host=host):
                self.peers.on_ended(host)
            case FromOrigin(index=index):
                self.origin.on_ended(index)
        return True

    def _update_source(self, read: Read, *, is_valid: bool, now: float) -> None:
        """Credit or penalize the source of a chunk."""
        match read:
            case FromPeer(host=host) if is_valid:
                self.peers.on_delivered(host)
            case FromPeer(host=host):
                self.peers.on_corrupted(host, now)
            case FromOrigin() if is_valid:
                self.origin.on_delivered()
            case FromOrigin(index=index):
                self.origin.on_corrupted(index, now=now)

    def _add_held(self, bits: int) -> None:
        self.held |= bits
        for index in indices(bits):
            self.origin.on_held(index)


def _reads_at_once(pace: PacingConfig, yields_to: Transfer | None) -> int:
    if yields_to is None or yields_to.complete or yields_to.dropped:
        return pace.reads_at_once
    return 1


def _count_silent(in_flight: Mapping[Read, _ReadInFlight], since: float) -> int:
    """Return the number of reads without a byte since a time."""
    return sum(
        read_state.last_byte_at <= since for read_state in in_flight.values()
    )


def _source_of(read: Read) -> str:
    match read:
        case FromPeer(host=host):
            return host
        case FromOrigin():
            return 'the origin'
