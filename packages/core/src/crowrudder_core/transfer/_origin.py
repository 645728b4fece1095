"""Assignment of chunks to readers of the origin, and the cap on its traffic.

All hosts compute the same assignment without communication. A few hosts of
the service, the seeds, spread over regions and failure domains, read from the
origin; for each chunk they are in rendezvous order. A seed replaces those
before it only if they fail to answer, do not participate, or report that they
pass the chunk. The order of two hosts is the same in every list that contains
both; otherwise, with lists that lag, each could wait for the other.

The cap on copies does not depend on a host's view of the others: in a window,
each seed may read no more than its equal share of the capped copies. The sum
over the seeds stays below the cap under any network partition, whichever hosts
each side considers dead.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.transfer._chunk_sets import full
from crowrudder_core.transfer._layer_ranges import (
    assign_layer_ranges,
    layer_range_count,
)
from crowrudder_core.transfer._pacing import ORIGIN_CAPACITY_LINKS
from crowrudder_core.transfer._planner import OriginReason
from crowrudder_model import InvariantError, ranked

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from crowrudder_core.transfer._pacing import PacingConfig
    from crowrudder_core.transfer._peers import Place

MAX_COPIES = 4
"""Maximum copies that the origin sends in a window."""

SHARED_COPIES = 3
"""Copies divided among the seeds; the rest is reserved for replaced seeds.

A third of the seeds may fail after spending their full share, and the lists of
the two sides of a partition may differ by as many, before the cap is reached.
"""

MAX_SEEDS = 32

MIN_RETRY_WAIT_S = 0.25

CONTENDED_CHUNK_TIMES = 2
"""Chunk times that a read from the origin may take before its reader pauses."""

PAUSE_SHARE = 0.5
"""Length of the pause as a share of the excess time."""

MAX_PAUSE_S = 0.5

_ASSIGNED_REASONS = frozenset((OriginReason.TURN, OriginReason.UNHEARD))

MAX_CORRUPTED_READS = 4
"""Corrupted reads of one chunk after which the manifest is suspected.

