"""Assignment of the layer range of a version that each host collects first.

Hosts can serve together as a pipeline before any of them holds the complete
version: with a third of the layers each, three hosts run a request in
sequence. They have to collect different layer ranges, and each region needs
all of them, because traffic between regions is slow and costs money.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from crowrudder_model import ranked
from crowrudder_model.fleet import LayerRange

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_core.transfer._peers import Place

MAX_LAYER_RANGES = 3
"""Maximum number of layer ranges of a version.

With more, each token passes through more hosts, and more of them can fail the
request. A third of a copy has left the origin and reached the other hosts in
about half of the time that a complete copy takes.
"""


def layer_range_count(hosts: int) -> int:
    """Return the number of layer ranges for a number of hosts."""
    return max(min(hosts, MAX_LAYER_RANGES), 1)


def assign_layer_ranges(
    version: str, places: Mapping[str, Place]
) -> dict[str, int]:
    """Return the number of each host's layer range; all hosts compute the same.

    Each region gets every layer range if it has enough hosts, and the layer
    ranges are spread evenly over the hosts of the fleet.
    """
    count = layer_range_count(len(places))
    in_region: Counter[tuple[str, int]] = Counter()
    in_fleet: Counter[int] = Counter()
    assigned = {}
    for host in ranked(version, places):
        region = places[host].region
        number = min(
            range(count),
            key=lambda each: (in_region[region, each], in_fleet[each], each),
        )
        in_region[region, number] += 1
        in_fleet[number] += 1
        assigned[host] = number
    return assigned


def layers_of_range(number: int, count: int, layers: int) -> LayerRange:
    """Return the layers of the range with a number.

    >>> layers_of_range(1, 3, 16)
    LayerRange(first=5, end=10)
    """
    return LayerRange(number * layers // count, (number + 1) * layers // count)


def chunks_of_layers(held: LayerRange, *, layers: int, chunks: int) -> int:
    """Return the chunks (bits) that contain the layers.

    A chunk across the border of two layers belongs to both.

    >>> bin(chunks_of_layers(LayerRange(1, 2), layers=3, chunks=4))
    '0b110'
    """
    first = held.first * chunks // layers
    end = -(-held.end * chunks // layers)
    return (1 << end) - (1 << first)


def held_chunks_by_layer(held: int, *, layers: int, chunks: int) -> list[int]:
    """Return how many chunks of each layer are among the held ones (bits).

    >>> held_chunks_by_layer(0b0101, layers=2, chunks=4)
    [1, 1]
    """
    return [
        (
            held
            & chunks_of_layers(
                LayerRange(layer, layer + 1), layers=layers, chunks=chunks
            )
        ).bit_count()
        for layer in range(layers)
    ]


def longest_held_layers(held: int, *, layers: int, chunks: int) -> LayerRange:
    """Return the longest run of layers whose chunks (bits) are all held.

    >>> longest_held_layers(0b0111, layers=2, chunks=4)
    LayerRange(first=0, end=1)
    >>> longest_held_layers(0b0101, layers=2, chunks=4)
    LayerRange(first=0, end=0)
    """
    best = run = LayerRange()
    for layer in range(layers):
        needed = chunks_of_layers(
            LayerRange(layer, layer + 1), layers=layers, chunks=chunks
        )
        if needed & ~held:
            run = LayerRange(layer + 1, layer + 1)
            continue
        run = LayerRange(run.first, layer + 1)
        best = max(best, run, key=lambda each: each.count)
    return best
