"""Hosts that run the daemon's transfer aggregate over rate-limited links.

All decisions (reads, inventory queries, suspicion and the assigned readers of
the origin) are made by `crowrudder_core.transfer`. This module moves chunks
over links and passes each event and its time to the host's transfer.
"""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Any

import attrs
from _weights_links import MICROS, Clock, Link, SharedLink
from attrs import define, field, frozen

from crowrudder_core.transfer import (
    ChunkStore,
    FromOrigin,
    FromPeer,
    Manifest,
    PeerInventory,
    Place,
    Transfer,
    start_transfer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.transfer import Read

CHUNK_BYTES = 32
CHUNK_US = 500_000
"""Half a second per chunk: with 256 chunks a copy takes 128 s, T is 256 s."""

LINK_BYTES_PER_S = CHUNK_BYTES * MICROS / CHUNK_US
ORIGIN_CHUNK_US = CHUNK_US // 2
DOMAIN_US = 1500
REGION_US = 3000
TICK_US = 100_000
NO_ANSWER_TIMEOUT_US = MICROS
UPLOAD_SLOTS = 2
REGIONS = 2
DOMAINS = 3


@frozen(kw_only=True)
class Links:
    """Rates of the links, and intervals between the messages of hosts.

    Parameters
    ----------
    chunk_us, sent_us, origin_us
        Microseconds that a chunk takes on a host's link, on the share of it
        that live answers leave for uploads, and on the origin's link.
    tick_us
        Interval at which a host checks which chunks it can read.
    inventory_interval_us
        Interval at which a host sends its inventory to the others; 0 if
        they only query it.
    slots
        Chunks that a host sends concurrently.
    regions, domains
        Number of regions, and of failure domains in each.
    """

    chunk_us: int = CHUNK_US
    sent_us: int = CHUNK_US
    origin_us: int = ORIGIN_CHUNK_US
    tick_us: int = TICK_US
    inventory_interval_us: int = 0
    slots: int = UPLOAD_SLOTS
    regions: int = REGIONS
    domains: int = DOMAINS

    @property
    def bytes_per_s(self) -> float:
        """Rate of a host's link."""
        return CHUNK_BYTES * MICROS / self.chunk_us

    def place_of(self, number: int) -> Place:
        """Return a host's place, spread over regions and failure domains."""
        region = number % self.regions
        domain = number // self.regions % self.domains
        return Place(f'r{region}', f'r{region}-{domain}')


@frozen(kw_only=True)
class Scene:
    """Settings of a run; ``changes`` override each host's pacing."""

    hosts: int = 8
    chunks: int = 256
    copies: int = 1
    seed: int = 1
    killed_share: float = 0
    kill_at: float = 0.5
    corrupted_share: float = 0
    half_duplex: bool = False
    stalled_share: float = 0
    changes: dict[str, Any] = field(factory=dict)
    links: Links = field(factory=Links)

    @property
    def bound_us(self) -> int:
        """Time of one copy over a host's link: T/2."""
        return self.chunks * self.links.chunk_us


def make_version(name: str, chunks: int, seed: int) -> tuple[Manifest, list]:
    """Return the manifest and the chunks of a version of random bytes."""
    rng = random.Random(seed)
    payloads = [rng.randbytes(CHUNK_BYTES) for _ in range(chunks)]
    manifest = Manifest(
        version=name,
        chunk_bytes=CHUNK_BYTES,
        size=chunks * CHUNK_BYTES,
        digest=hashlib.sha256(b''.join(payloads)).hexdigest(),
        chunks=tuple(hashlib.sha256(each).hexdigest() for each in payloads),
    )
    return manifest, payloads


def place_of(number: int) -> Place:
    """Return a host's place in 2 regions with 3 failure domains each."""
    return Links().place_of(number)


@define(eq=False)
class Host:
    """A host: its transfer, its links and its upload slots."""

    name: str
    place: Place
    transfer: Transfer
    up: Link
    down: Link
    alive: bool = True
    slots: int = 0
    done_at: int | None = None
    stalls: bool = False
    spoils: bool = False
    frozen: bool = False

    upload_slots: int = UPLOAD_SLOTS

    def inventory(self) -> PeerInventory:
        """Return the inventory that the host sends to its peers."""
        return PeerInventory(
            host=self.name,
            chunks=self.transfer.held,
            passes=self.transfer.origin.passes,
            busy=self.slots,
            slots=self.upload_slots,
        )


class Fleet:
    """All hosts of a service that load one version."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.clock = Clock()
        self.origin = SharedLink(self.clock, scene.links.origin_us)
        self.origin_up = True
        self.random = random.Random(scene.seed)
        self.manifest, self.payloads = make_version('v1', scene.chunks, 7)
        self.events: Counter[str] = Counter()
        places = {f'h{n}': scene.links.place_of(n) for n in range(scene.hosts)}
        self.hosts = {
            name: self._host(name, place) for name, place in places.items()
        }
        self.sides: dict[str, int] = {}
        for host in self.hosts.values():
            self.join(host, places)

    def join(self, host: Host, places: dict[str, Place]) -> None:
        """Start a host with the list of hosts that it knows."""
        self.hosts[host.name] = host
        host.transfer.on_hosts(places)
        links = self.scene.links
        starts_at = self.clock.now + self.random.randrange(links.tick_us)
        self.clock.at(starts_at, partial(self._tick, host))
        if links.inventory_interval_us:
            self.clock.at(starts_at, partial(self._send_inventory, host))

    def new_host(self, number: int) -> Host:
        """Return a host that has not been started."""
        return self._host(f'h{number}', self.scene.links.place_of(number))

    @property
    def places(self) -> dict[str, Place]:
        """Places of all hosts by name."""
        return {name: host.place for name, host in self.hosts.items()}

    def run(self, *, until_us: int | None = None) -> None:
        """Run until every live host holds all chunks, or until a time."""
        self._plan_faults()
        while self.clock.step():
            if until_us is not None and self.clock.now >= until_us:
                return
            if all(
                host.done_at is not None or not host.alive
                for host in self.waiting()
            ):
                return

    def waiting(self) -> list[Host]:
        """Return the hosts whose version is incomplete, dead ones included."""
        return [host for host in self.hosts.values() if host.done_at is None]

    @property
    def time_over_bound(self) -> float:
        """Time until the last live host was verified as complete, over T/2."""
        last = max(
            host.done_at or self.clock.now
            for host in self.hosts.values()
            if host.alive
        )
        return last / self.scene.bound_us

    @property
    def origin_copies(self) -> float:
        """Copies sent by the origin."""
        return self.origin.copies / self.scene.chunks

    @property
    def region_copies(self) -> float:
        """Copies sent from one region to another."""
        return self.events['across'] / self.scene.chunks

    def kill(self, names: list[str]) -> None:
        """Stop hosts for good."""
        for name in names:
            self.hosts[name].alive = False

    def _host(self, name: str, place: Place) -> Host:
        seed = self.random.randrange(1 << 30)
        store = ChunkStore(self.manifest.size)
        store.want([self.manifest])
        transfer = start_transfer(
            self.manifest,
            host=name,
            place=place,
            store=store,
            link_bytes_per_s=self.scene.links.bytes_per_s,
            random=random.Random(seed),
            copies=self.scene.copies,
        )
        pacing = attrs.evolve(transfer.pace, **self.scene.changes)
        transfer.pace = transfer.peers.pace = transfer.origin.pace = pacing
        up = Link()
        down = up if self.scene.half_duplex else Link()
        slots = self.scene.links.slots
        return Host(name, place, transfer, up, down, upload_slots=slots)

    def _plan_faults(self) -> None:
        scene = self.scene
        names = sorted(self.hosts)
        if scene.killed_share:
            count = round(scene.killed_share * len(names))
            chosen = self.random.sample(names, count)
            when = int(scene.kill_at * scene.bound_us)
            self.clock.at(when, partial(self.kill, chosen))
        if scene.stalled_share:
            count = round(scene.stalled_share * len(names))
            for name in self.random.sample(names, count):
                self.hosts[name].stalls = True

    def _tick(self, host: Host) -> None:
        if host.alive and host.done_at is None:
            if not host.frozen:
                self._advance(host)
            tick_us = self.scene.links.tick_us
            self.clock.at(self.clock.now + tick_us, partial(self._tick, host))

    def _send_inventory(self, host: Host) -> None:
        """Send a host's inventory to all others, now and periodically."""
        if not host.alive or host.frozen:
            return
        inventory = host.inventory()
        for other in self.hosts.values():
            if other is not host and self._reaches(host, other):
                self._after(
                    _latency_us(host, other),
                    partial(self._on_inventory, other, inventory),
                )
        inventory_interval_us = self.scene.links.inventory_interval_us
        self.clock.at(
            self.clock.now + inventory_interval_us,
            partial(self._send_inventory, host),
        )

    def _advance(self, host: Host) -> None:
        now = self.clock.now_s
        transfer = host.transfer
        for read in transfer.overdue(now=now):
            self.events['stalled'] += 1
            transfer.on_failed(read, now=now)
        for name in transfer.peers_to_query(now=now):
            self.events['asked'] += 1
            self._query(host, self.hosts[name])
        for read in transfer.next_reads(now=now):
            self._start(host, read)

    def _start(self, host: Host, read: Read) -> None:
        match read:
            case FromPeer(host=name):
                source = self.hosts[name]
                self._after(
                    _latency_us(host, source),
                    partial(self._serve, source, host, read),
                )
            case FromOrigin():
                self._read_from_origin(host, read)

    def _query(self, host: Host, peer: Host) -> None:
        if not self._reaches(host, peer):
            self._after(
                NO_ANSWER_TIMEOUT_US,
                partial(self._on_no_answer, host, peer.name),
            )
            return
        latency_us = _latency_us(host, peer)
        inventory = peer.inventory()
        self._after(
            2 * latency_us, partial(self._on_inventory, host, inventory)
        )

    def _on_no_answer(self, host: Host, name: str) -> None:
        host.transfer.on_no_answer(name, now=self.clock.now_s)

    def _on_inventory(self, host: Host, inventory: PeerInventory) -> None:
        host.transfer.on_inventory(inventory, now=self.clock.now_s)
        self._advance_if_alive(host)

    def _serve(self, source: Host, host: Host, read: FromPeer) -> None:
        latency_us = _latency_us(host, source)
        if not self._reaches(host, source):
            self._after(
                NO_ANSWER_TIMEOUT_US, partial(self._on_failed, host, read)
            )
            return
        if source.slots >= source.upload_slots:
            self.events['busy'] += 1
            inventory = source.inventory()
            self._after(
                latency_us, partial(self._on_busy, host, read, inventory)
            )
            return
        source.slots += 1
        begin, end = source.up.reserve(self.clock.now, self.scene.links.sent_us)
        self.clock.at(end, partial(self._on_sent, source, host, read, begin))

    def _on_sent(
        self,
        source: Host,
        host: Host,
        read: FromPeer,
        began: int,
    ) -> None:
        source.slots -= 1
        if not self._reaches(host, source) or source.stalls:
            return
        if source.place.region != host.place.region:
            self.events['across'] += 1
        latency_us = _latency_us(host, source)
        self._schedule_arrival(
            host, read, began + latency_us, latency_us, source.inventory()
        )

    def _read_from_origin(self, host: Host, read: FromOrigin) -> None:
        if not self.origin_up:
            self._after(
                REGION_US, partial(self._on_failed, host, read, was_sent=False)
            )
            return
        self.origin.send(
            lambda: host.transfer.on_bytes_received(read, now=self.clock.now_s),
            lambda began: self._schedule_arrival(
                host, read, began, REGION_US, None
            ),
        )

    def _schedule_arrival(
        self,
        host: Host,
        read: Read,
        began: int,
        latency_us: int,
        inventory: PeerInventory | None,
    ) -> None:
        """Schedule a chunk's arrival over the receiver's link.

        The chunk is forwarded while it is still being sent, so it occupies
        the link from ``began`` at the earliest.
        """
        down = host.down
        # A half-duplex link cannot receive a chunk while it sends another.
        chunk_us = self.scene.links.chunk_us
        earliest = self.clock.now - chunk_us if down is host.up else began
        start = max(earliest, down.free_at)
        down.free_at = start + chunk_us
        arrives = max(start + chunk_us, self.clock.now + latency_us)
        self.clock.at(arrives, partial(self._receive, host, read, inventory))

    def _receive(
        self, host: Host, read: Read, inventory: PeerInventory | None
    ) -> None:
        if not host.alive or host.frozen:
            return
        payload = self.payloads[read.index]
        if self._is_corrupted(read):
            self.events['corrupted'] += 1
            payload = payload[::-1]
        transfer = host.transfer
        if inventory is not None:
            transfer.on_inventory(inventory, now=self.clock.now_s)
        transfer.on_bytes_received(
            read, now=self.clock.now_s, size=len(payload)
        )
        was_held = transfer.held >> read.index & 1
        transfer.on_chunk(read, payload, now=self.clock.now_s)
        self.events['doubled'] += was_held
        self.events[type(read).__name__] += 1
        if transfer.complete and host.done_at is None:
            transfer.assert_complete()
            host.done_at = self.clock.now
        self._advance(host)

    def _is_corrupted(self, read: Read) -> bool:
        if isinstance(read, FromPeer) and self.hosts[read.host].spoils:
            self.events['from_spoiler'] += 1
            return True
        return self.random.random() < self.scene.corrupted_share

    def _on_busy(
        self, host: Host, read: FromPeer, inventory: PeerInventory
    ) -> None:
        host.transfer.on_inventory(inventory, now=self.clock.now_s)
        host.transfer.on_busy(read, now=self.clock.now_s)
        self._advance_if_alive(host)

    def _on_failed(
        self, host: Host, read: Read, *, was_sent: bool = True
    ) -> None:
        host.transfer.on_failed(read, now=self.clock.now_s, was_sent=was_sent)
        self._advance_if_alive(host)

    def _advance_if_alive(self, host: Host) -> None:
        if host.alive and not host.frozen:
            self._advance(host)

    def _reaches(self, host: Host, other: Host) -> bool:
        same = self.sides.get(host.name, 0) == self.sides.get(other.name, 0)
        awake = host.alive and other.alive and not other.frozen
        return awake and same

    def _after(self, delay_us: int, call: Callable[[], None]) -> None:
        self.clock.at(self.clock.now + delay_us, call)


def _latency_us(host: Host, other: Host) -> int:
    """Return the one-way latency in microseconds."""
    same = host.place.region == other.place.region
    return DOMAIN_US if same else REGION_US