If one read in ten is corrupted, one chunk in ten thousand reaches this count.
"""


@frozen
class Assignments:
    """Chunks (bits) to read from the origin, and over the region link.

    For ``primary`` chunks this host is the first participating reader, whether
    or not its earlier reads from the origin failed.
    """

    from_origin: int = 0
    importable: int = 0
    primary: int = 0


@define(kw_only=True)
class OriginReader:
    """State of one host's reads of one version from the origin.

    Invariant: ``spent`` never exceeds this host's share of the cap, except by
    unassigned reads. ``reasons`` counts the started reads by reason, over all
    windows.

    Attributes
    ----------
    is_slow
        Whether this host's link is slow: it leaves all chunks to others, which
        would wait for each of them.
    yields
        Whether another host reads them, so that this one doesn't.
    """

    version: str
    host: str
    region: str
    count: int
    copies: int
    pace: PacingConfig
    seeds: tuple[str, ...] = ()
    spent: int = 0
    failed: int = 0
    reading: int = 0
    is_slow: bool = False
    yields: bool = False
    reasons: Counter[str] = field(factory=Counter)
    _seed_regions: dict[str, str] = field(factory=dict)
    _reader_orders: list[list[str]] = field(factory=list)
    _corrupted_reads: dict[int, int] = field(factory=dict)
    _started_at: float | None = None
    _window_start: float = 0
    _retry_wait_s: float = 0
    _paused_until: float = 0
    _assignments: Assignments = Assignments()
    _revision: object = None

    @property
    def is_seed(self) -> bool:
        """Whether this host may read from the origin."""
        return self.host in self.seeds

    @property
    def share(self) -> int:
        """Number of chunks that this host may read in a window."""
        return max(SHARED_COPIES * self.count // max(len(self.seeds), 1), 1)

    @property
    def passes(self) -> int:
        """The chunks (bits) that this host leaves to the next reader in order.

        These are the chunks that it failed to read, and all of them once its
        share is spent or while its link is slow; the other hosts would
        otherwise wait for it until the window ends.
        """
        if self.is_slow or self.spent >= self.share:
            return full(self.count) & ~self.reading
        return self.failed

    def on_hosts(self, places: Mapping[str, Place]) -> None:
        """Update the list of all hosts of the service, live or not.

        Hosts of the first list keep their assignments as long as they are
        listed. If assignments were recomputed, each host that joins or leaves
        would move half of them, at a different moment on each host. Some
        chunks would be read twice and others not at all before the origin
        becomes unreachable, and every host would lack a few chunks.
        """
        seeds = choose_seeds(self.version, places)
        if not self.seeds:
            self._init_orders(seeds, places)
        elif set(seeds) != set(self.seeds):
            self._update_seeds(seeds, places)

    def _init_orders(
        self, seeds: tuple[str, ...], places: Mapping[str, Place]
    ) -> None:
        self.seeds = seeds
        self._seed_regions = {seed: places[seed].region for seed in seeds}
        self._reader_orders = self._rendezvous_orders(seeds)
        if self.pace.even_turns:
            self._reader_orders = _balance_first_readers(
                self._reader_orders, self._chunk_groups(places)
            )
        self._revision = None

    def _update_seeds(
        self, seeds: tuple[str, ...], places: Mapping[str, Place]
    ) -> None:
        """Remove seeds that left, and append new ones to the end of each order.

        The chunks of a seed that left go to the next seed in each order.
        """
        kept = tuple(seed for seed in self.seeds if seed in places)
        capacity = max(MAX_SEEDS - len(kept), 0)
        added = [seed for seed in seeds if seed not in kept][:capacity]
        self.seeds = (*kept, *added)
        self._seed_regions = {seed: places[seed].region for seed in self.seeds}
        self._reader_orders = [
            [seed for seed in order if seed in places] + appended
            for order, appended in zip(
                self._reader_orders, self._rendezvous_orders(added), strict=True
            )
        ]
        self._revision = None

    def _rendezvous_orders(self, seeds: Iterable[str]) -> list[list[str]]:
        """Return the rendezvous order of the seeds for each chunk."""
        return [
            ranked(f'{self.version}/{index}', seeds)
            for index in range(self.count)
        ]

    def _chunk_groups(
        self, places: Mapping[str, Place]
    ) -> list[frozenset[str]]:
        """Return for each chunk the hosts that collect its layer range first."""
        numbers = assign_layer_ranges(self.version, places)
        count = layer_range_count(len(places))
        groups = [
            frozenset(host for host in numbers if numbers[host] == group)
            for group in range(count)
        ]
        return [
            groups[index * count // self.count] for index in range(self.count)
        ]

    def on_started(
        self, index: int, reason: OriginReason = OriginReason.TURN
    ) -> None:
        """Count a started read against the share.

        Unassigned reads may exceed the share: a starved host makes only one
        for each wait without a chunk.

        Raises
        ------
        InvariantError
            If the share is spent: the origin would send too many copies.
        """
        if self.spent >= self.share and reason in _ASSIGNED_REASONS:
            raise InvariantError('a read over the cap', step='origin')
        self.spent += 1
        self.reasons[reason.value] += 1
        self.reading |= 1 << index

    def on_ended(self, index: int) -> None:
        """Record that a read ended, with or without success."""
        self.reading &= ~(1 << index)

    def on_held(self, index: int) -> None:
        """Record that a chunk was received, from any source."""
        self.failed &= ~(1 << index)
        self._corrupted_reads.pop(index, None)

    @property
    def is_failing(self) -> bool:
        """Whether the last read from the origin failed."""
        return self._retry_wait_s > 0

    def on_delivered(self) -> None:
        """Reset the retry wait and the passed chunks: the origin delivered."""
        self._retry_wait_s = 0
        self.failed = 0

    def on_read_time(self, took_s: float, *, now: float) -> None:
        """Pause reads from the origin if its link is contended.

        If all hosts continued to read, each would get a small share of the
        link, and most chunks would be partially read when the origin becomes
        unreachable.
        """
        excess_s = max(took_s - CONTENDED_CHUNK_TIMES * self.pace.chunk_s, 0)
        pause_s = min(PAUSE_SHARE * excess_s, MAX_PAUSE_S)
        self._paused_until = max(self._paused_until, now + pause_s)

    def on_failed(self, index: int, *, was_sent: bool, now: float) -> None:
        """Pass a chunk to the next seed and back off exponentially.

        ``was_sent`` is false if the origin certainly sent no byte, for example
        when it refused the connection; the read then does not count against
        the share.
        """
        self.failed |= 1 << index
        if not was_sent:
            self.spent = max(self.spent - 1, 0)
        self._retry_wait_s = min(
            max(2 * self._retry_wait_s, MIN_RETRY_WAIT_S),
            self.pace.origin_wait_s,
        )
        self._paused_until = now + self._retry_wait_s

    def on_corrupted(self, index: int, *, now: float) -> None:
        """Record that the origin's bytes do not match the manifest."""
        self._corrupted_reads[index] = self._corrupted_reads.get(index, 0) + 1
        self.on_failed(index, was_sent=True, now=now)

    @property
    def is_manifest_suspect(self) -> bool:
        """Whether a chunk repeatedly mismatched the manifest.

        Either may be wrong: the manifest came from the same origin.
        """
        return (
            max(self._corrupted_reads.values(), default=0)
            >= MAX_CORRUPTED_READS
        )

    def on_manifest_reread(self) -> None:
        """Reset the counts of corrupted reads: the manifest is read again."""
        self._corrupted_reads.clear()

    def may_ask(self, now: float) -> bool:
        """Return whether this host may read from the origin now.

        The seeds start one after the other. If all started at once, their
        chunks would share the origin's link and all would arrive late.
        """
        if not self.is_seed or self.yields:
            return False
        if self._started_at is None:
            self._started_at = self._window_start = now
        if now - self._window_start >= self.pace.window_s:
            self._window_start = now
            self.spent = 0
        stagger_s = self.pace.chunk_s / ORIGIN_CAPACITY_LINKS
        opens_at = self._started_at + self.seeds.index(self.host) * stagger_s
        return (
            now >= max(opens_at, self._paused_until) and self.spent < self.share
        )

    def free_slots(self, now: float) -> int:
        """Return the number of reads from the origin that may start now."""
        if not self.may_ask(now):
            return 0
        return min(
            self.pace.origin_reads - self.reading.bit_count(),
            self.share - self.spent,
        )

    def assignments(
        self,
        is_skipped: Callable[[str, int], bool],
        revision: object,
        *,
        is_absent: Callable[[str], bool] | None = None,
    ) -> Assignments:
        """Return the chunks that this host is assigned to read.

        ``is_skipped`` returns whether a host is skipped for a chunk,
        ``is_absent`` whether it does not participate at all; their results
        may change only if ``revision`` does.
        """
        if revision != self._revision:
            self._revision = revision
            self._assignments = self._compute_assignments(is_skipped, is_absent)
        return self._assignments

    def _compute_assignments(
        self,
        is_skipped: Callable[[str, int], bool],
        is_absent: Callable[[str], bool] | None,
    ) -> Assignments:
        if not self.is_seed:
            return Assignments()

        # Asked once for each host, not for each chunk.
        absent = frozenset(
            host
            for host in self.seeds
            if is_absent is not None and is_absent(host)
        )
        origin = region = primary = 0
        for index, order in enumerate(self._reader_orders):
            before = order[: order.index(self.host)]
            regions_ahead = self._regions_ahead(index, before, is_skipped)
            if self._has_copy_left(regions_ahead):
                origin |= 1 << index
            if self.region not in regions_ahead:
                region |= 1 << index
            if absent.issuperset(before):
                primary |= 1 << index
        return Assignments(
            from_origin=origin, importable=region, primary=primary
        )

    def _regions_ahead(
        self,
        index: int,
        before: list[str],
        is_skipped: Callable[[str, int], bool],
    ) -> list[str]:
        """Return the regions of the hosts ahead that decide an assignment.

        Once this host's region is among them and has its copies, the others
        change nothing.
        """
        regions: list[str] = []
        has_own = False
        enough = self._own_region_copies
        for host in before:
            if is_skipped(host, index):
                continue
            regions.append(self._seed_regions[host])
            has_own = has_own or regions[-1] == self.region
            if has_own and len(regions) >= enough:
                break
        return regions

    def _has_copy_left(self, regions_ahead: list[str]) -> bool:
        """Return whether the hosts ahead, by region, leave a copy to read."""
        if self.region not in regions_ahead:
            return len(set(regions_ahead)) < self.copies
        return len(regions_ahead) < self._own_region_copies

    @property
    def _own_region_copies(self) -> int:
        """Number of copies to which a region that gets one may add.

        Additional copies go to other regions first.
        """
        return self.copies - len(set(self._seed_regions.values())) + 1

    def assigned_reader(
        self, index: int, is_skipped: Callable[[str, int], bool]
    ) -> str:
        """Return the host assigned to read a chunk, empty for none."""
        order = self._reader_orders[index] if self._reader_orders else []
        eligible = (
            host
            for host in order
            if host == self.host or not is_skipped(host, index)
        )
        return next(eligible, '')


