"""Who reads which chunk from whom, now. Pure: no I/O, no clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random


@frozen
class FromPeer:
    """Read a chunk from another host's agent."""

    index: int
    host: str


@frozen
class FromOrigin:
    """Read a chunk from the store or the origin."""

    index: int


def plan_reads(
    *,
    version: str,
    host: str,
    missing: Sequence[int],
    peers: Mapping[str, frozenset[int]],
    idle_peers: Sequence[str],
    room: int,
    random: Random,
) -> list[FromPeer | FromOrigin]:
    """Give up to ``room`` reads to start now.

    ``peers`` maps each live host that wants the version to the chunks it
    holds; ``idle_peers`` are those with a free upload slot. A chunk that no
    peer holds is read from the origin by its first host in rendezvous order.
    """
    order = list(missing)
    random.shuffle(order)
    free = set(idle_peers)
    reads: list[FromPeer | FromOrigin] = []
    for index in order:
        if len(reads) >= room:
            break
        read = _plan_one(version, host, index, peers, free, random)
        if isinstance(read, FromPeer):
            free.discard(read.host)
        if read is not None:
            reads.append(read)
    return reads


def origin_reader(version: str, index: int, hosts: Sequence[str]) -> str:
    """Give the host that reads a chunk from the origin."""
    return ranked(f'{version}/{index}', hosts)[0]


def _plan_one(
    version: str,
    host: str,
    index: int,
    peers: Mapping[str, frozenset[int]],
    free: set[str],
    random: Random,
) -> FromPeer | FromOrigin | None:
    holders = [name for name, chunks in peers.items() if index in chunks]
    if holders:
        open_holders = sorted(free.intersection(holders))
        if not open_holders:
            return None
        return FromPeer(index, random.choice(open_holders))
    if origin_reader(version, index, [host, *peers]) == host:
        return FromOrigin(index)
    return None
