"""Planning of chunk reads from peers and the origin; no I/O, no clock.

Hosts pull chunks, rarest first: for each missing chunk a host counts the known
hosts that hold it, and reads one of the rarest from the nearest holder with a
free upload slot. Otherwise the fleet would wait at the end for chunks that
only one host holds.
"""

from __future__ import annotations

import enum
from functools import reduce
from operator import or_
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.transfer._chunk_sets import indices, pick_random, rarest

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

SAME_DOMAIN = 0
SAME_REGION = 1
OTHER_REGION = 2


class ChunkOrder(enum.Enum):
    """Order in which available chunks are read."""

    RAREST = 'rarest'
    RANDOM = 'random'
    BY_INDEX = 'by_index'


@frozen
class FromPeer:
    """Read a chunk from another host's agent."""

    index: int
    host: str


class OriginReason(enum.Enum):
    """Why a host reads a chunk from the origin.

    ``TURN``: the host is the assigned reader. ``UNHEARD``: the same, before
    any peer has reported its inventory. ``GAP``: the chunk is one of the last
    that no host is known to hold. ``SPARE``: the origin's link is idle while
    hosts lack parts of the version. ``STARVED``: no read was in flight for
    long.
    """

    TURN = 'turn'
    UNHEARD = 'unheard'
    GAP = 'gap'
    SPARE = 'spare'
    STARVED = 'starved'


@frozen
class FromOrigin:
    """Read a chunk from the store or the origin.

    Reads of the same chunk are equal, regardless of their ``reason``.
    """

    index: int
    reason: OriginReason = field(default=OriginReason.TURN, eq=False)


Read = FromPeer | FromOrigin


@define
class Source:
    """A host to read from, with its chunks (bits) and free slots for reads.

    ``load`` is the number of its upload slots in use. A source that is not
    ``is_near`` is read from only if no near source offers a missing chunk.
    """

    host: str
    chunks: int
    distance: int
    free_slots: int
    load: int = 0
    is_near: bool = True


@frozen(kw_only=True)
class ReadCandidates:
    """Sets of chunks (bits) that decide what may be read from where.

    ``missing`` chunks are neither held nor in flight. ``importable`` chunks
    are those that this host reads from other regions on behalf of its own.
    ``from_origin`` are those that this host is assigned to read from the
    origin, for the reason ``assigned_reason``. ``preferred`` chunks are read
    before others; for ``primary`` chunks this host is the first reader of the
    origin.
    """

    missing: int
    importable: int
    from_origin: int
    preferred: int = 0
    primary: int = 0
    assigned_reason: OriginReason = OriginReason.TURN


def plan_reads(
    read_candidates: ReadCandidates,
    sources: Sequence[Source],
    *,
    free_slots: int,
    origin_free_slots: int,
    random: Random,
    order: ChunkOrder = ChunkOrder.RAREST,
) -> list[Read]:
    """Return up to ``free_slots`` reads to start now, from the origin first.

    A chunk that some reachable host holds is never read from the origin.
    """
    usable = [_usable(source, read_candidates) for source in sources]
    held = reduce(or_, usable, 0)
    due = read_candidates.from_origin & read_candidates.missing & ~held
    reads: list[Read] = [
        FromOrigin(index, read_candidates.assigned_reason)
        for index in _sample_due(
            due,
            read_candidates.primary,
            min(origin_free_slots, free_slots),
            random,
        )
    ]
    missing = read_candidates.missing & held
    while len(reads) < free_slots:
        read = _next_from_peer(
            missing & read_candidates.preferred or missing,
            sources,
            usable,
            random,
            order,
        )
        if read is None:
            break
        missing &= ~(1 << read.index)
        reads.append(read)
    return reads


def _sample_due(
    due: int, primary: int, free_slots: int, random: Random
) -> list[int]:
    """Return random chunks to read from the origin, primary ones first.

    With the lowest indices instead, all hosts that replace an assigned reader
    read the same chunks: the origin sends these many times while others have
    not left it yet.
    """
    chosen: list[int] = []
    while due and len(chosen) < free_slots:
        index = pick_random(due & primary or due, random)
        due &= ~(1 << index)
        chosen.append(index)
    return chosen


def _next_from_peer(
    missing: int,
    sources: Sequence[Source],
    usable: Sequence[int],
    random: Random,
    order: ChunkOrder,
) -> FromPeer | None:
    """Choose a chunk and its source, and occupy one of its slots."""
    available = [
        (source, chunks & missing)
        for source, chunks in zip(sources, usable, strict=True)
        if source.free_slots > 0 and chunks & missing
    ]
    near = [each for each in available if each[0].is_near]
    offers = near or available
    if not offers:
        return None
    candidates = reduce(or_, (chunks for _, chunks in offers))
    index = _choose(candidates, sources, random, order)
    source = min(
        (source for source, chunks in offers if chunks >> index & 1),
        key=lambda item: (item.distance, item.load, random.random()),
    )
    source.free_slots -= 1
    source.load += 1
    return FromPeer(index, source.host)


def _choose(
    candidates: int,
    sources: Sequence[Source],
    random: Random,
    order: ChunkOrder,
) -> int:
    match order:
        case ChunkOrder.RAREST:
            return pick_random(
                rarest(candidates, _chunks_in_region(sources)), random
            )
        case ChunkOrder.RANDOM:
            return pick_random(candidates, random)
        case ChunkOrder.BY_INDEX:
            return next(indices(candidates))


def _chunks_in_region(sources: Sequence[Source]) -> list[int]:
    """Return the chunks of each source in this host's region.

    A chunk that other regions hold many times and this one not at all is the
    rarest here. Counted over all regions, its importer would read it last
    while the region waits for it.
    """
    return [
        source.chunks for source in sources if source.distance != OTHER_REGION
    ]


def _usable(source: Source, read_candidates: ReadCandidates) -> int:
    if source.distance == OTHER_REGION:
        return source.chunks & read_candidates.importable
    return source.chunks
