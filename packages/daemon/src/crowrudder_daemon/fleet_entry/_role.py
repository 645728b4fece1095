"""Put the entry of a fleet together from its tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer

from crowrudder_daemon._callers_port import CallersPort
from crowrudder_daemon._ticks import sleep_to_tick
from crowrudder_daemon.fleet import FleetRole
from crowrudder_daemon.fleet_entry._caller_side import CallersServer
from crowrudder_daemon.fleet_entry._directory import Directory
from crowrudder_daemon.fleet_entry._load_relay import LoadRelay
from crowrudder_daemon.fleet_entry._parts import EntryParts
from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
from crowrudder_daemon.fleet_entry._requests_task import RequestsTask
from crowrudder_daemon.fleet_entry._upstreams import Upstreams

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import Tuning
    from crowrudder_daemon.fleet.ports import CallersDialect, PublishedSource
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import (
        EngineLoad,
        LimitNews,
        LoadBatch,
        SuspectNews,
    )

MOST_HEADER_BYTES = 65_536
MOST_BODY_BYTES = 16 * 1024 * 1024
"""What is read at the most before the configured limits are applied."""

BODY_TIMEOUT_S = 30.0
OPEN_AFTER_S = 1.5
"""How long a leaving entry still takes connections: callers keep an answer on
which entry to use for a while, and a closed port costs them a try."""

LATE_S = 0.3
"""How long a leaving entry still refuses, in words, what crosses its close."""

CONTACT_EVERY_S = 1.0


def build_fleet_entry(
    runtime: Runtime,
    node: Node,
    tuning: Tuning,
    source: PublishedSource,
    dialect: CallersDialect,
) -> FleetEntry:
    """Make the entry of a node; nothing starts yet."""
    return FleetEntry(runtime, node, tuning, source, dialect)


class FleetEntry(FleetRole):
    """The entry's tasks and their order of start and stop."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        tuning: Tuning,
        source: PublishedSource,
        dialect: CallersDialect,
    ) -> None:
        super().__init__(runtime, node, source)
        self._leaving = False
        self.quarantine = RequestQuarantine(runtime, self.peers)
        self.upstreams = Upstreams(
            runtime, node, self.catalog.view, self.peers, self.quarantine
        )
        self._relay = LoadRelay(node, self.peers)
        parts = EntryParts(dialect, self.upstreams, self.quarantine, runtime)
        self.requests = RequestsTask(runtime, self.catalog, parts)
        self._http = HTTPServer(
            CallersServer(self.requests.on_request),
            max_header_size=MOST_HEADER_BYTES,
            max_body_size=MOST_BODY_BYTES,
            max_buffer_size=MOST_BODY_BYTES + MOST_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._port = CallersPort(self._http)
        directory = Directory(
            dialect=dialect,
            entries=self.peers.entries,
            own=node.callers,
            is_ready=lambda: not self.readiness(),
            ttl_s=min(tuning.answer_ttl_s, node.bounds.answer_ttl_s),
        )
        addresses = {node.ready, node.directory}
        self._pages = {
            address: HTTPServer(directory.application())
            for address in sorted(addresses)
        }

    async def start(self) -> None:
        """Listen and begin to learn."""
        await self.begin()
        self.runtime.spawn(self._look_for_peers(), step='look for peers')
        self.runtime.spawn(self._relay.tell_for_ever(), step='relay loads')
        self.runtime.spawn(
            self.quarantine.remind_for_ever(), step='remind of suspects'
        )
        for address, page in self._pages.items():
            ip, _, port = address.rpartition(':')
            page.listen(int(port), ip)
        ip, _, port = self.node.callers.rpartition(':')
        self._port.listen(int(port), ip)

    async def drain(self) -> None:
        """Send callers elsewhere, finish what runs, refuse what comes late."""
        self._leaving = True
        self.peers.set_state(ready=False, leaving=True)
        # From now on each answer ends its connection.
        self._http.conn_params.no_keep_alive = True
        await asyncio.sleep(OPEN_AFTER_S)
        self._port.close()
        self.requests.refuses = True
        await self.requests.idle()
        await asyncio.sleep(LATE_S)
        await self.requests.idle()

    async def stop(self) -> None:
        """Close everything."""
        for page in self._pages.values():
            page.stop()
        await super().stop()
        self.upstreams.pool.close()

    def status(self) -> dict[str, Any]:
        """Tell what is in force here and what runs."""
        return {
            **self.catalog.status(),
            **self.requests.status(),
            'leaving': self._leaving,
            'hinders': self.readiness(),
            'entries': [word.ip for word in self.peers.entries()],
            'known_upstreams': self.upstreams.status(),
        }

    def readiness(self) -> list[str]:
        """Give what keeps this entry from serving; empty when ready."""
        reasons = []
        if self.catalog.view.config is None:
            reasons.append('no configuration was read yet')
        if self._leaving:
            reasons.append('this process is leaving')
        return reasons

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Tell what is known of the upstreams of a model."""
        return {
            'customer': customer,
            'model': model,
            'upstreams': self.upstreams.status(),
        }

    def load_heard(self, load: EngineLoad) -> None:
        """Pass an agent's word on its engine on."""
        self.upstreams.on_load(load)
        self._relay.on_load(load)

    def loads_heard(self, batch: LoadBatch) -> None:
        """Take what agents of another region say, and pass it on."""
        self.upstreams.on_loads(batch)
        if batch.pass_on:
            self._relay.pass_on(batch)

    def suspects_heard(self, ip: str, news: SuspectNews) -> None:
        """Take an entry's word on requests under which upstreams ended."""
        self.quarantine.on_news(ip, news)

    def limits_heard(self, ip: str, news: LimitNews) -> None:
        """Take an entry's word on limits that upstreams named."""
        self.upstreams.limits.on_news(ip, news)

    def on_change(self) -> None:
        """Follow the published records."""
        self.upstreams.renew()
        config = self.catalog.view.config
        if config is not None:
            # Tornado knows one time for an idle connection and for headers.
            params = self._http.conn_params
            params.header_timeout = config.limits.idle_timeout_s
        self.peers.set_state(ready=not self.readiness(), leaving=self._leaving)

    async def _look_for_peers(self) -> None:
        """Ask agents for entries while no other entry is known."""
        while True:
            await sleep_to_tick(CONTACT_EVERY_S)
            ips = {each.host_ip for each in self.catalog.view.listed()}
            self.peers.add_contacts(ips)