def _balance_first_readers(
    orders: list[list[str]], groups: list[frozenset[str]]
) -> list[list[str]]:
    """Move hosts that collect a chunk first to the front, evenly among them.

    Hosts with different lists may then each assign a chunk to the other.
    Unassigned reads close such a gap soon, see `PacingConfig.gap_share`.
    """
    firsts: Counter[str] = Counter()
    balanced = []
    for order, group in zip(orders, groups, strict=True):
        own = [seed for seed in order if seed in group]
        others = [seed for seed in order if seed not in group]
        first = min(own or others, key=lambda seed: firsts[seed])
        firsts[first] += 1
        rest = [seed for seed in own + others if seed != first]
        balanced.append([first, *rest])
    return balanced


def choose_seeds(
    version: str,
    places: Mapping[str, Place],
) -> tuple[str, ...]:
    """Return the hosts that read from the origin, best first.

    Each round selects one host of every failure domain, region by region.
    """
    rounds: dict[str, list[str]] = {}
    for host in ranked(version, places):
        domain = f'{places[host].region}/{places[host].failure_domain}'
        rounds.setdefault(domain, []).append(host)
    selection = sorted(
        (round_number, order, seed)
        for order, domain in enumerate(sorted(rounds))
        for round_number, seed in enumerate(rounds[domain][:MAX_SEEDS])
    )
    return tuple(seed for _, _, seed in selection[:MAX_SEEDS])
