"""Put an agent together from its tasks."""

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
    SnapshotCame,
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
    """Make the agent that the settings describe; nothing starts yet."""
    return AgentRole(runtime)


class AgentRole:
    """The agent's tasks and their order of start and stop."""

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
        """Listen and begin to learn."""
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
        """Refuse new work, tell the peers, finish what runs."""
        idle = asyncio.get_running_loop().create_future()
        self.runs.post(DrainRuns(idle))
        await self.knowledge.leave()
        await idle
        await self._service.read_to_the_end()
        await self._claims.hand_over()

    async def stop(self) -> None:
        """Close everything."""
        await self._server.stop(LEAVE_GRACE_S)
        for task in (self.weights, self.runs, self.knowledge):
            if task is not None:
                await task.stop()
        await self._peers.close()

    def status(self) -> dict[str, Any]:
        """Tell how far this host is from the declared state."""
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
            'hinders': self._hindrances(),
            'running': state.running,
            'queued': state.queued,
        }

    def readiness(self) -> list[str]:
        """Give what keeps this agent from serving; empty when ready."""
        reasons = []
        if self.knowledge.hinders:
            reasons.append(self.knowledge.hinders)
        if self.knowledge.snapshot.bundle is None:
            reasons.append('no configuration was accepted yet')
        if self.weights is not None and self.weights.hinders:
            reasons.append(self.weights.hinders)
        if not self.runs.state.version:
            reasons.append('the upstream has nothing loaded')
        if self.runs.state.leaving:
            reasons.append('this process is leaving')
        return reasons

    def _hindrances(self) -> list[str]:
        """Give what keeps this host from the declared state.

        A host that no service is placed on is where the files want it, though
        it can't serve; as a hindrance it would keep `status --wait` waiting.
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
        """Give the bytes of the bundle in force."""
        return self.knowledge.book.payload

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Refuse: agents route nothing."""
        raise NotImplementedError

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        if self.weights is not None:
            self.weights.post(SnapshotCame(snapshot))
            return
        service = snapshot.placement.get(self._runtime.cfg.process.host)
        if service is not None:
            self.runs.post(ResumeRuns(service.name, PLAIN_VERSION, ()))
        elif is_withdrawn(snapshot, self._runtime.cfg.process.host):
            idle = asyncio.get_running_loop().create_future()
            self.runs.post(PauseRuns(idle))
