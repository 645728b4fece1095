"""Put the agent of a fleet together from its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from crowrudder_daemon.fleet import CatalogTask, PeersTask
from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
from crowrudder_daemon.fleet_agent._keeper import WeightsKeeper
from crowrudder_daemon.fleet_agent._library import Library
from crowrudder_daemon.fleet_agent._loader import Loader
from crowrudder_daemon.rpc import PeerClient, PeerServer

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import Tuning
    from crowrudder_daemon.fleet.ports import (
        EnginePort,
        PublishedSource,
        WeightsOriginPort,
    )
    from crowrudder_daemon.process import Runtime
    from crowrudder_model import Member
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import ChunkNews, EngineLoad

RPC_GRACE_S = 0.1


def build_fleet_agent(
    runtime: Runtime,
    node: Node,
    tuning: Tuning,
    *,
    source: PublishedSource,
    engine: EnginePort,
    origin: WeightsOriginPort,
) -> FleetAgent:
    """Make the agent of a node; nothing starts yet."""
    return FleetAgent(
        runtime, node, tuning, source=source, engine=engine, origin=origin
    )


class FleetAgent:
    """The agent's tasks and their order of start and stop."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        tuning: Tuning,
        *,
        source: PublishedSource,
        engine: EnginePort,
        origin: WeightsOriginPort,
    ) -> None:
        self._runtime = runtime
        self._client = PeerClient()
        self._rpc = PeerServer(f'{node.ip}:{node.rpc_port}')
        self.peers = PeersTask(runtime, node, self)
        self.catalog = CatalogTask(
            runtime,
            node,
            source=source,
            peers=self.peers,
            client=self._client,
            on_change=self._on_change,
        )
        self.watch = EngineWatch(runtime, node, engine, self.peers)
        view = self.catalog.view
        self.library = Library(
            runtime,
            node,
            tuning,
            view=view,
            origin=origin,
            peers=self.peers,
            client=self._client,
        )
        self.keeper = WeightsKeeper(
            runtime,
            node,
            view=view,
            watch=self.watch,
            engine=engine,
            library=self.library,
            loader=Loader(
                runtime, node, view=view, engine=engine, watch=self.watch
            ),
        )

    async def start(self) -> None:
        """Listen and begin to learn."""
        self.catalog.serve(self._rpc)
        self.library.serve(self._rpc)
        await self._rpc.start()
        await self.peers.open()
        self.catalog.start()
        self._runtime.spawn(self.watch.watch(), step='watch the engine')
        self._runtime.spawn(self.keeper.keep(), step='keep the version')
        self._runtime.spawn(self.library.tell_news(), step='tell news')
        self._runtime.spawn(self.keeper.yield_to_live(), step='yield to live')

    async def drain(self) -> None:
        """Leave at once: no caller waits for an agent."""
        self.peers.set_state(ready=False, leaving=True)

    async def stop(self) -> None:
        """Close everything."""
        await self._rpc.stop(RPC_GRACE_S)
        await self.catalog.stop()
        await self.peers.stop()
        await self._client.close()

    def status(self) -> dict[str, Any]:
        """Tell how far this host is from the named version."""
        reading = self.watch.reading
        return {
            **self.catalog.status(),
            **self.keeper.status(),
            'weights': reading.weights if reading else 0,
            'entries': [word.ip for word in self.peers.entries()],
        }

    def readiness(self) -> list[str]:
        """Give what keeps the engine from the named version."""
        reasons = [self.keeper.hinders] if self.keeper.hinders else []
        if self.watch.reading is None:
            reasons.append('the engine does not answer')
        return reasons

    def members(self) -> tuple[Member, ...]:
        """List nothing: a fleet's processes have no published list."""
        return ()

    def bundle(self) -> bytes:
        """Give nothing: a fleet's configuration isn't one bundle."""
        return b''

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Refuse: agents route nothing."""
        raise NotImplementedError

    def peer_heard(self, ip: str, revision: int, confirmed_s: float) -> None:
        """Pass a peer's word on the records on."""
        self.catalog.peer_heard(ip, revision, confirmed_s)

    def load_heard(self, load: EngineLoad) -> None:
        """Take no interest in other engines."""

    def chunks_heard(self, ip: str, news: ChunkNews) -> None:
        """Pass another agent's word on its chunks on."""
        self.library.chunks_heard(ip, news)

    def _on_change(self) -> None:
        self.library.on_change()
