"""Rate of inventory queries, given the reports that agents send unrequested."""

from __future__ import annotations

from random import Random

import pytest
from attrs import evolve

from crowrudder_core.transfer import (
    PeerInventory,
    PeerTable,
    Place,
    derive_pacing,
)
from crowrudder_daemon.fleet_agent._library import (
    INVENTORY_INTERVAL_S,
    MAX_NEIGHBOURS,
    TRANSFER_PACING,
)

VERSION_SIZES = {
    'size': 2_000_000,
    'chunk_bytes': 32_768,
    'link_bytes_per_s': 475_000,
}
DURATION_S = 10.0
TICK_S = 0.02
MAX_QUERIES_PER_S = 12.0
"""Queries of one agent per second that cost about a hundredth of a core, at a
millisecond each for both sides together."""


def places_of(size):
    return {
        f'10.{each // 250}.0.{each % 250}': Place(
            f'r{each % 2}', f'd{each % 6}'
        )
        for each in range(size)
    }


def queries_per_s(size, *, silent=0):
    """Return the query rate of an agent whose peers send reports.

    Each peer sends its inventory to `MAX_NEIGHBOURS` hosts every `INVENTORY_INTERVAL_S`. Of the
    hosts that the agent reads from, `silent` ones neither report nor answer.
    """
    random = Random(size)
    places = places_of(size)
    own = next(iter(places))
    pace = evolve(derive_pacing(**VERSION_SIZES), **TRANSFER_PACING)
    peers = PeerTable(own, places[own], pace)
    peers.on_hosts(places)
    silent_hosts = set(peers.neighbours()[:silent])
    others = [
        host for host in places if host != own and host not in silent_hosts
    ]
    reports_per_tick = MAX_NEIGHBOURS * TICK_S / INVENTORY_INTERVAL_S
    queries, now, reports_due = 0, 0.0, 0.0
    while now < DURATION_S:
        now += TICK_S
        reports_due += reports_per_tick
        while reports_due >= 1:
            reports_due -= 1
            peers.on_inventory(PeerInventory(host=random.choice(others)), now)
        for host in peers.due_queries((), now):
            queries += 1
            if host in silent_hosts:
                peers.on_no_answer(host, now)
            else:
                peers.on_inventory(PeerInventory(host=host), now)
    return queries / DURATION_S


class TestInventoryQueries:
    """Guards against queries to hosts that report their inventory anyway.

    Agents spent more time on queries to each other than on chunks.
    """

    @pytest.mark.parametrize('size', [30, 300, 2140])
    def test_queries_are_bounded_at_any_fleet_size(self, size):
        assert queries_per_s(size) <= MAX_QUERIES_PER_S

    def test_queries_are_few_where_inventories_arrive_unrequested(self):
        assert queries_per_s(52) <= MAX_QUERIES_PER_S / 2

    def test_silent_hosts_are_still_queried(self):
        assert queries_per_s(30, silent=3) > 0
