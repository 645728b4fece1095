"""What a host knows of the others that want the same version."""

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

    from crowrudder_core.transfer._pacing import Pace

SUSPECT_AFTER = 2
"""Calls in a row without an answer, after which a peer counts as failed."""

MOST_STRIKES = 3
"""Corrupted chunks in a row, after which a source is never asked again."""

SHUN_CHUNKS = 4
"""Chunk times for which a source is left alone after a corrupted chunk."""

MOST_DOUBLINGS = 4
"""Of the time for which a stalling source is left alone."""

SLOW_POLLS = 4
"""Poll periods between questions to a peer that has nothing to offer."""


@frozen
class Place:
    """Where a host stands."""

    region: str
    failure_domain: str

    def distance(self, other: Place) -> int:
        """Tell whether the way crosses a failure domain or a region."""
        if self.region != other.region:
            return OTHER_REGION
        if self.failure_domain != other.failure_domain:
            return SAME_REGION
        return SAME_DOMAIN


@frozen(kw_only=True)
class Stock:
    """What a peer said of itself about one version.

    Sets of chunks are bits. ``passes`` are chunks that it tried to read from
    the origin and leaves to the next host in order; ``wants`` is false when
    it doesn't know that it shall have the version.
    """

    host: str
    chunks: int = 0
    passes: int = 0
    busy: int = 0
    slots: int = 1
    wants: bool = True


@define
class Peer:
    """One other host, as far as this one knows."""

    place: Place
    distance: int
    chunks: int = 0
    passes: int = 0
    busy: int = 0
    slots: int = 0
    reading: int = 0
    failures: int = 0
    strikes: int = 0
    stalls: int = 0
    ask_at: float = 0
    idle_until: float = 0
    shun_until: float = 0
    unwilling: bool = False
    heard: bool = False

    @property
    def suspected(self) -> bool:
        """Whether it counts as failed, until it answers again."""
        return self.failures >= SUSPECT_AFTER

    @property
    def shunned(self) -> bool:
        """Whether its chunks were corrupted too often."""
        return self.strikes >= MOST_STRIKES

    @property
    def is_out(self) -> bool:
        """Whether others do its part until it delivers again."""
        return (
            self.suspected or self.shunned or self.unwilling or self.stalls > 0
        )

    def offers(self, now: float) -> bool:
        """Whether what it holds is counted on."""
        away = self.suspected or self.shunned or now < self.shun_until
        return bool(self.chunks) and not away

    def room(self, most: int, now: float) -> int:
        """Give the reads that may be asked of it now."""
        if now < self.idle_until:
            return 0
        return min(most, max(self.slots - self.busy, 1)) - self.reading


