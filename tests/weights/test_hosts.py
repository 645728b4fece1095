from __future__ import annotations

import pytest

from crowrudder_core.transfer import (
    PeerInventory,
    PeerTable,
    Place,
    ServiceHosts,
    _hosts,
    assign_layer_ranges,
    derive_pacing,
)
from crowrudder_core.transfer._planner import OTHER_REGION
from crowrudder_model import ranked

OWN = '10.0.0.0'
VERSION_SIZES = {'size': 4, 'chunk_bytes': 1, 'link_bytes_per_s': 1}
SIZES = pytest.mark.parametrize('size', [30, 300, 2140])


def places_of(size):
    return {
        f'10.{each // 250}.0.{each % 250}': Place(
            f'r{each % 2}', f'd{each % 6}'
        )
        for each in range(size)
    }


@pytest.fixture
def rankings(monkeypatch):
    """Record each ranking of all hosts."""
    counted = []

    def count(of):
        def called(*args):
            counted.append(of)
            return of(*args)

        return called

    monkeypatch.setattr(_hosts, 'ranked', count(ranked))
    monkeypatch.setattr(
        _hosts, 'assign_layer_ranges', count(assign_layer_ranges)
    )
    return counted


class TestUnchangedHostList:
    """Guards against CPU time that grows with the square of the fleet.

    Each engine that loads a version changes its record. Agents ranked all
    hosts for each version several times at each change of any record, and four
    times a second, although the hosts were unchanged. In a large fleet they
    used twice the CPU time of agents in a small one, mostly while a version
    was distributed.
    """

    @SIZES
    def test_unchanged_hosts_are_not_ranked_again(self, size, rankings):
        hosts = ServiceHosts(host=OWN)
        for _ in range(100):
            hosts.on_hosts(places_of(size))
            hosts.rank('m@1')
            hosts.layer_range('m@1')
        assert len(rankings) == 2

    @SIZES
    def test_ranks_and_layer_ranges_follow_the_new_list(self, size):
        hosts = ServiceHosts(host=OWN)
        for count in (size, size + 1):
            places = places_of(count)
            hosts.on_hosts(places)
            assert hosts.rank('m@1') == ranked('m@1', places).index(OWN)
            assert (
                hosts.layer_range('m@1')
                == assign_layer_ranges('m@1', places)[OWN]
            )

    def test_other_hosts_are_grouped_by_region(self):
        hosts = ServiceHosts(host=OWN)
        hosts.on_hosts(places_of(4))
        near, far = hosts.others_by_region
        assert (near, far) == (['10.0.0.2'], ['10.0.0.1', '10.0.0.3'])


class TestSourcesOfOtherRegions:
    """Guards against scanning every host of the fleet for each chunk."""

    @SIZES
    def test_sources_not_read_from_are_merged(self, size):
        peers = PeerTable(
            OWN, Place('r0', 'd0'), derive_pacing(**VERSION_SIZES)
        )
        peers.on_hosts(places_of(size))
        for host in peers.peers:
            peers.on_inventory(
                PeerInventory(host=host, chunks=0b111, slots=3), now=1.0
            )
        found = peers.sources(1.0, importable=0, all_chunks=0b1111)
        far = [each for each in found if each.distance == OTHER_REGION]
        assert [each.host for each in far] == ['']
        assert (far[0].chunks, far[0].free_slots) == (0b111, 0)

    def test_complete_hosts_and_holders_of_importable_chunks_are_listed(self):
        peers = PeerTable(
            OWN, Place('r0', 'd0'), derive_pacing(**VERSION_SIZES)
        )
        peers.on_hosts(places_of(6))
        for host, chunks in (('10.0.0.1', 0b1111), ('10.0.0.3', 0b1)):
            peers.on_inventory(PeerInventory(host=host, chunks=chunks), now=1.0)
        for importable, names in (
            (0, {'10.0.0.1', ''}),
            (1, {'10.0.0.1', '10.0.0.3'}),
        ):
            found = peers.sources(1.0, importable=importable, all_chunks=0b1111)
            assert {each.host for each in found} == names
