"""Who may read a chunk from the origin, and how much of it in all.

Every host works this out alike, without a word between them: a few hosts of
the service, the seeds, spread over regions and failure domains, read from
the origin; for each chunk they stand in rendezvous order. A seed steps in for
those before it only when they failed to answer, don't take part, or said that
they pass. The order of two hosts is the same in every list that has both:
else, with lists that lag, each could wait for the other.

The cap on copies doesn't depend on what a host believes of the others: each
seed may read no more than its equal share of the capped copies in a window.
However the fleet is split, and whatever each side takes for dead, the sum
over the seeds stays below the cap.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.transfer._chunk_sets import full
from crowrudder_core.transfer._layer_ranges import part_count, parts_of
from crowrudder_core.transfer._pacing import ORIGIN_LINKS
from crowrudder_core.transfer._planner import OriginReason
from crowrudder_model import InvariantError, ranked

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from crowrudder_core.transfer._pacing import Pace
    from crowrudder_core.transfer._peers import Place

MOST_COPIES = 4
"""Copies that the origin's link carries in a window."""

SHARED_COPIES = 3
"""Copies that the seeds share out; the rest is for seeds that are replaced.

A third of the seeds may die with their whole share spent, and the lists of
two sides may differ by as many, before the cap is reached.
"""

MOST_SEEDS = 32

FIRST_WAIT_S = 0.25

SHARED_READS = 2
"""Chunk times that a read of the origin may take before its reader pauses."""

PAUSE_SHARE = 0.5
"""Part of the time over that for which it pauses."""

MOST_PAUSE_S = 0.5

_BY_TURN = frozenset((OriginReason.TURN, OriginReason.UNHEARD))

MOST_CORRUPTED = 4
"""Reads of one chunk that weren't the manifest's, after which the manifest is
doubted: with one read in ten spoilt, one chunk in ten thousand gets there."""


@frozen
class Turns:
    """Chunks (bits) to read from the origin, and over the region link.

    ``own`` are those for which this host is the first reader that takes part,
    whether or not the origin failed it before.
    """

    from_origin: int = 0
    importable: int = 0
    own: int = 0