@define
class PeerBook:
    """The other hosts, and which of them to ask.

    The lists of hosts differ between processes and lag; a peer is believed
    when it answers, whatever the list says, and suspected when it doesn't.
    ``stamp`` changes when another host is passed over than before.
    """

    host: str
    place: Place
    pace: Pace
    peers: dict[str, Peer] = field(factory=dict)
    stamp: int = 0
    _order: list[str] = field(factory=list)
    _near: list[str] = field(factory=list)
    _near_stamp: int = -1
    _next_ask_at: float = 0

    def on_hosts(self, places: Mapping[str, Place]) -> None:
        """Take the hosts that shall have the version, this one included."""
        for gone in self.peers.keys() - places.keys():
            self.peers.pop(gone)
        for host, place in places.items():
            known = self.peers.get(host)
            if host != self.host and (known is None or known.place != place):
                self.peers[host] = Peer(place, self.place.distance(place))
        self._order = _by_preference(self.host, self.peers)
        self.stamp += 1

    def on_stock(self, stock: Stock, now: float) -> None:
        """Take a peer's word on itself."""
        peer = self.peers.get(stock.host)
        if peer is None:
            return
        before = (peer.is_out, peer.passes)
        peer.failures = 0
        peer.heard = True
        peer.chunks = stock.chunks
        peer.passes = stock.passes
        peer.busy = stock.busy
        peer.slots = stock.slots
        peer.unwilling = not stock.wants
        peer.ask_at = now + self.pace.poll_s
        self._note_change(before, peer)

    def on_silence(self, host: str, now: float) -> None:
        """Note a question that got no answer."""
        peer = self.peers.get(host)
        if peer is None:
            return
        before = (peer.is_out, peer.passes)
        peer.failures += 1
        wait = SLOW_POLLS if peer.suspected else 1
        peer.ask_at = now + wait * self.pace.poll_s
        self._note_change(before, peer)

    def on_stalled(self, host: str, now: float) -> None:
        """Leave a source alone that answers questions but sends no chunk.

        Its answers alone must not clear it: it would be seen as the last
        chunk, which only that host holds, asked for again and again while
        nobody reads it from the origin.
        """
        peer = self.peers.get(host)
        if peer is None:
            return
        before = (peer.is_out, peer.passes)
        peer.stalls += 1
        wait = self.pace.stall_s * 2 ** min(peer.stalls, MOST_DOUBLINGS)
        peer.shun_until = now + wait
        self._note_change(before, peer)

    def on_corrupted(self, host: str, now: float) -> None:
        """Leave a source alone, longer each time, in the end for good."""
        peer = self.peers.get(host)
        if peer is None:
            return
        before = (peer.is_out, peer.passes)
        peer.strikes += 1
        wait = SHUN_CHUNKS**peer.strikes * self.pace.chunk_s
        peer.shun_until = now + wait
        self._note_change(before, peer)

    def on_good(self, host: str) -> None:
        """Forget what a source did wrong, as it delivered."""
        peer = self.peers.get(host)
        if peer is None:
            return
        before = (peer.is_out, peer.passes)
        peer.strikes = peer.stalls = 0
        peer.shun_until = 0
        self._note_change(before, peer)

    def on_ended(self, host: str) -> None:
        """Note that a read from a source ended, however it did."""
        peer = self.peers.get(host)
        if peer is not None:
            peer.reading = max(peer.reading - 1, 0)

    def on_busy(self, host: str, now: float) -> None:
        """Ask a source again only when a slot can have become free."""
        peer = self.peers.get(host)
        if peer is not None:
            peer.idle_until = now + self.pace.chunk_s / 2

    def is_out(self, host: str) -> bool:
        """Whether a host is to be passed over: failed or not taking part."""
        peer = self.peers.get(host)
        return peer is not None and peer.is_out

    def passed(self, host: str, index: int) -> bool:
        """Whether a host leaves a chunk of the origin to the next one."""
        peer = self.peers.get(host)
        return peer is not None and bool(peer.passes >> index & 1)

    def passes_all(self, host: str, count: int) -> bool:
        """Whether a host leaves all chunks of the origin to the next ones."""
        peer = self.peers.get(host)
        return peer is not None and peer.passes.bit_count() >= count

    @property
    def turn_reason(self) -> OriginReason:
        """Why the origin is asked where it is this host's turn."""
        if not self.peers or any(peer.heard for peer in self.peers.values()):
            return OriginReason.TURN
        return OriginReason.UNHEARD

    def lacking(self, count: int) -> int:
        """Count the hosts that answer, and said that they lack chunks."""
        return sum(
            peer.heard
            and not (peer.suspected or peer.unwilling)
            and peer.chunks != full(count)
            for peer in self.peers.values()
        )

    def sources(
        self, now: float, *, importable: int, whole: int
    ) -> list[Source]:
        """List those that hold anything, as the planner wants them.

        Of other regions only ``importable`` chunks (bits) are read. The hosts
        there that have none of them, and not the ``whole``, are one source
        without a name together, from which nothing is read: they are most of
        a large fleet, and it is looked at for each chunk.
        """
        near = frozenset(self.neighbours())
        found = []
        elsewhere = 0
        for host, peer in self.peers.items():
            if not (peer.chunks and peer.offers(now)):
                continue
            is_read = peer.distance != OTHER_REGION or peer.chunks & importable
            if is_read or peer.chunks == whole:
                found.append(self._source(host, peer, host in near, now))
            else:
                elsewhere |= peer.chunks
        if elsewhere:
            found.append(Source('', elsewhere, OTHER_REGION, room=0))
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
            peer.room(self.pace.reads_of_one_peer, now),
            peer.busy,
            is_near or peer.distance == OTHER_REGION,
        )

    def neighbours(self) -> list[str]:
        """Give the hosts to read from: near ones, failed ones replaced."""
        if self._near_stamp != self.stamp:
            self._near_stamp = self.stamp
            fit = (host for host in self._order if not self.is_out(host))
            self._near = list(islice(fit, self.pace.neighbours))
            self._next_ask_at = 0
        return self._near

    def to_ask(self, also: Iterable[str], now: float) -> list[str]:
        """Give the hosts whose stock is due to be asked for, and note it.

        ``also`` names hosts beside the neighbours, such as those that read
        from the origin; they are asked less often.
        """
        near = self.neighbours()
        if now < self._next_ask_at:
            return []
        due_at = {
            host: self.peers[host].ask_at + SLOW_POLLS * self.pace.poll_s
            for host in also
            if host in self.peers
        }
        due_at.update((host, self.peers[host].ask_at) for host in near)
        due = [host for host, at in due_at.items() if at <= now]
        for host in due:
            self.peers[host].ask_at = now + SLOW_POLLS * self.pace.poll_s
        later = [at for at in due_at.values() if at > now]
        self._next_ask_at = min([*later, now + self.pace.poll_s])
        return due

    def _note_change(self, before: tuple[bool, int], peer: Peer) -> None:
        if before != (peer.is_out, peer.passes):
            self.stamp += 1


def _by_preference(host: str, peers: Mapping[str, Peer]) -> list[str]:
    """Order the peers of the own region, every second one of the own domain.

    Enough stay in other domains that a domain which is cut off or slow isn't
    the only source; other regions come only through the importers.
    """
    near: list[str] = []
    far: list[str] = []
    for name in ranked(host, peers):
        if peers[name].distance == SAME_DOMAIN:
            near.append(name)
        elif peers[name].distance == SAME_REGION:
            far.append(name)
    mixed: list[str] = []
    while near and far:
        mixed += (near.pop(0), far.pop(0))
    return mixed + near + far
