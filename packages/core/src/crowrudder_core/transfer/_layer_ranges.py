"""Which part of a version's layers each host collects first.

Hosts that hold nothing serve together before any of them holds a version
whole: three that hold a third of the layers each run a request one after the
other. For that they have to collect different parts, and each region all of
them, as what crosses regions is paid for and slow.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from crowrudder_model import ranked
from crowrudder_model.fleet import LayerRange

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_core.transfer._peers import Place

MOST_PARTS = 3
"""With more parts a request passes more hosts for each token, and more of
them can fail it; a third of a copy is out and passed on after about half of
the time of a whole one."""


def part_count(hosts: int) -> int:
    """Give the parts into which a version is cut for so many hosts."""
    return max(min(hosts, MOST_PARTS), 1)


def parts_of(version: str, places: Mapping[str, Place]) -> dict[str, int]:
    """Give each host's part, worked out alike by all.

    Each region gets every part, as far as it has hosts for them, and the
    fleet as many hosts of one part as of another.
    """
    count = part_count(len(places))
    in_region: Counter[tuple[str, int]] = Counter()
    in_all: Counter[int] = Counter()
    found = {}
    for host in ranked(version, places):
        region = places[host].region
        part = min(
            range(count),
            key=lambda each: (in_region[region, each], in_all[each], each),
        )
        in_region[region, part] += 1
        in_all[part] += 1
        found[host] = part
    return found


def layers_of(part: int, count: int, layers: int) -> LayerRange:
    """Give the layers of a part.

    >>> layers_of(1, 3, 16)
    LayerRange(first=5, end=10)
    """
    return LayerRange(part * layers // count, (part + 1) * layers // count)


def chunks_of(held: LayerRange, *, layers: int, chunks: int) -> int:
    """Give the chunks (bits) that some layers are made of.

    A chunk at the edge of a layer belongs to both of its neighbours.

    >>> bin(chunks_of(LayerRange(1, 2), layers=3, chunks=4))
    '0b110'
    """
    first = held.first * chunks // layers
    end = -(-held.end * chunks // layers)
    return (1 << end) - (1 << first)


def layers_at_hand(held: int, *, layers: int, chunks: int) -> LayerRange:
    """Give the most layers in a row whose chunks (bits) are all held.

    >>> layers_at_hand(0b0111, layers=2, chunks=4)
    LayerRange(first=0, end=1)
    >>> layers_at_hand(0b0101, layers=2, chunks=4)
    LayerRange(first=0, end=0)
    """
    best = run = LayerRange()
    for layer in range(layers):
        needed = chunks_of(
            LayerRange(layer, layer + 1), layers=layers, chunks=chunks
        )
        if needed & ~held:
            run = LayerRange(layer + 1, layer + 1)
            continue
        run = LayerRange(run.first, layer + 1)
        best = max(best, run, key=lambda each: each.count)
    return best
