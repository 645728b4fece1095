from __future__ import annotations

import pytest

from crowrudder_core.transfer import Place, ServiceHosts, _hosts, parts_of
from crowrudder_model import ranked

OWN = '10.0.0.0'
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
