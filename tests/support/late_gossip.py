"""Entries in virtual time whose datagrams are read late, twice or never."""

from __future__ import annotations

import logging
import random
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from attrs import define, frozen

from crowrudder_daemon.fleet import _catalog_task, _peers_task
from crowrudder_daemon.fleet._catalog_task import CatalogTask
from crowrudder_daemon.fleet._peers_task import (
    HEARTBEAT_INTERVAL_S,
    DatagramReceived,
    HeartbeatDue,
    PeersTask,
)
from crowrudder_daemon.fleet._records import RecordsReceived
from crowrudder_daemon.metrics import Metrics
from crowrudder_model import NO_POSITION
from crowrudder_model.fleet import Bounds, Node, NodeLocation

BOUND_S = 3.0
ROUNDING_S = 0.002
"""Ages are sent in whole milliseconds."""


@frozen
class Sent:
    """A datagram on its way."""

    payload: bytes
    sender: str
    target: str
    read_at: float


class Transport:
    """Passes the datagrams of one process to the network."""

    def __init__(self, net: LateGossip, ip: str) -> None:
        self._net = net
        self._ip = ip

    def is_closing(self) -> bool:
        return False

    def sendto(self, payload: bytes, address: tuple[str, int]) -> None:
        self._net.on_sent(payload, self._ip, address[0])


@define
class Entry:
    """The tasks of an entry that exchange statuses and confirmations."""

    peers: PeersTask
    catalog: CatalogTask

    @property
    def confirmed_at(self) -> float:
        """Time of the newest confirmation that the entry believes."""
        return self.catalog.reading.confirmed_at

    def live_ips(self) -> set[str]:
        """Return the entries that are offered to callers."""
        return {status.ip for status in self.peers.entries()}


class LateGossip:
    """A fleet of entries, with a clock that stands until it is moved.

    Parameters
    ----------
    late_s
        Time from the sending of a datagram until it is read.
    """

    def __init__(self, count: int, *, late_s: float = 0, seed: int = 1) -> None:
        self.now = 1000.0
        self.late_s = late_s
        self.rng = random.Random(seed)
        self.in_flight: list[Sent] = []
        self.sent_at: dict[str, float] = {}
        self.bytes_sent = 0
        self.confirmed_at = -1.0e8
        self.starts = 0
        self._patches = ExitStack()
        for module in (_peers_task, _catalog_task):
            self._patches.enter_context(
                patch.object(module, 'clock_s', lambda: self.now)
            )
        self.ips = [f'10.0.0.{number}' for number in range(1, count + 1)]
        self.entries = {ip: self._start(ip) for ip in self.ips}
        self._due = {
            ip: self.now + self.rng.uniform(0, HEARTBEAT_INTERVAL_S)
            for ip in self.ips
        }

    def close(self) -> None:
        """Restore the clock."""
        self._patches.close()

    def __enter__(self) -> LateGossip:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _start(self, ip: str) -> Entry:
        self.starts += 1
        runtime: Any = SimpleNamespace(
            log=logging.getLogger('test'),
            incarnation=f'{ip}/{self.starts}',
            metrics=Metrics(),
        )
        node = Node(
            host=ip,
            role='entry',
            ip=ip,
            place=NodeLocation(region='a'),
            peer_ports=(7700, 7710),
            seeds=tuple(self.ips[:2]),
            bounds=Bounds(config_s=BOUND_S),
        )
        listener: Any = SimpleNamespace()
        peers = PeersTask(runtime, node, listener)
        transport: Any = Transport(self, ip)
        peers._transport = transport
        nothing: Any = None
        catalog = CatalogTask(
            runtime,
            node,
            source=nothing,
            peers=peers,
            client=nothing,
            on_change=lambda: None,
        )
        listener.peer_report_received = catalog.peer_report_received
        return Entry(peers, catalog)

    def restart(self, ip: str) -> None:
        """Replace an entry by a new incarnation at its address."""
        self.entries[ip] = self._start(ip)
        self._due[ip] = self.now

    def end(self, ip: str) -> None:
        """End an entry; its datagrams are still on their way."""
        del self.entries[ip]

    def confirm(self, ip: str) -> None:
        """Let the platform confirm now that an entry has all records."""
        self.confirmed_at = self.now
        self.entries[ip].catalog.on_records_received(
            RecordsReceived(
                (), NO_POSITION, False, 'platform', confirmed_at=self.now
            )
        )

    def on_sent(self, payload: bytes, sender: str, target: str) -> None:
        self.sent_at[sender] = self.now
        self.bytes_sent += len(payload)
        self.in_flight.append(
            Sent(payload, sender, target, self.now + self.late_s)
        )

    def send_heartbeat(self, ip: str) -> None:
        self.entries[ip].peers.on_heartbeat_due(HeartbeatDue())

    def read(self, sent: Sent) -> None:
        """Let the target of a datagram read it now."""
        entry = self.entries.get(sent.target)
        if entry is not None:
            entry.peers.on_datagram_received(
                DatagramReceived(sent.payload, sent.sender)
            )

    def run(self, duration_s: float, *, confirms: bool = False) -> None:
        """Let all entries run; the first one watches the platform."""
        ends_at = self.now + duration_s
        while True:
            due = min(self._due[ip] for ip in self.entries)
            read_at = min(
                (sent.read_at for sent in self.in_flight), default=ends_at
            )
            at = min(due, read_at, ends_at)
            self.now = max(self.now, at)
            if at >= ends_at:
                return
            if read_at <= due:
                ready = [s for s in self.in_flight if s.read_at <= self.now]
                self.in_flight = [
                    s for s in self.in_flight if s.read_at > self.now
                ]
                for sent in ready:
                    self.read(sent)
            for ip in self.entries:
                if self._due[ip] <= self.now:
                    self._due[ip] += HEARTBEAT_INTERVAL_S * self.rng.uniform(
                        0.9, 1.1
                    )
                    if confirms and ip == self.ips[0]:
                        self.confirm(ip)
                    self.send_heartbeat(ip)

    def check_beliefs(self) -> None:
        """Check that nobody believes anything to be younger than it is."""
        for ip, entry in self.entries.items():
            assert entry.confirmed_at <= self.confirmed_at, ip
            seen = entry.peers.roster.last_seen_entries(self.rng, now=self.now)
            for each in seen:
                at = self.now - each.age_ms / 1000
                assert at <= self.sent_at[each.ip] + ROUNDING_S, (ip, each.ip)
