"""Who reads which chunk from whom, now. Pure: no I/O, no clock.

A host pulls. It counts for each chunk that it misses how many of the hosts
it knows hold it, and takes one of the rarest from the nearest holder that
has a free upload slot. The rarest first, because a chunk that only one host
holds is what the whole fleet would wait for at the end.
"""

from __future__ import annotations

import enum
from functools import reduce
from operator import or_
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.transfer._chunk_sets import indices, pick, rarest

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

SAME_DOMAIN = 0
SAME_REGION = 1
OTHER_REGION = 2


class ChunkOrder(enum.Enum):
    """Which of the chunks that could be read is read first."""

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

    It is its turn; the same, before any other host has said what it holds;
    the chunk is one of the last that nobody is known to hold; the origin has
    a spare link while hosts lack the version; or nothing came for long.
    """

    TURN = 'turn'
    UNHEARD = 'unheard'
    GAP = 'gap'
    SPARE = 'spare'
    STARVED = 'starved'


@frozen
class FromOrigin:
    """Read a chunk from the store or the origin.

    Two reads of one chunk are the same read, whatever their ``reason``.
    """

    index: int
    reason: OriginReason = field(default=OriginReason.TURN, eq=False)


Read = FromPeer | FromOrigin


@define
class Source:
    """A host to read from: the chunks it holds and the reads it has room for.

    ``load`` is the number of its upload slots that are taken; from one that
    isn't ``is_near`` only what no near one offers is read.
    """

    host: str
    chunks: int
    distance: int
    room: int
    load: int = 0
    is_near: bool = True


@frozen(kw_only=True)
class Wants:
    """Sets of chunks (bits) that decide what may be read from where.

    ``missing`` is neither held nor on its way, ``importable`` is what this
    host fetches over the region link on behalf of its region, and
    ``from_origin`` is what it is this host's turn to ask the origin for.
    ``first`` is what this host wants before all else, ``own`` what it stands
    first for among the readers of the origin, ``turn_reason`` says why the
    origin is asked where it is this host's turn.
    """

    missing: int
    importable: int
    from_origin: int
    first: int = 0
    own: int = 0
    turn_reason: OriginReason = OriginReason.TURN


def plan_reads(
    wants: Wants,
    sources: Sequence[Source],
    *,
    room: int,
    origin_room: int,
    random: Random,
    order: ChunkOrder = ChunkOrder.RAREST,
) -> list[Read]:
    """Give up to ``room`` reads to start now, those of the origin first.

    A chunk that some reachable host holds is never read from the origin.
    """
    usable = [_usable(source, wants) for source in sources]
    held = reduce(or_, usable, 0)
    due = wants.from_origin & wants.missing & ~held
    reads: list[Read] = [
        FromOrigin(index, wants.turn_reason)
        for index in _first_of(due, wants.own, min(origin_room, room), random)
    ]
    missing = wants.missing & held
    while len(reads) < room:
        read = _next_from_peer(
            missing & wants.first or missing, sources, usable, random, order
        )
        if read is None:
            break
        missing &= ~(1 << read.index)
        reads.append(read)
    return reads


def _first_of(due: int, own: int, room: int, random: Random) -> list[int]:
    """Draw chunks to read at the origin, this host's own ones first.

    What goes wrong with the lowest numbers: hosts that step in for others all
    read the same chunks, seen as an origin that sends one many times while
    others have not left it.
    """
    found: list[int] = []
    while due and len(found) < room:
        index = pick(due & own or due, random)
        due &= ~(1 << index)
        found.append(index)
    return found


def _next_from_peer(
    missing: int,
    sources: Sequence[Source],
    usable: Sequence[int],
    random: Random,
    order: ChunkOrder,
) -> FromPeer | None:
    """Choose one chunk and its source, and take the source's room."""
    at_hand = [
        (source, chunks & missing)
        for source, chunks in zip(sources, usable, strict=True)
        if source.room > 0 and chunks & missing
    ]
    near = [each for each in at_hand if each[0].is_near]
    offers = near or at_hand
    if not offers:
        return None
    candidates = reduce(or_, (chunks for _, chunks in offers))
    index = _choose(candidates, sources, random, order)
    source = min(
        (source for source, chunks in offers if chunks >> index & 1),
        key=lambda item: (item.distance, item.load, random.random()),
    )
    source.room -= 1
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
            return pick(rarest(candidates, _in_region(sources)), random)
        case ChunkOrder.RANDOM:
            return pick(candidates, random)
        case ChunkOrder.BY_INDEX:
            return next(indices(candidates))


def _in_region(sources: Sequence[Source]) -> list[int]:
    """Give what the own region holds.

    A chunk that the other region has many times, and this one not at all, is
    the rarest here; counted over both, its importer would fetch it last while
    all the region waits.
    """
    return [
        source.chunks for source in sources if source.distance != OTHER_REGION
    ]


def _usable(source: Source, wants: Wants) -> int:
    if source.distance == OTHER_REGION:
        return source.chunks & wants.importable
    return source.chunks
