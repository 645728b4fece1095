from __future__ import annotations

from typing import Any

import pytest

from crowrudder_core.forecast import UpstreamForecast
from crowrudder_core.membership import relays
from crowrudder_daemon.fleet_entry import _load_relay
from crowrudder_daemon.fleet_entry._load_relay import LoadRelay
from crowrudder_model import encode_message
from crowrudder_model.fleet import Node, NodeLocation, Upstream
from crowrudder_model.messages import EngineLoad, LoadBatch, MemberStatus

REGIONS = ('a', 'b', 'c')
ETHERNET_BYTES = 1472
ENTRIES = [
    MemberStatus(
        ip=f'10.0.0.{number}',
        role='entry',
        incarnation='1',
        started_at=1.0,
        region=REGIONS[number % len(REGIONS)],
    )
    for number in range(30)
]


class Peers:
    """Knows all entries and records the datagrams that are sent."""

    def __init__(self, region):
        self._region = region
        self.sent = []

    def entries(self):
        return ENTRIES

    def entry_ips(self):
        near = [entry.ip for entry in ENTRIES if entry.region == self._region]
        far = [entry.ip for entry in ENTRIES if entry.region != self._region]
        return near, far

    def send(self, datagram, ips):
        self.sent.append((datagram, list(ips)))


def load(number=0, **more):
    return EngineLoad(address=f'10.1.0.{number}:80', reachable=True, **more)


@pytest.fixture
def clock(monkeypatch):
    times = {'now': 100.0}
    monkeypatch.setattr(_load_relay, 'clock_s', lambda: times['now'])
    return times


def relay_at(ip, region):
    peers: Any = Peers(region)
    node = Node(
        host='h', role='entry', ip=ip, place=NodeLocation(region=region)
    )
    return LoadRelay(node, peers), peers


class TestLoadRelay:
    def test_two_relays_of_a_region_send_to_one_of_each_other_region(
        self, clock
    ):
        """Guards against load reports that fill the links between regions.

        Each of thirty agents sends its load to each of thirty entries of other
        regions three times a second. If every report crossed once per entry,
        reports would take as much of the links as answers, and streams would
        pause without any other load.
        """
        sent = []
        for entry in ENTRIES:
            relay, peers = relay_at(entry.ip, entry.region)
            relay.on_load(load())
            relay._send_batches()
            sent += [(entry.region, ip) for _, ips in peers.sent for ip in ips]
        assert len(sent) == 3 * 2 * 2
        assert len(set(sent)) == len(sent)

    def test_a_received_batch_is_forwarded_once_in_the_own_region(self, clock):
        relay, peers = relay_at(ENTRIES[0].ip, 'a')
        batch = LoadBatch(loads=(load(),), ages_ms=(10,), forward=True)
        relay.forward(batch)
        ((sent, ips),) = peers.sent
        assert not sent.forward
        assert ENTRIES[0].ip not in ips
        assert len(ips) == 9

    def test_the_report_of_a_dead_agent_is_not_repeated(self, clock):
        """Guards against an engine without power that looks idle for ever.

        If a last report were forwarded repeatedly and counted as recent,
        entries of other regions would send requests there, which wait for
        their timeout.
        """
        relay, peers = relay_at(relays(ENTRIES, 'a')[0], 'a')
        relay.on_load(load())
        clock['now'] += 0.7
        relay._send_batches()
        assert not peers.sent

    def test_a_batch_fits_into_one_packet(self, clock):
        relay, peers = relay_at(relays(ENTRIES, 'a')[0], 'a')
        for number in range(60):
            relay.on_load(load(number, weights=3, running=16, queued=20))
        relay._send_batches()
        sizes = [len(encode_message(batch)) for batch, _ in peers.sent]
        assert len(sizes) == 3
        assert max(sizes) <= ETHERNET_BYTES


class TestOrderOfLoadReports:
    def test_an_older_report_does_not_replace_a_newer_one(self):
        """Guards against requests to an engine that is loading.

        Its agent reports the load to all entries. A batch that another entry
        made just before, and that arrives later, still reports it as idle. If
        the report that arrived last counted as the newest, entries of other
        regions would send it requests.
        """
        forecast = UpstreamForecast(
            Upstream(id='i', service='s', address='10.1.0.0:80')
        )
        forecast.on_load(load(is_changing=True), now=10.0)
        forecast.on_load(load(), now=9.8)
        assert forecast.is_changing(10.0)
