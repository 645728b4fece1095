"""The fleet entry: its tasks and their order of start and stop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer

from crowrudder_core.connections import ConnectionLimits
from crowrudder_daemon._callers_port import CallersPort
from crowrudder_daemon._connection_watch import ConnectionWatch
from crowrudder_daemon._ticks import sleep_to_tick
from crowrudder_daemon.fleet import FleetRole
from crowrudder_daemon.fleet_entry._admission import EntryAdmission
from crowrudder_daemon.fleet_entry._caller_backlog import CallerBacklog
from crowrudder_daemon.fleet_entry._context import EntryContext
from crowrudder_daemon.fleet_entry._directory import Directory
from crowrudder_daemon.fleet_entry._load_relay import LoadRelay
from crowrudder_daemon.fleet_entry._long_bodies import MAX_BODY_BYTES
from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
from crowrudder_daemon.fleet_entry._request_reader import CallersServer
from crowrudder_daemon.fleet_entry._requests_task import RequestsTask
from crowrudder_daemon.fleet_entry._upstreams import Upstreams
from crowrudder_model.fleet import CallerLimits

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import Tuning
    from crowrudder_daemon.fleet.ports import CallerProtocol, PublishedSource
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import EngineLoad, LoadBatch, SuspicionUpdate
    from crowrudder_model.statements import LeavingUpdate, LimitUpdate

MAX_HEADER_BYTES = 65_536
"""Longest head before the configured limits apply, and with them."""

MAX_REQUEST_LINE_BYTES = 8192
"""Allowed beside the configured length of headers."""

MAX_DIRECTORY_BODY_BYTES = 4096
"""Longest body of a request to the directory, which reads none."""

BODY_TIMEOUT_S = 30.0
DRAIN_LISTEN_S = 1.5
"""How long a leaving entry still accepts connections. Callers cache the list of
entries for a while, and a closed port costs them a failed connection."""

LATE_REQUESTS_S = 0.3
"""How long a leaving entry still answers requests that arrive as it closes its
port, with a refusal."""

CONTACT_INTERVAL_S = 1.0


def build_fleet_entry(
    runtime: Runtime,
    node: Node,
    tuning: Tuning,
    source: PublishedSource,
    dialect: CallerProtocol,
) -> FleetEntry:
    """Return the entry of a node, not started yet."""
    return FleetEntry(runtime, node, tuning, source, dialect)


class FleetEntry(FleetRole):
    """Role of an entry: owns its tasks, starts and stops them in order."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        tuning: Tuning,
        source: PublishedSource,
        dialect: CallerProtocol,
    ) -> None:
        super().__init__(runtime, node, source)
        self._leaving = False
        self.quarantine = RequestQuarantine(runtime, self.peers)
        self.upstreams = Upstreams(
            runtime, node, self.catalog.view, self.peers, self.quarantine
        )
        self._relay = LoadRelay(node, self.peers)
        self.admission = EntryAdmission()
        context = EntryContext(
            dialect, self.upstreams, self.quarantine, self.admission, runtime
        )
        self.requests = RequestsTask(runtime, self.catalog, context)
        self.backlog = CallerBacklog(runtime, node.memory_bytes)
        self._http = HTTPServer(
            CallersServer(
                self.requests.on_request, self.backlog, self.requests
            ),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES + MAX_HEADER_BYTES,
        )
        # Tornado's timer closes a connection without asking what was read.
        self._http.conn_params.header_timeout = None
        self._connections = ConnectionWatch(
            runtime, memory_bytes=node.memory_bytes
        )
        self._connections.set_limits(self._connection_limits(CallerLimits()))
        self._port = CallersPort(
            self._http,
            admit=self.requests.overload.on_connection,
            watch=self._connections,
        )
        directory = Directory(
            dialect=dialect,
            entries=self.peers.entries,
            own=node.callers,
            is_ready=lambda: not self.readiness(),
            ttl_s=min(tuning.answer_ttl_s, node.bounds.answer_ttl_s),
            config=lambda: self.catalog.view.config,
        )
        addresses = {node.ready, node.directory}
        self._directory_servers = {
            address: HTTPServer(
                directory.application(),
                max_header_size=MAX_HEADER_BYTES,
                max_body_size=MAX_DIRECTORY_BODY_BYTES,
                max_buffer_size=2 * MAX_HEADER_BYTES,
                body_timeout=BODY_TIMEOUT_S,
            )
            for address in sorted(addresses)
        }

    async def start(self) -> None:
        """Start the tasks and listen."""
        await self.begin()
        self.runtime.spawn(self._discover_peers(), step='look for peers')
        self.runtime.spawn(self._relay.send_forever(), step='relay loads')
        self.runtime.spawn(
            self.quarantine.send_reminders(), step='remind of suspects'
        )
        for address, server in self._directory_servers.items():
            ip, _, port = address.rpartition(':')
            server.listen(int(port), ip)
        ip, _, port = self.node.callers.rpartition(':')
        self._port.listen(int(port), ip)

    async def drain(self) -> None:
        """Redirect callers, finish running requests, refuse late arrivals."""
        self._leaving = True
        self.peers.set_state(ready=False, leaving=True)
        self._connections.is_leaving = True
        await asyncio.sleep(DRAIN_LISTEN_S)
        self._port.close()
        self.requests.refuses = True
        await self.requests.idle()
        await asyncio.sleep(LATE_REQUESTS_S)
        await self.requests.idle()
        await self._connections.close_all(within_s=LATE_REQUESTS_S)
        await self.requests.idle()

    async def stop(self) -> None:
        """Stop the servers and tasks and close the upstream connections."""
        for server in self._directory_servers.values():
            server.stop()
        await super().stop()
        self.upstreams.pool.close()

    def status(self) -> dict[str, Any]:
        """Return the status of the configuration, requests and upstreams."""
        return {
            **self.catalog.status(),
            **self.requests.status(),
            'leaving': self._leaving,
            'hinders': self.readiness(),
            'entries': [entry.ip for entry in self.peers.entries()],
            'caller_backlog': self.backlog.status(),
            'admitted_shares': self.admission.status(),
            'known_upstreams': self.upstreams.status(),
        }

    def readiness(self) -> list[str]:
        """Return the reasons why this entry is not ready; empty if it is."""
        reasons = []
        if self.catalog.view.config is None:
            reasons.append('no configuration was read yet')
        if self._leaving:
            reasons.append('this process is leaving')
        return reasons

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Return the state of the upstreams for a customer and a model."""
        return {
            'customer': customer,
            'model': model,
            'upstreams': self.upstreams.status(),
        }

    def load_received(self, load: EngineLoad) -> None:
        """Apply an agent's load report and relay it to other regions."""
        self.upstreams.on_load(load)
        self._relay.on_load(load)

    def loads_received(self, batch: LoadBatch) -> None:
        """Apply load reports of another region and forward them in this one."""
        self.upstreams.on_loads(batch)
        if batch.forward:
            self._relay.forward(batch)

    def suspects_received(self, ip: str, update: SuspicionUpdate) -> None:
        """Apply an entry's reports on requests under which upstreams ended."""
        self.quarantine.on_update(ip, update)

    def limits_received(self, ip: str, update: LimitUpdate) -> None:
        """Apply an entry's reports on limits that upstreams stated."""
        self.upstreams.statements.on_limits(ip, update)

    def leaving_received(self, ip: str, update: LeavingUpdate) -> None:
        """Apply an entry's reports on upstreams that leave."""
        self.upstreams.statements.on_leaving(ip, update)

    def on_change(self) -> None:
        """Apply a change of the published records."""
        self.upstreams.refresh()
        config = self.catalog.view.config
        if config is not None:
            self._connections.set_limits(
                self._connection_limits(config.limits, version=config.version)
            )
            self._http.conn_params.max_header_size = min(
                config.limits.header_bytes + MAX_REQUEST_LINE_BYTES,
                MAX_HEADER_BYTES,
            )
        self.peers.set_state(ready=not self.readiness(), leaving=self._leaving)

    def _connection_limits(
        self, limits: CallerLimits, *, version: int = 0
    ) -> ConnectionLimits:
        return ConnectionLimits(
            idle_s=limits.idle_timeout_s,
            notice_s=self.node.bounds.config_s,
            head_s=limits.header_timeout_s,
            body_s=BODY_TIMEOUT_S,
            version=version,
        )

    async def _discover_peers(self) -> None:
        """Ask agents for other entries while none is known."""
        while True:
            await sleep_to_tick(CONTACT_INTERVAL_S)
            ips = {each.host_ip for each in self.catalog.view.listed()}
            self.peers.add_contacts(ips)
