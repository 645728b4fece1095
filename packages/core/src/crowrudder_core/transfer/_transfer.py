"""The aggregate of one version's transfer to one host."""

from __future__ import annotations

from collections import Counter
from functools import reduce
from operator import or_
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.transfer._chunk_sets import full, indices
from crowrudder_core.transfer._inbound_link import Inflow
from crowrudder_core.transfer._origin import OriginDuty
from crowrudder_core.transfer._peers import PeerBook, Place, Stock
from crowrudder_core.transfer._planner import (
    FromOrigin,
    FromPeer,
    Read,
    Source,
    Wants,
    plan_reads,
)
from crowrudder_core.transfer._progress import Progress
from crowrudder_core.transfer._unassigned_reads import Holdings, OutOfTurn
from crowrudder_model import InvariantError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from crowrudder_core.transfer._manifest import Manifest
    from crowrudder_core.transfer._pacing import Pace
    from crowrudder_core.transfer._store import ChunkStore

MOST_WAITS = 3
NARROW_PATIENCE = 4
"""Times as long as usual that a read may stall on a narrow link."""

MOST_SILENT = 2
"""Silent reads beside which another one goes on over a narrow link."""


@define
class _Flight:
    """A read on its way, and when its last byte came."""

    moved_at: float
    began_at: float


