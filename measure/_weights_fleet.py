"""Hosts that run the daemon's transfer aggregate over rate-limited links.

Nothing of the decisions stands here: reads, polls, suspicion and the origin's
turn come from `crowrudder_core.transfer`. This module moves chunks over links
and tells each host's transfer what happened, and when.
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
"""Half a second a chunk: with 256 chunks a copy takes 128 s, T is 256 s."""

LINK_BYTES_PER_S = CHUNK_BYTES * MICROS / CHUNK_US
ORIGIN_CHUNK_US = CHUNK_US // 2
DOMAIN_US = 1500
REGION_US = 3000
TICK_US = 100_000
SILENCE_US = MICROS
UPLOAD_SLOTS = 2
REGIONS = 2
DOMAINS = 3


@frozen(kw_only=True)
class Links:
    """What links carry, and how soon hosts hear of each other.

    Parameters
    ----------
    chunk_us, sent_us, origin_us
        Microseconds of a chunk on a host's link, on the part of it that live
        answers leave, and on the origin's link.
    tick_us
        Between two looks of a host at what it might read.
    news_us
        Between two words of a host to all others on what it holds; 0 where
        they ask.
    slots
        Chunks that a host sends at once.
    regions, domains
        Regions, and failure domains in each.
    """

    chunk_us: int = CHUNK_US
    sent_us: int = CHUNK_US
    origin_us: int = ORIGIN_CHUNK_US
    tick_us: int = TICK_US
    news_us: int = 0
    slots: int = UPLOAD_SLOTS
    regions: int = REGIONS
    domains: int = DOMAINS

    @property
    def bytes_per_s(self) -> float:
        """What a host's link carries."""
        return CHUNK_BYTES * MICROS / self.chunk_us

    def place_of(self, number: int) -> Place:
        """Spread hosts over regions and their failure domains."""
        region = number % self.regions
        domain = number // self.regions % self.domains
        return Place(f'r{region}', f'r{region}-{domain}')


@frozen(kw_only=True)
class Scene:
    """What a run is like; ``changes`` go to each host's pace."""

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
        """A copy over a machine's link: T/2."""
        return self.chunks * self.links.chunk_us


def make_version(name: str, chunks: int, seed: int) -> tuple[Manifest, list]:
    """Make a version of random bytes."""
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
    """Spread hosts over 2 regions with 3 failure domains each."""
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

    def stock(self) -> PeerInventory:
        """Tell what it says of itself."""
        return PeerInventory(
            host=self.name,
            chunks=self.transfer.held,
            passes=self.transfer.origin.passes,
            busy=self.slots,
            slots=self.upload_slots,
        )


