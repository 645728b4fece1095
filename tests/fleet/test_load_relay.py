from __future__ import annotations

from typing import Any

import pytest

from crowrudder_core.forecast import Outlook
from crowrudder_core.membership import relays
from crowrudder_daemon.fleet_entry import _load_relay
from crowrudder_daemon.fleet_entry._load_relay import LoadRelay
from crowrudder_model import encode_message
from crowrudder_model.fleet import Node, NodePlace, Upstream
from crowrudder_model.messages import EngineLoad, LoadBatch, MemberWord

REGIONS = ('a', 'b', 'c')
ETHERNET_BYTES = 1472
WORDS = [
    MemberWord(
        ip=f'10.0.0.{number}',
        role='entry',
        incarnation='1',
        started_at=1.0,
        region=REGIONS[number % len(REGIONS)],
    )
    for number in range(30)
]


class Peers:
    """Knows all entries, and takes what is told."""

    def __init__(self, region):
        self._region = region
        self.told = []

    def entries(self):
        return WORDS

    def entry_ips(self):
        near = [word.ip for word in WORDS if word.region == self._region]
        far = [word.ip for word in WORDS if word.region != self._region]
        return near, far

    def tell(self, datagram, ips):
        self.told.append((datagram, list(ips)))


def load(number=0, **more):
    return EngineLoad(address=f'10.1.0.{number}:80', reachable=True, **more)


@pytest.fixture
def clock(monkeypatch):
    times = {'now': 100.0}
    monkeypatch.setattr(_load_relay, 'clock_s', lambda: times['now'])
    return times


def relay_at(ip, region):
    peers: Any = Peers(region)
    node = Node(host='h', role='entry', ip=ip, place=NodePlace(region=region))
    return LoadRelay(node, peers), peers


class TestLoadRelay:
    def test_two_of_a_region_tell_one_of_each_other_region(self, clock):
        """Words on load took as much of the region links as answers did.

        Symptom: streams pause while nothing else happens. Sequence: each of
        thirty agents tells each of thirty far entries its load three times a
        second. Cause: every word crossed as often as there were entries.
        """
        told = []
        for word in WORDS:
            relay, peers = relay_at(word.ip, word.region)
            relay.on_load(load())
            relay._tell()
            told += [(word.region, ip) for _, ips in peers.told for ip in ips]
        assert len(told) == 3 * 2 * 2
        assert len(set(told)) == len(told)

    def test_what_came_is_told_to_the_own_region_once(self, clock):
        relay, peers = relay_at(WORDS[0].ip, 'a')
        batch = LoadBatch(loads=(load(),), ages_ms=(10,), pass_on=True)
        relay.pass_on(batch)
        ((told, ips),) = peers.told
        assert not told.pass_on
        assert WORDS[0].ip not in ips
        assert len(ips) == 9

    def test_the_word_of_a_dead_agent_is_not_repeated(self, clock):
        """An engine without power looked empty to other regions for ever.

        Symptom: requests are sent there and wait for their time-out. Cause: a
        last word that is passed on again and again, and counts as fresh.
        """
        relay, peers = relay_at(relays(WORDS, 'a')[0], 'a')
        relay.on_load(load())
        clock['now'] += 0.7
        relay._tell()
        assert not peers.told

    def test_a_batch_fits_into_one_packet(self, clock):
        relay, peers = relay_at(relays(WORDS, 'a')[0], 'a')
        for number in range(60):
            relay.on_load(load(number, weights=3, running=16, queued=20))
        relay._tell()
        sizes = [len(encode_message(batch)) for batch, _ in peers.told]
        assert len(sizes) == 3
        assert max(sizes) <= ETHERNET_BYTES


class TestOrderOfWords:
    def test_an_older_word_does_not_replace_a_newer_one(self):
        """An engine that was being loaded got requests from another region.

        Sequence: its agent says so to everyone; a batch that another entry
        made just before says that it is at rest. Cause: the word that came
        last counted as the newest.
        """
        outlook = Outlook(Upstream(id='i', service='s', address='10.1.0.0:80'))
        outlook.on_load(load(is_changing=True), now=10.0)
        outlook.on_load(load(), now=9.8)
        assert outlook.is_changing(10.0)
