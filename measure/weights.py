"""Weights: time to load on N hosts, copies read from the origin, planning cost.

The unit of time is the bound T/2, in which a host's link carries one copy. A
version has 256 chunks, hosts are spread over 2 regions with 3 failure domains
each, links are full duplex unless stated otherwise, and the origin's link has
the rate of two hosts' links.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from typing import TYPE_CHECKING

from _weights_fleet import (
    CHUNK_US,
    LINK_BYTES_PER_S,
    Fleet,
    Scene,
    make_version,
    place_of,
)
from _weights_links import MICROS
from _weights_processes import show_all
from _weights_trees import all_from_origin, one_tree, tree_per_chunk

from crowrudder_core.transfer import (
    ChunkStore,
    FromPeer,
    PeerInventory,
    Transfer,
    full,
    start_transfer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    Show = Callable[[str, float | str], None]

CHUNKS = 256
SIZES = (8, 32, 128)
TREE_WIDTH = 2
HALF_DUPLEX_SIZES = (8, 32)
COPIES_HOSTS = 32
MAX_COPIES = 4
DEAD_SHARE = 1 / 3
CORRUPTED_SHARE = 0.01
DESIGN_HOSTS = 1800
PLANNING_STEPS = 2000


def run(show: Show) -> None:
    """Run all measurements; takes about three minutes."""
    show('weights.chunks', CHUNKS)
    for hosts in SIZES:
        _without_faults(show, hosts)
        _baselines(show, hosts)
        _with_faults(show, hosts)
    for hosts in HALF_DUPLEX_SIZES:
        _half_duplex(show, hosts)
    _further_copies(show)
    _cost_of_planning(show)
    show_all(show)


def _without_faults(show: Show, hosts: int) -> None:
    fleet = Fleet(Scene(hosts=hosts, chunks=CHUNKS))
    fleet.run()
    show(f'weights.time_over_bound.{hosts}', fleet.time_over_bound)
    show(f'weights.origin_copies.{hosts}', fleet.origin_copies)
    show(f'weights.region_copies.{hosts}', fleet.region_copies)


def _baselines(show: Show, hosts: int) -> None:
    name = f'weights.baseline.{{}}.{hosts}'
    width = TREE_WIDTH
    show(name.format('all_from_origin'), all_from_origin(hosts, CHUNKS))
    show(name.format('one_tree'), one_tree(hosts, CHUNKS, width=width))
    show(name.format('one_chain'), one_tree(hosts, CHUNKS, width=1))
    per_chunk = tree_per_chunk(hosts, CHUNKS, width=width)
    show(name.format('tree_per_chunk'), per_chunk)


def _with_faults(show: Show, hosts: int) -> None:
    """Kill a third of the hosts midway, and corrupt 1 % of the chunks."""
    scene = Scene(
        hosts=hosts,
        chunks=CHUNKS,
        killed_share=DEAD_SHARE,
        corrupted_share=CORRUPTED_SHARE,
    )
    fleet = Fleet(scene)
    fleet.run()
    show(f'weights.time_over_bound.faults.{hosts}', fleet.time_over_bound)
    show(f'weights.origin_copies.faults.{hosts}', fleet.origin_copies)


def _half_duplex(show: Show, hosts: int) -> None:
    """Compare half-duplex links with T/2 and with their own bound.

    N hosts receive N copies and send N - 1, over N links.
    """
    fleet = Fleet(Scene(hosts=hosts, chunks=CHUNKS, half_duplex=True))
    fleet.run()
    ratio = fleet.time_over_bound
    own_bound = (2 * hosts - 1) / hosts
    show(f'weights.half_duplex.time_over_bound.{hosts}', ratio)
    show(f'weights.half_duplex.time_over_own_bound.{hosts}', ratio / own_bound)


def _further_copies(show: Show) -> None:
    for copies in range(1, MAX_COPIES + 1):
        fleet = Fleet(Scene(hosts=COPIES_HOSTS, chunks=CHUNKS, copies=copies))
        fleet.run()
        name = f'weights.declared_copies.{copies}'
        show(f'{name}.time_over_bound.{COPIES_HOSTS}', fleet.time_over_bound)
        show(f'{name}.origin_copies.{COPIES_HOSTS}', fleet.origin_copies)


def _cost_of_planning(show: Show) -> None:
    """Measure planning on one of 1,800 hosts: host list, answers, chunks."""
    tracemalloc.start()
    transfer, hosts_s = _start_one_transfer()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    show('weights.planner.hosts_change_ms.1800', hosts_s * 1000)
    show('weights.planner.memory_mb.1800', peak / 1e6)
    chunk_s = _plan_repeatedly(transfer) / PLANNING_STEPS
    show('weights.planner.us_per_chunk.1800', chunk_s * MICROS)
    show('weights.planner.share_of_core.1800', chunk_s * MICROS / CHUNK_US)


def _start_one_transfer() -> tuple[Transfer, float]:
    manifest, _ = make_version('v1', CHUNKS, 7)
    store = ChunkStore(manifest.size)
    store.want([manifest])
    places = {f'h{n}': place_of(n) for n in range(DESIGN_HOSTS)}
    transfer = start_transfer(
        manifest,
        host='h0',
        place=places['h0'],
        store=store,
        link_bytes_per_s=LINK_BYTES_PER_S,
        random=random.Random(1),
    )
    began = time.process_time()
    transfer.on_hosts(places)
    return transfer, time.process_time() - began


def _plan_repeatedly(transfer: Transfer) -> float:
    """Query, receive and plan once per chunk; return the processor time."""
    rng = random.Random(2)
    chunk_s = CHUNK_US / MICROS
    began = time.process_time()
    for step in range(PLANNING_STEPS):
        now = step * chunk_s
        for host in transfer.peers_to_query(now=now):
            chunks = rng.getrandbits(CHUNKS) & full(CHUNKS)
            transfer.on_inventory(
                PeerInventory(host=host, chunks=chunks, slots=2), now=now
            )
        for read in transfer.next_reads(now=now):
            if isinstance(read, FromPeer):
                transfer.on_busy(read, now=now)
    return time.process_time() - began
