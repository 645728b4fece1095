from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import pytest

from crowrudder_daemon.fleet._peers_task import HeartbeatDue, PeersTask
from crowrudder_daemon.metrics import Metrics
from crowrudder_model import decode_datagram
from crowrudder_model.fleet import Node, NodePlace
from crowrudder_model.messages import Heartbeat, MemberWord

REGIONS = ('a', 'b', 'c')
MOST_FOR_A_BEAT = 8


class Wire:
    """Takes the datagrams that a task sends."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, payload, address):
        self.sent.append((address[0], decode_datagram(payload)))


class Listener:
    """Takes what a task hears."""

    def __init__(self):
        self.loads = []

    def peer_heard(self, ip, revision, confirmed_s):
        pass

    def load_heard(self, load):
        self.loads.append(load)

    def loads_heard(self, batch):
        self.loads += batch.loads

    def chunks_heard(self, ip, news):
        pass

    def suspects_heard(self, ip, news):
        pass

    def limits_heard(self, ip, news):
        pass


def entry_word(number):
    return MemberWord(
        ip=f'10.0.0.{number}',
        role='entry',
        incarnation=str(number),
        started_at=1.0,
        region=REGIONS[number % len(REGIONS)],
    )


def task_of(role, entries):
    runtime: Any = SimpleNamespace(
        log=logging.getLogger('test'), incarnation='1', metrics=Metrics()
    )
    node = Node(
        host='h',
        role=role,
        ip='10.0.0.0',
        place=NodePlace(region='a'),
        peer_ports=(7700, 7710),
        seeds=('10.0.0.1', '10.0.0.2'),
    )
    task = PeersTask(runtime, node, Listener())
    wire: Any = Wire()
    task._transport = wire
    for number in range(1, entries + 1):
        beat = Heartbeat(word=entry_word(number))
        task._apply_heartbeat(beat, entry_word(number).ip)
    wire.sent.clear()
    return task, wire


class TestBoundedMessages:
    """What a process sends doesn't grow with the fleet.

    Symptom: on a fleet of 44 entries and 30 agents over half of the streams
    come late while a version is spread. Sequence: heartbeats of everyone to
    everyone, and each change of a record told by everyone to everyone, take
    the links between the regions. Cause: targets that were all known
    processes.
    """

    @pytest.mark.parametrize('entries', [20, 43, 240])
    def test_a_beat_of_an_entry(self, entries):
        task, wire = task_of('entry', entries)
        task.on_heartbeat_due(HeartbeatDue())
        assert len(wire.sent) <= MOST_FOR_A_BEAT

    @pytest.mark.parametrize('entries', [20, 43, 240])
    def test_news_of_the_platform(self, entries):
        task, wire = task_of('entry', entries)
        task.set_knowledge(7, 0.0)
        assert 0 < len(wire.sent) <= MOST_FOR_A_BEAT
        assert wire.sent[0][1].revision == 7

    @pytest.mark.parametrize('entries', [20, 43, 240])
    def test_a_beat_of_an_agent(self, entries):
        task, wire = task_of('agent', entries)
        task.on_heartbeat_due(HeartbeatDue())
        assert 0 < len(wire.sent) <= MOST_FOR_A_BEAT

    def test_leaving_is_told_to_everyone(self):
        task, wire = task_of('entry', 43)
        task.set_state(ready=False, leaving=True)
        assert len(wire.sent) == 43

    def test_a_small_fleet_hears_everything(self):
        task, wire = task_of('entry', 7)
        task.on_heartbeat_due(HeartbeatDue())
        assert len({ip for ip, _ in wire.sent}) == 7


class TestIntroductions:
    def test_an_entry_that_only_others_know_is_asked(self):
        task, wire = task_of('entry', 3)
        other, _ = task_of('entry', 0)
        other.roster.on_word(entry_word(9), 0, now=1.0e9)
        sightings = other.roster.sightings(task._random, now=1.0e9)
        beat = Heartbeat(word=entry_word(1), sightings=sightings)
        task._apply_heartbeat(beat, entry_word(1).ip)
        ((ip, asked),) = wire.sent
        assert ip == entry_word(9).ip
        assert asked.asks_for_reply

    def test_one_alone_is_told_of_others(self):
        task, wire = task_of('entry', 20)
        newcomer = entry_word(99)
        beat = Heartbeat(word=newcomer, asks_for_reply=True, is_alone=True)
        task._apply_heartbeat(beat, newcomer.ip)
        assert wire.sent[0][1].others
