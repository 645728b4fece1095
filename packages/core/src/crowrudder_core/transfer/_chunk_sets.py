"""Sets of chunk indices as bits of one integer; chunk 0 is the lowest bit.

A host compares the chunk sets of a dozen peers hundreds of times a second. On
integers this takes a few operations, whatever the number of chunks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from random import Random

BYTE_BITS = 8


def indices(bits: int) -> Iterator[int]:
    """Yield the indices that are set, lowest first.

    >>> list(indices(0b1010))
    [1, 3]
    """
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


def pack(bits: int, count: int) -> bytes:
    """Encode a set of up to ``count`` chunks for a message."""
    return bits.to_bytes(count // BYTE_BITS + 1, 'little')


def unpack(packed: bytes, count: int) -> int:
    """Decode a set from a message; indices beyond ``count`` are dropped."""
    return int.from_bytes(packed, 'little') & full(count)


def full(count: int) -> int:
    """Return the set of all ``count`` chunks."""
    return (1 << count) - 1


def rarest(candidates: int, holdings: Iterable[int]) -> int:
    """Return the candidates that occur in the fewest holdings.

    Counts are kept as bit planes: plane k holds bit k of every candidate's
    count, so one pass adds a holding to all counts at once.

    >>> rarest(0b111, [0b011, 0b010])
    4
    """
    planes: list[int] = []
    for held in holdings:
        carry = held & candidates
        for level, plane in enumerate(planes):
            planes[level], carry = plane ^ carry, plane & carry
        if carry:
            planes.append(carry)
    for plane in reversed(planes):
        candidates = candidates & ~plane or candidates
    return candidates


def pick_random(bits: int, random: Random) -> int:
    """Return a random index that is set."""
    start = random.randrange(bits.bit_length())
    above = bits >> start << start
    chosen = above or bits
    return (chosen & -chosen).bit_length() - 1
