"""Assemble an entry from its tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer

from crowrudder_core.connections import ConnectionLimits
from crowrudder_daemon._callers_port import CallersPort
from crowrudder_daemon._connection_watch import ConnectionWatch
from crowrudder_daemon.entry._handlers import make_application
from crowrudder_daemon.entry._open_answers import OpenAnswers
from crowrudder_daemon.entry._report_streams import ReportStreamsTask, links_of
from crowrudder_daemon.entry._requests import RequestsTask, SnapshotReceived
from crowrudder_daemon.entry._size_gate import SizeGate
from crowrudder_daemon.knowledge import KnowledgeTask, Snapshot
from crowrudder_daemon.rpc import PeerClient, PeerServer

if TYPE_CHECKING:
    from crowrudder_daemon.process import Runtime
    from crowrudder_model import Member

STOP_GRACE_S = 1.0
LATE_REQUEST_GRACE_S = 0.5
"""How long an entry still answers requests after it stopped listening."""

IDLE_CONNECTION_S = 60
"""How long a connection may wait for a request, and a head may take."""

BODY_TIMEOUT_S = 10


def build_entry(runtime: Runtime) -> EntryRole:
    """Return the entry that the settings describe, not yet started."""
    return EntryRole(runtime)


class EntryRole:
    """The entry's tasks, with their start and stop order."""

    def __init__(self, runtime: Runtime) -> None:
        process = runtime.cfg.process
        limits = runtime.cfg.limits
        self._runtime = runtime
        self._peers = PeerClient()
        self._answers = OpenAnswers()
        self._server = PeerServer(process.rpc_listen_address)
        self.knowledge = KnowledgeTask(runtime, self._on_snapshot)
        self.requests = RequestsTask(runtime, self._peers)
        self.links = ReportStreamsTask(
            runtime, self._peers, self.requests, self.knowledge
        )
        self._http = HTTPServer(
            SizeGate(
                make_application(runtime, self.requests, self._answers),
                max_bytes=limits.max_body_bytes,
            ),
            max_body_size=limits.max_body_bytes,
            max_buffer_size=limits.max_body_bytes + 65_536,
        )
        # Tornado's timer closes a connection without asking what was read.
        self._http.conn_params.header_timeout = None
        self._connections = ConnectionWatch(runtime)
        self._connections.set_limits(
            ConnectionLimits(
                idle_s=IDLE_CONNECTION_S,
                head_s=IDLE_CONNECTION_S,
                body_s=BODY_TIMEOUT_S,
            )
        )
        self._port = CallersPort(self._http, watch=self._connections)

    async def start(self) -> None:
        """Start the tasks and listen for peers and callers."""
        process = self._runtime.cfg.process
        self.knowledge.serve(self._server)
        self.requests.start()
        self.links.start()
        await self._server.start()
        self.knowledge.start()
        self._port.listen(process.http_port, process.address)

    async def drain(self) -> None:
        """Refuse new requests, notify peers and finish running requests."""
        self.requests.leaving = True
        await self.knowledge.leave()
        await self.requests.wait_idle()
        await self._answers.wait_until_sent()
        self._port.close()
        # A request may be in transit on an accepted connection. If that were
        # closed now, the caller couldn't tell whether it ran; so wait for
        # such requests and refuse them.
        await asyncio.sleep(LATE_REQUEST_GRACE_S)
        await self.requests.wait_idle()
        await self._answers.wait_until_sent()
        await self._connections.close_all(within_s=LATE_REQUEST_GRACE_S)
        await self.requests.wait_idle()
        await self._answers.wait_until_sent()
        await self._http.close_all_connections()

    async def stop(self) -> None:
        """Stop the servers and tasks and close connections to peers."""
        await self._server.stop(STOP_GRACE_S)
        for task in (self.links, self.requests, self.knowledge):
            await task.stop()
        await self._peers.close()

    def status(self) -> dict[str, Any]:
        """Return the state in force and the number of running requests."""
        return {
            **self.knowledge.status(),
            'leaving': self.requests.leaving,
            'service': '',
            'declared_version': '',
            'loaded_version': '',
            'progress': 1.0,
            'hinders': self.readiness(),
            'running': self.requests.running,
        }

    def readiness(self) -> list[str]:
        """Return the reasons why this entry can't serve; empty when ready."""
        reasons = []
        if self.knowledge.blocking_reason:
            reasons.append(self.knowledge.blocking_reason)
        if self.knowledge.snapshot.bundle is None:
            reasons.append('no configuration was accepted yet')
        if self.requests.leaving:
            reasons.append('this process is leaving')
        return reasons

    def members(self) -> tuple[Member, ...]:
        """Return the members that this process knows."""
        return self.knowledge.snapshot.members

    def bundle(self) -> bytes:
        """Return the bytes of the bundle in force."""
        return self.knowledge.active_config.payload

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Return where a request would be routed now, and why."""
        return self.requests.explain(customer, model)

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self.requests.post(SnapshotReceived(snapshot))
        self.links.post(links_of(snapshot, self._runtime.cfg.process.host))
