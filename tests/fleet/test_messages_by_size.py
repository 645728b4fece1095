"""Number of datagrams between all processes of a fleet, by its size."""

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
from crowrudder_model import StorePosition, decode_datagram
from crowrudder_model.fleet import Node, NodeLocation
from crowrudder_model.messages import Heartbeat

REGIONS = ('a', 'b')
ENTRY_COUNTS = {30: 6, 300: 48, 2140: 340}
"""Number of entries by number of processes; the others are agents."""

HEARTBEATS = 5
SIZES = pytest.mark.parametrize('size', sorted(ENTRY_COUNTS))


class IgnoringListener:
    """Ignores heartbeats."""

    def peer_report_received(self, ip, position, confirmed_s):
        pass


class FakeTransport:
    """Passes the datagrams of one process to the network."""

    def __init__(self, net, ip):
        self._net = net
        self._ip = ip

    def is_closing(self):
        return False

    def sendto(self, payload, address):
        self._net.on_sent(self._ip, address[0], payload)


class FakeNetwork:
    """Connects all processes and counts datagrams by sender and target.

    All processes know all entries from the start.
    """

    def __init__(self, size):
        self._waiting: deque[tuple[str, str, bytes]] = deque()
        self.now = 1000.0
        entries = ENTRY_COUNTS[size]
        self.tasks = {
            ip: self._task(ip, 'entry' if number < entries else 'agent')
            for number in range(size)
            if (ip := f'10.{number // 250}.0.{number % 250}')
        }
        statuses = [each.roster.own for each in self.tasks.values()]
        for task in self.tasks.values():
            for status in statuses[:entries]:
                task.roster.on_status(status, 0, now=self.now)
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()

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
            place=NodeLocation(region=region),
            peer_ports=(7700, 7710),
            seeds=('10.0.0.0', '10.0.0.1', '10.0.0.2'),
        )
        listener: Any = IgnoringListener()
        task = PeersTask(runtime, node, listener)
        transport: Any = FakeTransport(self, ip)
        task._transport = transport
        return task

    def on_sent(self, ip, target, payload):
        self._waiting.append((ip, target, payload))

    def deliver(self):
        """Deliver all sent datagrams, and those sent in reply."""
        while self._waiting:
            ip, target, payload = self._waiting.popleft()
            self.sent[ip] += 1
            self.received[target] += 1
            self.tasks[target].on_datagram_received(
                DatagramReceived(payload, ip)
            )

    def heartbeat(self):
        for task in self.tasks.values():
            task.on_heartbeat_due(HeartbeatDue())
        self.deliver()
        self.now += HEARTBEAT_INTERVAL_S

    def max_per_heartbeat(self, counts, role):
        """Return the highest count of a role's processes, per heartbeat."""
        ips = [
            ip for ip, task in self.tasks.items() if self._has_role(task, role)
        ]
        return max(counts[ip] for ip in ips) / HEARTBEATS

    def _has_role(self, task, role):
        return task.roster.own.role == role


@pytest.fixture
def make_network(monkeypatch):
    def make(size):
        net = FakeNetwork(size)
        monkeypatch.setattr(_peers_task, 'clock_s', lambda: net.now)
        return net

    return make


class TestAgentsThatChangeNothing:
    """An agent receives heartbeats only from its chosen entries, at any size.

    If every agent whose heartbeat an entry receives counted as one that has
    chosen the entry, each entry that an agent contacts, such as a seed or a
    random entry on a change of the records, would send it heartbeats for three
    seconds. As records change all the time, processor time and bytes of an
    agent would grow with the fleet, and three entries would send a heartbeat to
    every agent.
    """

    @SIZES
    def test_agent_receives_only_from_its_contacts(self, size, make_network):
        net = make_network(size)
        for revision in range(1, HEARTBEATS + 1):
            for task in net.tasks.values():
                task.set_knowledge(StorePosition(1, revision), net.now)
            net.deliver()
            net.heartbeat()
        # Each contact sends one periodic heartbeat, and one for the change.
        assert net.max_per_heartbeat(net.received, 'agent') <= 2 * CONTACTS

    @SIZES
    def test_no_entry_sends_to_all_agents(self, size, make_network):
        net = make_network(size)
        agents = size - ENTRY_COUNTS[size]
        for _ in range(HEARTBEATS):
            net.heartbeat()
        mean = CONTACTS * agents / ENTRY_COUNTS[size]
        sent = net.max_per_heartbeat(net.sent, 'entry')
        # Contacts are chosen by hash: some three times as often as the mean.
        assert sent <= 3 * mean + 16


class TestAgentsHeard:
    def agent_heartbeat(self, net, **more):
        agents = (
            ip for ip, task in net.tasks.items() if net._has_role(task, 'agent')
        )
        agent = next(agents)
        return agent, Heartbeat(status=net.tasks[agent].roster.own, **more)

    @pytest.mark.parametrize(
        ('more', 'is_fed'), [({}, True), ({'asks_for_reply': True}, False)]
    )
    def test_only_agents_that_chose_the_entry_receive_heartbeats(
        self, make_network, more, is_fed
    ):
        net = make_network(30)
        agent, heartbeat = self.agent_heartbeat(net, **more)
        entry = net.tasks['10.0.0.0']
        entry._apply_heartbeat(heartbeat, agent)
        net._waiting.clear()
        entry.on_heartbeat_due(HeartbeatDue())
        receivers = {
            target
            for _, target, payload in net._waiting
            if decode_datagram(payload)
        }
        assert (agent in receivers) is is_fed
