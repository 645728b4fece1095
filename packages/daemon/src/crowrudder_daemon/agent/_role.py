"""Assemble an agent from its tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from crowrudder_daemon.agent._claims import ClaimService
from crowrudder_daemon.agent._required import required
from crowrudder_daemon.agent._run_messages import (
    DrainRuns,
    PauseRuns,
    ResumeRuns,
)
from crowrudder_daemon.agent._run_service import RunService
from crowrudder_daemon.agent._runs import RunsTask
from crowrudder_daemon.agent._upstream import EngineClient, PlainClient
from crowrudder_daemon.agent.weights import (
    SnapshotReceived,
    WeightsTask,
    is_withdrawn,
)
from crowrudder_daemon.knowledge import KnowledgeTask, Snapshot
from crowrudder_daemon.rpc import PeerClient, PeerServer

if TYPE_CHECKING:
    from crowrudder_daemon.process import Runtime
    from crowrudder_model import Member

PLAIN_VERSION = 'plain'
LEAVE_GRACE_S = 1.0


def build_agent(runtime: Runtime) -> AgentRole:
    """Build the agent that the settings describe, without starting it."""
    return AgentRole(runtime)


class AgentRole:
    """Owns the agent's tasks and starts and stops them in order."""

    def __init__(self, runtime: Runtime) -> None:
        cfg = runtime.cfg
        self._runtime = runtime
        self._peers = PeerClient()
        self._server = PeerServer(cfg.process.rpc_listen_address)
        self.knowledge = KnowledgeTask(runtime, self._on_snapshot)
        self.weights: WeightsTask | None = None
        upstream = required(cfg.upstream, 'upstream')
        if upstream.kind == 'engine':
            engine = EngineClient(upstream.address)
            self.runs = RunsTask(runtime, engine)
            self.weights = WeightsTask(
                runtime,
                engine,
                self.runs,
                self._peers,
            )
        else:
            self.runs = RunsTask(runtime, PlainClient(upstream.address))
        self._service = RunService(runtime, self.runs, self.knowledge)
        self._claims = ClaimService(runtime, self._peers, self.knowledge)

    async def start(self) -> None:
        """Start the server and all tasks."""
        self.knowledge.serve(self._server)
        self._service.serve(self._server)
        self._claims.serve(self._server)
        self._claims.start()
        if self.weights is not None:
            self.weights.serve(self._server)
            self.weights.start()
        self.runs.start()
        await self._server.start()
        self.knowledge.start()

    async def drain(self) -> None:
        """Refuse new attempts, notify the peers and finish running attempts."""
        idle = asyncio.get_running_loop().create_future()
        self.runs.post(DrainRuns(idle))
        await self.knowledge.leave()
        await idle
        await self._service.wait_for_readers()
        await self._claims.hand_over()

    async def stop(self) -> None:
        """Stop the server and all tasks, and close the connections."""
        await self._server.stop(LEAVE_GRACE_S)
        for task in (self.weights, self.runs, self.knowledge):
            if task is not None:
                await task.stop()
        await self._peers.close()

    def status(self) -> dict[str, Any]:
        """Return how far this host is from the declared state."""
        state = self.runs.state
        weights = self.weights
        service = self.knowledge.snapshot.placement.get(
            self._runtime.cfg.process.host,
        )
        return {
            **self.knowledge.status(),
            'leaving': state.leaving,
            'service': service.name if service else '',
            'declared_version': weights.declared if weights else '',
            'loaded_version': weights.loaded if weights else '',
            'progress': weights.progress if weights else 1.0,
            'weights': weights.status() if weights else [],
            'hinders': self._blocking_reasons(),
            'running': state.running,
            'queued': state.queued,
        }

    def readiness(self) -> list[str]:
        """Return the reasons why this agent can't serve; empty when ready."""
        reasons = []
        if self.knowledge.blocking_reason:
            reasons.append(self.knowledge.blocking_reason)
        if self.knowledge.snapshot.bundle is None:
            reasons.append('no configuration was accepted yet')
        if self.weights is not None and self.weights.blocking_reason:
            reasons.append(self.weights.blocking_reason)
        if not self.runs.state.version:
            reasons.append('the upstream has nothing loaded')
        if self.runs.state.leaving:
            reasons.append('this process is leaving')
        return reasons

    def _blocking_reasons(self) -> list[str]:
        """Return the reasons why this host isn't in the declared state.

        A host without a service is in its declared state, although it can't
        serve. If that were a reason, `status --wait` would never return.
        """
        snapshot = self.knowledge.snapshot
        own = self._runtime.cfg.process.host
        if snapshot.bundle is not None and own not in snapshot.placement:
            return []
        return self.readiness()

    def members(self) -> tuple[Member, ...]:
        """List the members that this process knows."""
        return self.knowledge.snapshot.members

    def bundle(self) -> bytes:
        """Return the bytes of the bundle in force."""
        return self.knowledge.active_config.payload

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Raise NotImplementedError: agents route no requests."""
        raise NotImplementedError

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        if self.weights is not None:
            self.weights.post(SnapshotReceived(snapshot))
            return
        service = snapshot.placement.get(self._runtime.cfg.process.host)
        if service is not None:
            self.runs.post(ResumeRuns(service.name, PLAIN_VERSION, ()))
        elif is_withdrawn(snapshot, self._runtime.cfg.process.host):
            idle = asyncio.get_running_loop().create_future()
            self.runs.post(PauseRuns(idle))
