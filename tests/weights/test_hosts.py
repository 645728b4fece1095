from __future__ import annotations

import pytest

from crowrudder_core.transfer import (
    PeerBook,
    Place,
    ServiceHosts,
    Stock,
    _hosts,
    pace_for,
    parts_of,
)
from crowrudder_core.transfer._planner import OTHER_REGION
from crowrudder_model import ranked

OWN = '10.0.0.0'
SIZE_OF_A_VERSION = {'size': 4, 'chunk_bytes': 1, 'link_bytes_per_s': 1}
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
    """Count how often all hosts are ranked."""
    counted = []

    def count(of):
        def called(*args):
            counted.append(of)
            return of(*args)

        return called

    monkeypatch.setattr(_hosts, 'ranked', count(ranked))
    monkeypatch.setattr(_hosts, 'parts_of', count(parts_of))
    return counted


class TestChangesThatMoveNoHost:
    """An agent's processor time grew with the square of the fleet.

    Symptom: agents take twice the time of those of a small fleet, most while
    a version is spread. Sequence: each engine that loads changes its record;
    at each change of any record, and four times a second besides, each agent
    ranks all hosts for each version, several times over. Cause: ranks and
    parts were worked out where they were needed, though the hosts were the
    same.
    """

    @SIZES
    def test_they_rank_nothing(self, size, rankings):
        hosts = ServiceHosts(host=OWN)
        for _ in range(100):
            hosts.on_hosts(places_of(size))
            hosts.rank('m@1')
            hosts.part('m@1')
        assert len(rankings) == 2

    @SIZES
    def test_ranks_and_parts_are_those_of_the_new_list(self, size):
        hosts = ServiceHosts(host=OWN)
        for count in (size, size + 1):
            places = places_of(count)
            hosts.on_hosts(places)
            assert hosts.rank('m@1') == ranked('m@1', places).index(OWN)
            assert hosts.part('m@1') == parts_of('m@1', places)[OWN]

    def test_others_are_told_apart_by_region(self):
        hosts = ServiceHosts(host=OWN)
        hosts.on_hosts(places_of(4))
        near, far = hosts.others_by_region
        assert (near, far) == (['10.0.0.2'], ['10.0.0.1', '10.0.0.3'])


class TestSourcesOfOtherRegions:
    """Each chunk that came had a look at every host of the fleet."""

    @SIZES
    def test_those_that_nothing_is_read_from_are_one(self, size):
        peers = PeerBook(OWN, Place('r0', 'd0'), pace_for(**SIZE_OF_A_VERSION))
        peers.on_hosts(places_of(size))
        for host in peers.peers:
            peers.on_stock(Stock(host=host, chunks=0b111, slots=3), now=1.0)
        found = peers.sources(1.0, importable=0, whole=0b1111)
        far = [each for each in found if each.distance == OTHER_REGION]
        assert [each.host for each in far] == ['']
        assert (far[0].chunks, far[0].room) == (0b111, 0)

    def test_those_that_hold_all_or_what_is_imported_stand_for_themselves(self):
        peers = PeerBook(OWN, Place('r0', 'd0'), pace_for(**SIZE_OF_A_VERSION))
        peers.on_hosts(places_of(6))
        for host, chunks in (('10.0.0.1', 0b1111), ('10.0.0.3', 0b1)):
            peers.on_stock(Stock(host=host, chunks=chunks), now=1.0)
        for importable, names in (
            (0, {'10.0.0.1', ''}),
            (1, {'10.0.0.1', '10.0.0.3'}),
        ):
            found = peers.sources(1.0, importable=importable, whole=0b1111)
            assert {each.host for each in found} == names