@define(kw_only=True)
class Transfer:
    """One version on its way to one host; every chunk verified as it comes.

    It takes what happened and the time, and gives the reads to start next.

    Invariants: a chunk counts only if its bytes have the digest that exactly
    this version's manifest gives for its index; nothing is read or taken
    after the version was dropped; `assert_whole` passes only for a whole
    whose bytes match the manifest; reads from the origin stay below the cap.

    Parameters
    ----------
    host, place
        This host and where it stands.
    store
        Where the chunks are held, together with those of other versions.
    pace
        Times and counts.
    copies
        Copies that the service declares to take from the origin.
    manifest_digest
        The digest by which the files declare the manifest.

    Attributes
    ----------
    first
        Chunks (bits) that this host wants before the others.
    goes_behind
        A version that goes first on this host's link: until it is complete,
        one chunk of this one is read at a time.
    """

    manifest: Manifest
    host: str
    place: Place
    store: ChunkStore
    pace: Pace
    random: Random
    copies: int = 1
    manifest_digest: str = ''
    dropped: bool = field(default=False, init=False)
    held: int = field(default=0, init=False)
    first: int = field(default=0, init=False)
    goes_behind: Transfer | None = field(default=None, init=False, repr=False)
    peers: PeerBook = field(init=False)
    origin: OriginDuty = field(init=False)
    progress: Progress = field(init=False)
    inflow: Inflow = field(init=False)
    flights: dict[Read, _Flight] = field(factory=dict, init=False)
    _places: Mapping[str, Place] = field(factory=dict, init=False)
    _out_of_turn: OutOfTurn = field(factory=OutOfTurn, init=False)
    _verified: bool = field(default=False, init=False)
    _same: dict[str, int] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Count the chunks that another version brought already."""
        self.peers = PeerBook(self.host, self.place, self.pace)
        self.origin = OriginDuty(
            version=self.manifest.version,
            host=self.host,
            region=self.place.region,
            count=self.count,
            copies=self.copies,
            pace=self.pace,
        )
        self.progress = Progress(self.manifest.size)
        self.inflow = Inflow(
            self.manifest.chunk_bytes / self.pace.chunk_s,
            self.pace.narrow_share,
        )
        for index, digest in enumerate(self.manifest.chunks):
            self._same[digest] = self._same.get(digest, 0) | 1 << index
        for digest, bits in self._same.items():
            if digest in self.store:
                self._note_held(bits)
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
    def at_hand(self) -> int:
        """The chunks (bits) that can be given to others now.

        Chunks of a version that is no longer wanted leave the store when
        others need their room.
        """
        return sum(
            bits
            for digest, bits in self._same.items()
            if bits & self.held and digest in self.store
        )

    @property
    def is_sound(self) -> bool:
        """Whether it can go on: not dropped, and all it counts is there."""
        return not self.dropped and self.held == self.at_hand

    def chunk(self, index: int) -> bytes | None:
        """Give a chunk's bytes, if this host holds it verified."""
        if not self.held >> index & 1:
            return None
        return self.store.get(self.manifest.chunks[index])

    def on_hosts(self, places: Mapping[str, Place]) -> None:
        """Take the hosts that shall have this version, this one included."""
        if places == self._places:
            return
        self._places = places
        self.peers.on_hosts(places)
        self.origin.on_hosts(places)

    def on_stock(self, stock: Stock, *, now: float) -> None:
        """Take a peer's word on what it holds."""
        self.peers.on_stock(stock, now)

    def on_silence(self, host: str, *, now: float) -> None:
        """Note that a peer didn't answer."""
        self.peers.on_silence(host, now)

    def peers_to_ask(self, *, now: float) -> list[str]:
        """Give the hosts to ask for their chunks now."""
        if self.dropped or self.complete:
            return []
        seeds = self.origin.seeds if self.origin.is_seed else ()
        return self.peers.to_ask(seeds, now)

    def next_reads(self, *, now: float) -> list[Read]:
        """Give the reads to start now; they count as started."""
        self.inflow.on_reads(len(self.flights), now=now)
        most = _reads_at_once(self.pace, self.goes_behind)
        if self.inflow.is_narrow(now):
            # Sources may be silent as well: one read goes on beside them.
            most = 1 + min(
                _silent(self.flights, now - self.pace.stall_s), MOST_SILENT
            )
        room = most - len(self.flights)
        if self.dropped or self.complete or room <= 0:
            return []
        wants = self._wants()
        sources = self.peers.sources(
            now, importable=wants.importable, whole=full(self.count)
        )
        reads = plan_reads(
            wants,
            sources,
            room=room,
            origin_room=self.origin.room(now),
            random=self.random,
            order=self.pace.order,
        )
        for read in reads:
            self._start(read, now)
        if len(reads) < room:
            reads += self._read_out_of_turn(sources, now)
        return reads

    def _read_out_of_turn(
        self, sources: list[Source], now: float
    ) -> list[Read]:
        if self.flights:
            self._out_of_turn.on_fed(now)
        wants = self._wants()
        seen = Holdings(
            count=self.count,
            held=self.held,
            missing=wants.missing,
            own=wants.own,
            sources=sources,
            lacking=self.peers.lacking(self.count),
            readers=len(self.origin.seeds),
        )
        read = self._out_of_turn.next_read(
            seen,
            self.pace,
            self.random,
            now=now,
            may_help=not self.origin.reading and self.origin.room(now) > 0,
        )
        if read is None:
            return []
        self._start(read, now)
        return [read]

    def overdue(self, *, now: float) -> list[Read]:
        """Give the reads that stall, to be ended with `on_failed`.

        What goes wrong when they are given up as soon on a link that has
        become narrow: each read is given up before its bytes come through the
        link's queue, the next one puts more into it, and no chunk arrives.
        """
        patience = NARROW_PATIENCE if self.inflow.is_narrow(now) else 1
        return [
            read
            for read, flight in self.flights.items()
            if now - flight.moved_at >= patience * self.pace.stall_s
        ]

    def on_moved(self, read: Read, *, now: float, size: int = 0) -> None:
        """Note that some bytes of a read came."""
        self.inflow.on_bytes(size, now=now)
        flight = self.flights.get(read)
        if flight is not None:
            flight.moved_at = now

    def on_chunk(self, read: Read, payload: bytes, *, now: float) -> bool:
        """Take a chunk's bytes; false when they are of no use.

        They may come late, after the read was given up or the version was
        dropped: each is verified by itself, whatever came before.
        """
        flight = self.flights.get(read)
        self._end(read)
        if self.dropped:
            return False
        is_good = self._keep(read.index, payload, now)
        if flight is not None and is_good and isinstance(read, FromOrigin):
            self.origin.on_took(now - flight.began_at, now=now)
        self._judge(read, is_good=is_good, now=now)
        return is_good

    def on_found(self, index: int, payload: bytes, *, now: float) -> bool:
        """Take bytes that lay at hand; false when they aren't the chunk's.

        Wrong ones blame nobody. What goes wrong when they count as read from
        the origin: at each new version every host finds the one before at its
        engine, and leaves the origin alone for half a second, while nobody
        has a chunk of the new one.
        """
        return not self.dropped and self._keep(index, payload, now)

    def _keep(self, index: int, payload: bytes, now: float) -> bool:
        """Hold a chunk's bytes, if they are exactly these."""
        digest = self.manifest.chunks[index]
        if not self.store.put(digest, payload):
            return False
        fresh = self._same[digest] & ~self.held
        if fresh:
            self._note_held(fresh)
            self.progress.on_bytes(self.manifest.size_of(indices(fresh)), now)
        return True

    def on_failed(
        self,
        read: Read,
        *,
        now: float,
        was_sent: bool = True,
    ) -> None:
        """Note that a read ended without its chunk.

        ``was_sent`` is false when the source surely sent no byte.
        """
        if not self._end(read):
            return
        match read:
            case FromPeer(host=host):
                self.peers.on_stalled(host, now)
            case FromOrigin(index=index):
                self.origin.on_failed(index, was_sent=was_sent, now=now)

    def on_busy(self, read: FromPeer, *, now: float) -> None:
        """Note that a peer had no free slot, or the chunk no longer."""
        self._end(read)
        self.peers.on_busy(read.host, now)

    def abandon_reads(self) -> None:
        """Forget the reads on their way, as those who made them ended."""
        for read in list(self.flights):
            self._end(read)

    def drop(self) -> None:
        """Give the version up; what is held stays for other versions."""
        self.dropped = True
        self.abandon_reads()

    def assert_whole(self) -> None:
        """Verify the whole before anything of it is loaded.

        Raises
        ------
        InvariantError
            When a chunk is missing, the whole has another digest, or the
            version was dropped.
        """
        if not self._verified:
            self._verified = self.manifest.is_verified(self.chunk)
        if not (self._verified and self.complete and self.is_sound):
            raise InvariantError(
                f'{self.manifest.version} is not whole; it is not loaded',
                step='verify',
            )

    def waits_for(self) -> list[str]:
        """Say in a few words from whom chunks come or are waited for."""
        if self.complete:
            return []
        reading = Counter(_source_of(read) for read in self.flights)
        said = [
            f'{count} from {source}'
            for source, count in reading.most_common(MOST_WAITS)
        ]
        if said:
            return said
        missing = full(self.count) & ~self.held
        index = next(indices(missing))
        reader = self.origin.reader(index, self._is_out)
        return [f'chunk {index}, which {reader or "nobody"} reads first']

    def _wants(self) -> Wants:
        stamp = (self.peers.stamp, self.origin.is_failing)
        turns = self.origin.turns(
            self._is_out, stamp, is_away=self.peers.is_out
        )
        under_way = reduce(or_, (1 << read.index for read in self.flights), 0)
        missing = full(self.count) & ~self.held & ~under_way
        return Wants(
            missing=missing,
            importable=turns.importable,
            from_origin=turns.from_origin,
            first=self.first,
            own=turns.own,
            turn_reason=self.peers.turn_reason,
        )

    def _is_out(self, host: str, index: int) -> bool:
        """Whether to step in for a host.

        That it passes a chunk says nothing while the origin fails here as
        well: when it came back, two would read each chunk. One that passes
        all has spent its share, and reads nothing whatever the origin does.
        """
        if self.peers.is_out(host) or self.peers.passes_all(host, self.count):
            return True
        passed = self.peers.passed(host, index)
        return passed and not self.origin.is_failing

    def _start(self, read: Read, now: float) -> None:
        match read:
            case FromPeer(host=host):
                self.peers.peers[host].reading += 1
            case FromOrigin(index=index, reason=reason):
                self.origin.on_started(index, reason)
        self.flights[read] = _Flight(now, now)

    def _end(self, read: Read) -> bool:
        if self.flights.pop(read, None) is None:
            return False
        match read:
            case FromPeer(host=host):
                self.peers.on_ended(host)
            case FromOrigin(index=index):
                self.origin.on_ended(index)
        return True

    def _judge(self, read: Read, *, is_good: bool, now: float) -> None:
        """Credit or blame the source of a chunk."""
        match read:
            case FromPeer(host=host) if is_good:
                self.peers.on_good(host)
            case FromPeer(host=host):
                self.peers.on_corrupted(host, now)
            case FromOrigin() if is_good:
                self.origin.on_good()
            case FromOrigin(index=index):
                self.origin.on_corrupted(index, now=now)

    def _note_held(self, bits: int) -> None:
        self.held |= bits
        for index in indices(bits):
            self.origin.on_held(index)


def _reads_at_once(pace: Pace, goes_behind: Transfer | None) -> int:
    if goes_behind is None or goes_behind.complete or goes_behind.dropped:
        return pace.reads_at_once
    return 1


def _silent(flights: Mapping[Read, _Flight], since: float) -> int:
    """Count the reads without a byte since then."""
    return sum(flight.moved_at <= since for flight in flights.values())


def _source_of(read: Read) -> str:
    match read:
        case FromPeer(host=host):
            return host
        case FromOrigin():
            return 'the origin'
