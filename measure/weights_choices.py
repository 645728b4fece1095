"""Alternatives considered for the transfer of weights, over the same links.

Runs only when named. Each figure is the time over the bound T/2, with one value
changed from the shipped ones at a time. `docs/decisions` uses the figures.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import mock

from _weights_fleet import Fleet, Links, Scene
from _weights_trees import one_tree, tree_per_chunk

from crowrudder_core.transfer import ChunkOrder, _origin

if TYPE_CHECKING:
    from collections.abc import Callable

    Show = Callable[[str, float | str], None]

HOSTS = 32
CHUNKS = 128
NO_STAGGER = 1_000_000


def run(show: Show) -> None:
    """Measure each alternative; takes about a minute and a half."""
    _time(show, 'shipped')
    for order in ChunkOrder:
        _time(show, f'order.{order.value}', order=order)
    for neighbours in (4, 8, 24):
        _time(show, f'neighbours.{neighbours}', neighbours=neighbours)
    for reads in (2, 4, 6):
        _time(show, f'reads_at_once.{reads}', reads_at_once=reads)
    for slots in (1, 4):
        links = Links(slots=slots)
        _time(show, f'upload_slots.{slots}', links=links)
    with mock.patch.object(_origin, 'ORIGIN_CAPACITY_LINKS', NO_STAGGER):
        _time(show, 'origin.no_stagger')
    for seeds in (4, 8, 16):
        with mock.patch.object(_origin, 'MAX_SEEDS', seeds):
            _time(show, f'seeds.{seeds}')
    for chunks in (32, 64, 256, 512):
        fleet = _run(Scene(hosts=HOSTS, chunks=chunks))
        show(f'weights.choice.chunks.{chunks}', fleet.time_over_bound)
    for width in (1, 2, 3, 4):
        tree = one_tree(HOSTS, CHUNKS, width=width)
        show(f'weights.choice.one_tree.{width}', tree)
        tree = tree_per_chunk(HOSTS, CHUNKS, width=width)
        show(f'weights.choice.tree_per_chunk.{width}', tree)


def _time(
    show: Show, name: str, links: Links | None = None, **changes: Any
) -> None:
    fleet = _run(
        Scene(
            hosts=HOSTS,
            chunks=CHUNKS,
            changes=changes,
            links=links or Links(),
        ),
    )
    show(f'weights.choice.{name}', fleet.time_over_bound)


def _run(scene: Scene) -> Fleet:
    fleet = Fleet(scene)
    fleet.run(until_us=scene.bound_us * 5)
    return fleet