@define(kw_only=True)
class OriginDuty:
    """A host's part in reading one version from the origin.

    Invariant: ``spent`` never passes this host's share of the cap.
    ``reasons`` counts why reads began, all windows together.
    """

    version: str
    host: str
    region: str
    count: int
    copies: int
    pace: Pace
    seeds: tuple[str, ...] = ()
    spent: int = 0
    failed: int = 0
    reading: int = 0
    reasons: Counter[str] = field(factory=Counter)
    _regions: dict[str, str] = field(factory=dict)
    _orders: list[list[str]] = field(factory=list)
    _corrupted: dict[int, int] = field(factory=dict)
    _began: float | None = None
    _window_at: float = 0
    _wait_s: float = 0
    _closed_until: float = 0
    _turns: Turns = Turns()
    _stamp: object = None

    @property
    def is_seed(self) -> bool:
        """Whether this host may read from the origin at all."""
        return self.host in self.seeds

    @property
    def share(self) -> int:
        """The chunks that this host may read from the origin in a window."""
        return max(SHARED_COPIES * self.count // max(len(self.seeds), 1), 1)

    @property
    def passes(self) -> int:
        """The chunks (bits) that this host leaves to the next in order.

        Those that it failed to read, and all once its share is spent: the
        others would else wait for it to the end of the window.
        """
        if self.spent >= self.share:
            return full(self.count) & ~self.reading
        return self.failed

    def on_hosts(self, places: Mapping[str, Place]) -> None:
        """Take all hosts of the service, live or not.

        Those of the first list keep their turns for as long as they are in
        it. What goes wrong when turns are drawn anew: a host that comes or
        goes moves half of them, at another moment on each host. Some chunks
        are read twice and others by nobody until the origin has left, seen as
        a version that every host lacks by a few chunks.
        """
        seeds = choose_seeds(self.version, places)
        if not self.seeds:
            self._begin(seeds, places)
        elif set(seeds) != set(self.seeds):
            self._follow(seeds, places)

    def _begin(
        self, seeds: tuple[str, ...], places: Mapping[str, Place]
    ) -> None:
        self.seeds = seeds
        self._regions = {seed: places[seed].region for seed in seeds}
        self._orders = self._ranked(seeds)
        if self.pace.even_turns:
            self._orders = _evened_out(self._orders, self._parts(places))
        self._stamp = None

    def _follow(
        self, seeds: tuple[str, ...], places: Mapping[str, Place]
    ) -> None:
        """Take those off who have gone, and put who is new behind all others.

        Who goes leaves its chunks to the next in each order.
        """
        kept = tuple(seed for seed in self.seeds if seed in places)
        room = max(MOST_SEEDS - len(kept), 0)
        added = [seed for seed in seeds if seed not in kept][:room]
        self.seeds = (*kept, *added)
        self._regions = {seed: places[seed].region for seed in self.seeds}
        self._orders = [
            [seed for seed in order if seed in places] + behind
            for order, behind in zip(
                self._orders, self._ranked(added), strict=True
            )
        ]
        self._stamp = None

    def _ranked(self, seeds: Iterable[str]) -> list[list[str]]:
        """Give the rendezvous order for each chunk."""
        return [
            ranked(f'{self.version}/{index}', seeds)
            for index in range(self.count)
        ]

    def _parts(self, places: Mapping[str, Place]) -> list[frozenset[str]]:
        """Give the hosts that collect each chunk first, see `parts_of`."""
        parts = parts_of(self.version, places)
        count = part_count(len(places))
        groups = [
            frozenset(host for host in parts if parts[host] == part)
            for part in range(count)
        ]
        return [
            groups[index * count // self.count] for index in range(self.count)
        ]

    def on_started(
        self, index: int, reason: OriginReason = OriginReason.TURN
    ) -> None:
        """Spend one read of the share.

        A host that is starved may read over its share: its reads out of turn
        are few then, one for each time that it waited in vain.

        Raises
        ------
        InvariantError
            When the share is spent: the origin would carry too many copies.
        """
        if self.spent >= self.share and reason in _BY_TURN:
            raise InvariantError('a read over the cap', step='origin')
        self.spent += 1
        self.reasons[reason.value] += 1
        self.reading |= 1 << index

    def on_ended(self, index: int) -> None:
        """Note that a read ended, however it did."""
        self.reading &= ~(1 << index)

    def on_held(self, index: int) -> None:
        """Note that a chunk came, from wherever."""
        self.failed &= ~(1 << index)
        self._corrupted.pop(index, None)

    @property
    def is_failing(self) -> bool:
        """Whether the last read from the origin failed."""
        return self._wait_s > 0

    def on_good(self) -> None:
        """Note that the origin delivered; what was passed is taken back."""
        self._wait_s = 0
        self.failed = 0

    def on_took(self, took_s: float, *, now: float) -> None:
        """Leave the origin's link to others where it is shared by many.

        What goes wrong when all go on reading: each gets a small part of the
        link, and when the origin leaves, most chunks are lost half read.
        """
        over_s = max(took_s - SHARED_READS * self.pace.chunk_s, 0)
        pause_s = min(PAUSE_SHARE * over_s, MOST_PAUSE_S)
        self._closed_until = max(self._closed_until, now + pause_s)

    def on_failed(self, index: int, *, was_sent: bool, now: float) -> None:
        """Pass a chunk on to the next seed, and wait longer each time.

        ``was_sent`` is false when it is certain that no byte came, as with a
        refused connection; the read then costs nothing of the share.
        """
        self.failed |= 1 << index
        if not was_sent:
            self.spent = max(self.spent - 1, 0)
        self._wait_s = min(
            max(2 * self._wait_s, FIRST_WAIT_S),
            self.pace.origin_wait_s,
        )
        self._closed_until = now + self._wait_s

    def on_corrupted(self, index: int, *, now: float) -> None:
        """Note that the origin's bytes weren't those of the manifest."""
        self._corrupted[index] = self._corrupted.get(index, 0) + 1
        self.on_failed(index, was_sent=True, now=now)

    @property
    def is_at_odds(self) -> bool:
        """Whether it gives a chunk that the manifest never takes.

        One of them is wrong, and it may be the manifest: it came from the
        same origin.
        """
        return max(self._corrupted.values(), default=0) >= MOST_CORRUPTED

    def on_doubted(self) -> None:
        """Count anew, as the manifest is read once more."""
        self._corrupted.clear()

    def may_ask(self, now: float) -> bool:
        """Whether the origin may be asked for anything now.

        The seeds start one after the other: when all asked at once, their
        chunks would share the origin's link and all would arrive late.
        """
        if not self.is_seed:
            return False
        if self._began is None:
            self._began = self._window_at = now
        if now - self._window_at >= self.pace.window_s:
            self._window_at = now
            self.spent = 0
        turn_s = self.pace.chunk_s / ORIGIN_LINKS
        opens = self._began + self.seeds.index(self.host) * turn_s
        return now >= max(opens, self._closed_until) and self.spent < self.share

    def room(self, now: float) -> int:
        """Give how many more reads may begin at the origin now."""
        if not self.may_ask(now):
            return 0
        return min(
            self.pace.origin_reads - self.reading.bit_count(),
            self.share - self.spent,
        )

    def turns(
        self,
        out: Callable[[str, int], bool],
        stamp: object,
        *,
        is_away: Callable[[str], bool] | None = None,
    ) -> Turns:
        """Give the chunks that it is this host's turn to fetch.

        ``out`` tells whether a host is passed over for a chunk, ``is_away``
        whether it takes no part at all; the answers of both are the same as
        long as ``stamp`` is.
        """
        if stamp != self._stamp:
            self._stamp = stamp
            self._turns = self._work_out_turns(out, is_away)
        return self._turns

    def _work_out_turns(
        self,
        out: Callable[[str, int], bool],
        is_away: Callable[[str], bool] | None,
    ) -> Turns:
        if not self.is_seed:
            return Turns()

        def takes_no_part(host: str, _: int) -> bool:
            return is_away is not None and is_away(host)

        origin = region = own = 0
        for index in range(self.count):
            ahead = [self._regions[host] for host in self._ahead(index, out)]
            if self._may_read(ahead):
                origin |= 1 << index
            if self.region not in ahead:
                region |= 1 << index
            if not self._ahead(index, takes_no_part):
                own |= 1 << index
        return Turns(from_origin=origin, importable=region, own=own)

    def _may_read(self, ahead: list[str]) -> bool:
        """Tell from the regions of those ahead whether a copy is left.

        Further copies go to other regions first.
        """
        if self.region not in ahead:
            return len(set(ahead)) < self.copies
        return len(ahead) < self.copies - len(set(self._regions.values())) + 1

    def _ahead(
        self,
        index: int,
        out: Callable[[str, int], bool],
    ) -> list[str]:
        """Give the hosts whose turn comes before this one's."""
        order = self._orders[index]
        before = order[: order.index(self.host)]
        return [host for host in before if not out(host, index)]

    def reader(self, index: int, out: Callable[[str, int], bool]) -> str:
        """Name the host whose turn it is for a chunk."""
        order = self._orders[index] if self._orders else []
        taking_part = (
            host for host in order if host == self.host or not out(host, index)
        )
        return next(taking_part, '')


def _evened_out(
    orders: list[list[str]], parts: list[frozenset[str]]
) -> list[list[str]]:
    """Put those first who collect the chunk first, evenly among them.

    Hosts whose lists differ may then each take a chunk for another's. Such a
    gap is short where hosts read out of turn, see `Pace.gap_share`.
    """
    firsts: Counter[str] = Counter()
    found = []
    for order, part in zip(orders, parts, strict=True):
        own = [seed for seed in order if seed in part]
        others = [seed for seed in order if seed not in part]
        first = min(own or others, key=lambda seed: firsts[seed])
        firsts[first] += 1
        rest = [seed for seed in own + others if seed != first]
        found.append([first, *rest])
    return found


def choose_seeds(
    version: str,
    places: Mapping[str, Place],
) -> tuple[str, ...]:
    """Give the hosts that read from the origin, best first.

    Round after round, each takes one host of every failure domain, the
    regions taking turns.
    """
    rounds: dict[str, list[str]] = {}
    for host in ranked(version, places):
        domain = f'{places[host].region}/{places[host].failure_domain}'
        rounds.setdefault(domain, []).append(host)
    turns = sorted(
        (turn, order, seed)
        for order, domain in enumerate(sorted(rounds))
        for turn, seed in enumerate(rounds[domain][:MOST_SEEDS])
    )
    return tuple(seed for _, _, seed in turns[:MOST_SEEDS])
