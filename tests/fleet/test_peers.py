from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import pytest

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet import _peers_task
from crowrudder_daemon.fleet._peers_task import HeartbeatDue, PeersTask
from crowrudder_daemon.metrics import Metrics
from crowrudder_model import StorePosition, decode_datagram
from crowrudder_model.fleet import Node, NodeLocation
from crowrudder_model.messages import ForwardedStatus, Heartbeat, MemberStatus

REGIONS = ('a', 'b', 'c')
MAX_DATAGRAMS = 8


class FakeTransport:
    """Records the datagrams that a task sends."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, payload, address):
        self.sent.append((address[0], decode_datagram(payload)))


class RecordingListener:
    """Records the load reports that a task receives."""

    def __init__(self):
        self.loads = []

    def peer_report_received(self, ip, position, confirmed_s):
        pass

    def load_received(self, load):
        self.loads.append(load)

    def loads_received(self, batch):
        self.loads += batch.loads

    def chunks_received(self, ip, news):
        pass

    def suspects_received(self, ip, news):
        pass

    def leaving_received(self, ip, news):
        pass

    def limits_received(self, ip, news):
        pass


def entry_status(number):
    return MemberStatus(
        ip=f'10.0.0.{number}',
        role='entry',
        incarnation=str(number),
        started_at=1.0,
        region=REGIONS[number % len(REGIONS)],
    )


def make_task(role, entries):
    runtime: Any = SimpleNamespace(
        log=logging.getLogger('test'), incarnation='1', metrics=Metrics()
    )
    node = Node(
        host='h',
        role=role,
        ip='10.0.0.0',
        place=NodeLocation(region='a'),
        peer_ports=(7700, 7710),
        seeds=('10.0.0.1', '10.0.0.2'),
    )
    task = PeersTask(runtime, node, RecordingListener())
    transport: Any = FakeTransport()
    task._transport = transport
    for number in range(1, entries + 1):
        heartbeat = Heartbeat(status=entry_status(number))
        task._apply_heartbeat(heartbeat, entry_status(number).ip)
    transport.sent.clear()
    return task, transport


class TestBoundedMessages:
    """The number of datagrams that a process sends doesn't grow with the fleet.

    If every process sent its heartbeats and each change of a record to all
    known processes, these would fill the links between the regions: in a fleet
    of 44 entries and 30 agents over half of the streams were late while a
    version was distributed.
    """

    @pytest.mark.parametrize('entries', [20, 43, 240])
    def test_heartbeat_of_an_entry(self, entries):
        task, transport = make_task('entry', entries)
        task.on_heartbeat_due(HeartbeatDue())
        assert len(transport.sent) <= MAX_DATAGRAMS

    @pytest.mark.parametrize('entries', [20, 43, 240])
    def test_new_revision_of_the_platform(self, entries):
        task, transport = make_task('entry', entries)
        task.set_knowledge(StorePosition(1, 7), 0.0)
        assert 0 < len(transport.sent) <= MAX_DATAGRAMS
        assert transport.sent[0][1].position == StorePosition(1, 7)

    @pytest.mark.parametrize('entries', [20, 43, 240])
    def test_heartbeat_of_an_agent(self, entries):
        task, transport = make_task('agent', entries)
        task.on_heartbeat_due(HeartbeatDue())
        assert 0 < len(transport.sent) <= MAX_DATAGRAMS

    def test_leaving_is_sent_to_every_entry(self):
        task, transport = make_task('entry', 43)
        task.set_state(ready=False, leaving=True)
        assert len(transport.sent) == 43

    def test_small_fleet_sends_to_every_entry(self):
        task, transport = make_task('entry', 7)
        task.on_heartbeat_due(HeartbeatDue())
        assert len({ip for ip, _ in transport.sent}) == 7


class TestStatusRequests:
    def test_entry_known_only_through_others_is_asked_for_its_status(self):
        task, transport = make_task('entry', 3)
        other, _ = make_task('entry', 0)
        other.roster.on_status(entry_status(9), 0, now=1.0e9)
        last_seen_entries = other.roster.last_seen_entries(
            task._random, now=1.0e9
        )
        heartbeat = Heartbeat(
            status=entry_status(1), last_seen_entries=last_seen_entries
        )
        task._apply_heartbeat(heartbeat, entry_status(1).ip)
        ((ip, request),) = transport.sent
        assert ip == entry_status(9).ip
        assert request.asks_for_reply

    def test_isolated_process_receives_other_entries(self):
        task, transport = make_task('entry', 20)
        newcomer = entry_status(99)
        heartbeat = Heartbeat(
            status=newcomer, asks_for_reply=True, is_alone=True
        )
        task._apply_heartbeat(heartbeat, newcomer.ip)
        assert transport.sent[0][1].others


class TestProof:
    """Heartbeats of releases that number them count as proved, or not at all."""

    def test_a_new_entry_is_asked_for_a_proof_at_once(self):
        """Guards against entries that are listed only after a heartbeat."""
        task, transport = make_task('entry', 0)
        newcomer = entry_status(9)
        task._apply_heartbeat(Heartbeat(status=newcomer, number=5), newcomer.ip)
        ((ip, request),) = transport.sent
        assert ip == newcomer.ip
        assert request.asks_for_reply
        assert (request.echo, request.number > 0) == (5, True)
        assert newcomer not in task.entries()

        task._apply_heartbeat(
            Heartbeat(status=newcomer, number=6, echo=request.number),
            newcomer.ip,
        )
        assert newcomer in task.entries()
        assert len(transport.sent) == 1

    def test_a_forwarded_status_is_as_old_as_its_message(self, monkeypatch):
        """Guards against a dead entry that a late message makes live."""
        task, transport = make_task('entry', 1)
        forwarder, dead = entry_status(1), entry_status(9)
        task.send_to_all()
        ((_, sent),) = transport.sent
        later = clock_s() + 5
        monkeypatch.setattr(_peers_task, 'clock_s', lambda: later)
        task._apply_heartbeat(
            Heartbeat(
                status=forwarder,
                number=6,
                echo=sent.number,
                others=(ForwardedStatus(dead, 0.0),),
            ),
            forwarder.ip,
        )
        assert dead not in task.entries()
