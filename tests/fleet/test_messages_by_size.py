"""Datagrams between all processes of a fleet, small and large, in one loop."""

from __future__ import annotations

import logging
from collections import Counter, deque
from types import SimpleNamespace
from typing import Any

import pytest

from crowrudder_core.membership import CONTACTS
from crowrudder_daemon.fleet import _peers_task
from crowrudder_daemon.fleet._peers_task import (
    HEARTBEAT_INTERVAL_S,
    DatagramReceived,
    HeartbeatDue,
    PeersTask,
)
from crowrudder_model import decode_datagram
from crowrudder_model.fleet import Node, NodePlace
from crowrudder_model.messages import Heartbeat

REGIONS = ('a', 'b')
ENTRIES_OF = {30: 6, 300: 48, 2140: 340}
"""Entries among so many processes; the others are agents."""

BEATS = 5
SIZES = pytest.mark.parametrize('size', sorted(ENTRIES_OF))


class Listener:
    """Takes no interest in what is heard."""

    def peer_heard(self, ip, revision, confirmed_s):
        pass


class Wire:
    """What one process sends."""

    def __init__(self, net, ip):
        self._net = net
        self._ip = ip

    def is_closing(self):
        return False

    def sendto(self, payload, address):
        self._net.on_sent(self._ip, address[0], payload)


class Net:
    """A fleet that has met, and counts of its datagrams by sender and target."""

    def __init__(self, size):
        self._waiting: deque[tuple[str, str, bytes]] = deque()
        self.now = 1000.0
        entries = ENTRIES_OF[size]
        self.tasks = {
            ip: self._task(ip, 'entry' if number < entries else 'agent')
            for number in range(size)
            if (ip := f'10.{number // 250}.0.{number % 250}')
        }
        words = [each.roster.own for each in self.tasks.values()]
        for task in self.tasks.values():
            for word in words[:entries]:
                task.roster.on_word(word, 0, now=self.now)
        self.sent: Counter[str] = Counter()
        self.heard: Counter[str] = Counter()

    def _task(self, ip, role):
        counter = SimpleNamespace(add=lambda: None)
        metrics = SimpleNamespace(
            counter=lambda *_: counter, gauge=lambda *_: None
        )
        runtime: Any = SimpleNamespace(
            log=logging.getLogger('test'), incarnation=ip, metrics=metrics
        )
        region = REGIONS[int(ip.rpartition('.')[2]) % len(REGIONS)]
        node = Node(
            host=ip,
            role=role,
            ip=ip,
            place=NodePlace(region=region),
            peer_ports=(7700, 7710),
            seeds=('10.0.0.0', '10.0.0.1', '10.0.0.2'),
        )
        listener: Any = Listener()
        task = PeersTask(runtime, node, listener)
        wire: Any = Wire(self, ip)
        task._transport = wire
        return task

    def on_sent(self, ip, target, payload):
        self._waiting.append((ip, target, payload))

    def deliver(self):
        """Deliver what was sent, and what is sent in answer."""
        while self._waiting:
            ip, target, payload = self._waiting.popleft()
            self.sent[ip] += 1
            self.heard[target] += 1
            self.tasks[target].on_datagram_received(
                DatagramReceived(payload, ip)
            )

    def beat(self):
        for task in self.tasks.values():
            task.on_heartbeat_due(HeartbeatDue())
        self.deliver()
        self.now += HEARTBEAT_INTERVAL_S

    def most(self, counts, role):
        """Give the most datagrams of one process of a role, for each beat."""
        ips = [ip for ip, task in self.tasks.items() if self._is(task, role)]
        return max(counts[ip] for ip in ips) / BEATS

    def _is(self, task, role):
        return task.roster.own.role == role


@pytest.fixture
def net_of(monkeypatch):
    def made(size):
        net = Net(size)
        monkeypatch.setattr(_peers_task, 'clock_s', lambda: net.now)
        return net

    return made


class TestAgentsThatChangeNothing:
    """An agent hears the entries that it has chosen, at any size.

    Symptom: processor time and bytes of an agent grow with the fleet; three
    entries send a heartbeat to every agent there is. Sequence: an agent asks
    the seeds now and then, and tells entries drawn by chance of each change of
    the records; each that hears it sends it heartbeats for three seconds, and
    records change all the time. Cause: whoever is heard counted as an agent
    that has chosen this entry.
    """

    @SIZES
    def test_an_agent_hears_its_contacts(self, size, net_of):
        net = net_of(size)
        for revision in range(1, BEATS + 1):
            for task in net.tasks.values():
                task.set_knowledge(revision, net.now)
            net.deliver()
            net.beat()
        # One heartbeat of each contact, and one for the change.
        assert net.most(net.heard, 'agent') <= 2 * CONTACTS

    @SIZES
    def test_no_entry_feeds_all_agents(self, size, net_of):
        net = net_of(size)
        agents = size - ENTRIES_OF[size]
        for _ in range(BEATS):
            net.beat()
        mean = CONTACTS * agents / ENTRIES_OF[size]
        sent = net.most(net.sent, 'entry')
        # Chosen by hash: some are chosen three times as often as the mean.
        assert sent <= 3 * mean + 16


class TestAgentsHeard:
    def agent_beat(self, net, **more):
        agents = (
            ip for ip, task in net.tasks.items() if net._is(task, 'agent')
        )
        agent = next(agents)
        return agent, Heartbeat(word=net.tasks[agent].roster.own, **more)

    @pytest.mark.parametrize(
        ('more', 'is_fed'), [({}, True), ({'asks_for_reply': True}, False)]
    )
    def test_one_that_only_asks_is_not_fed(self, net_of, more, is_fed):
        net = net_of(30)
        agent, beat = self.agent_beat(net, **more)
        entry = net.tasks['10.0.0.0']
        entry._apply_heartbeat(beat, agent)
        net._waiting.clear()
        entry.on_heartbeat_due(HeartbeatDue())
        fed = {
            target
            for _, target, payload in net._waiting
            if decode_datagram(payload)
        }
        assert (agent in fed) is is_fed