class Fleet:
    """All hosts of a service that get one version."""

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
        """Let a host begin, with the hosts that it knows of."""
        self.hosts[host.name] = host
        host.transfer.on_hosts(places)
        links = self.scene.links
        begins_at = self.clock.now + self.random.randrange(links.tick_us)
        self.clock.at(begins_at, partial(self._tick, host))
        if links.news_us:
            self.clock.at(begins_at, partial(self._tell, host))

    def new_host(self, number: int) -> Host:
        """Make a host that hasn't begun."""
        return self._host(f'h{number}', self.scene.links.place_of(number))

    @property
    def places(self) -> dict[str, Place]:
        """Where all hosts stand."""
        return {name: host.place for name, host in self.hosts.items()}

    def run(self, *, until_us: int | None = None) -> None:
        """Run until every live host holds all, or up to a time."""
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
        """Hosts that aren't done."""
        return [host for host in self.hosts.values() if host.done_at is None]

    @property
    def time_over_bound(self) -> float:
        """When the last live host held the verified whole, over T/2."""
        last = max(
            host.done_at or self.clock.now
            for host in self.hosts.values()
            if host.alive
        )
        return last / self.scene.bound_us

    @property
    def origin_copies(self) -> float:
        """Copies that left the origin."""
        return self.origin.copies / self.scene.chunks

    @property
    def region_copies(self) -> float:
        """Copies that crossed the region link."""
        return self.events['across'] / self.scene.chunks

    def kill(self, names: list[str]) -> None:
        """Let hosts die."""
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
        pace = attrs.evolve(transfer.pace, **self.scene.changes)
        transfer.pace = transfer.peers.pace = transfer.origin.pace = pace
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

    def _tell(self, host: Host) -> None:
        """Let a host tell all others what it holds."""
        if not host.alive or host.frozen:
            return
        stock = host.stock()
        for other in self.hosts.values():
            if other is not host and self._reaches(host, other):
                self._after(
                    _way(host, other), partial(self._heard, other, stock)
                )
        news_us = self.scene.links.news_us
        self.clock.at(self.clock.now + news_us, partial(self._tell, host))

    def _advance(self, host: Host) -> None:
        now = self.clock.now_s
        transfer = host.transfer
        for read in transfer.overdue(now=now):
            self.events['stalled'] += 1
            transfer.on_failed(read, now=now)
        for name in transfer.peers_to_query(now=now):
            self.events['asked'] += 1
            self._ask(host, self.hosts[name])
        for read in transfer.next_reads(now=now):
            self._start(host, read)

    def _start(self, host: Host, read: Read) -> None:
        match read:
            case FromPeer(host=name):
                source = self.hosts[name]
                self._after(
                    _way(host, source),
                    partial(self._serve, source, host, read),
                )
            case FromOrigin():
                self._from_origin(host, read)

    def _ask(self, host: Host, peer: Host) -> None:
        if not self._reaches(host, peer):
            self._after(SILENCE_US, partial(self._silent, host, peer.name))
            return
        way = _way(host, peer)
        stock = peer.stock()
        self._after(2 * way, partial(self._heard, host, stock))

    def _silent(self, host: Host, name: str) -> None:
        host.transfer.on_no_answer(name, now=self.clock.now_s)

    def _heard(self, host: Host, stock: PeerInventory) -> None:
        host.transfer.on_inventory(stock, now=self.clock.now_s)
        self._advance_if_alive(host)

    def _serve(self, source: Host, host: Host, read: FromPeer) -> None:
        way = _way(host, source)
        if not self._reaches(host, source):
            self._after(SILENCE_US, partial(self._failed, host, read))
            return
        if source.slots >= source.upload_slots:
            self.events['busy'] += 1
            stock = source.stock()
            self._after(way, partial(self._busy, host, read, stock))
            return
        source.slots += 1
        begin, end = source.up.reserve(self.clock.now, self.scene.links.sent_us)
        self.clock.at(end, partial(self._sent, source, host, read, begin))

    def _sent(
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
        way = _way(host, source)
        self._arrive(host, read, began + way, way, source.stock())

    def _from_origin(self, host: Host, read: FromOrigin) -> None:
        if not self.origin_up:
            self._after(
                REGION_US, partial(self._failed, host, read, was_sent=False)
            )
            return
        self.origin.send(
            lambda: host.transfer.on_bytes_received(read, now=self.clock.now_s),
            lambda began: self._arrive(host, read, began, REGION_US, None),
        )

    def _arrive(
        self,
        host: Host,
        read: Read,
        began: int,
        way: int,
        stock: PeerInventory | None,
    ) -> None:
        """Take a chunk off the receiver's link, cut through from ``began``."""
        down = host.down
        # A half-duplex link can't take a chunk while it sends another.
        chunk_us = self.scene.links.chunk_us
        earliest = self.clock.now - chunk_us if down is host.up else began
        start = max(earliest, down.free_at)
        down.free_at = start + chunk_us
        arrives = max(start + chunk_us, self.clock.now + way)
        self.clock.at(arrives, partial(self._take, host, read, stock))

    def _take(
        self, host: Host, read: Read, stock: PeerInventory | None
    ) -> None:
        if not host.alive or host.frozen:
            return
        payload = self.payloads[read.index]
        if self._is_spoilt(read):
            self.events['corrupted'] += 1
            payload = payload[::-1]
        transfer = host.transfer
        if stock is not None:
            transfer.on_inventory(stock, now=self.clock.now_s)
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

    def _is_spoilt(self, read: Read) -> bool:
        if isinstance(read, FromPeer) and self.hosts[read.host].spoils:
            self.events['from_spoiler'] += 1
            return True
        return self.random.random() < self.scene.corrupted_share

    def _busy(self, host: Host, read: FromPeer, stock: PeerInventory) -> None:
        host.transfer.on_inventory(stock, now=self.clock.now_s)
        host.transfer.on_busy(read, now=self.clock.now_s)
        self._advance_if_alive(host)

    def _failed(self, host: Host, read: Read, *, was_sent: bool = True) -> None:
        host.transfer.on_failed(read, now=self.clock.now_s, was_sent=was_sent)
        self._advance_if_alive(host)

    def _advance_if_alive(self, host: Host) -> None:
        if host.alive and not host.frozen:
            self._advance(host)

    def _reaches(self, host: Host, other: Host) -> bool:
        same = self.sides.get(host.name, 0) == self.sides.get(other.name, 0)
        awake = host.alive and other.alive and not other.frozen
        return awake and same

    def _after(self, micros: int, call: Callable[[], None]) -> None:
        self.clock.at(self.clock.now + micros, call)


def _way(host: Host, other: Host) -> int:
    """Give the one-way latency in microseconds."""
    same = host.place.region == other.place.region
    return DOMAIN_US if same else REGION_US
