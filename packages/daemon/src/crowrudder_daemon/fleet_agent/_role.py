"""Assemble the fleet agent from its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from crowrudder_daemon.fleet import FleetRole
from crowrudder_daemon.fleet_agent._end_guard import EndGuard
from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
from crowrudder_daemon.fleet_agent._goal import figures_of, model_of
from crowrudder_daemon.fleet_agent._keeper import WeightsKeeper
from crowrudder_daemon.fleet_agent._library import Library
from crowrudder_daemon.fleet_agent._link_probe import LinkProbe
from crowrudder_daemon.fleet_agent._loader import Loader

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import Tuning
    from crowrudder_daemon.fleet.ports import (
        EnginePort,
        PublishedSource,
        WeightsOriginPort,
    )
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import ChunkInventory


def build_fleet_agent(
    runtime: Runtime,
    node: Node,
    tuning: Tuning,
    *,
    source: PublishedSource,
    engine: EnginePort,
    origin: WeightsOriginPort,
) -> FleetAgent:
    """Build the agent of a node without starting it."""
    return FleetAgent(
        runtime, node, tuning, source=source, engine=engine, origin=origin
    )


class FleetAgent(FleetRole):
    """Runs the agent's tasks and defines their start and stop order."""

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
        super().__init__(runtime, node, source)
        view = self.catalog.view
        self.library = Library(
            runtime,
            node,
            tuning,
            view=view,
            origin=origin,
            peers=self.peers,
            client=self.client,
        )
        self.link_probe = LinkProbe(
            runtime,
            node,
            peers=self.peers,
            client=self.client,
            is_active=self.library.uses_link,
        )
        self.watch = EngineWatch(
            runtime,
            node,
            engine,
            self.peers,
            self._layers,
            is_newest=self._is_newest,
            link_delay_s=self.link_probe.delay_s,
            on_running=self._on_running,
        )
        loader = Loader(
            runtime, node, view=view, engine=engine, watch=self.watch
        )
        self.end_guard = EndGuard(
            runtime,
            node,
            view=view,
            watch=self.watch,
            library=self.library,
            loader=loader,
        )
        self.keeper = WeightsKeeper(
            runtime,
            node,
            view=view,
            watch=self.watch,
            engine=engine,
            library=self.library,
            loader=loader,
        )

    def _layers(self) -> int:
        """Return the number of layers of the engine's model; 0 while unknown."""
        figures = figures_of(self.catalog.view, self.node)
        return figures.layers if figures else 0

    def _on_running(self, running: int) -> None:
        """Make weights yield to answers, and to what waits for the link."""
        self.library.on_live_traffic(
            running, link_delay_s=self.link_probe.delay_s()
        )

    def _is_newest(self, version: int) -> bool:
        """Return whether no later version of the engine's model is published."""
        view = self.catalog.view
        return not view.releases.after(model_of(view, self.node), version)

    async def start(self) -> None:
        """Start the server, membership and the agent's tasks."""
        self.library.serve(self.rpc)
        await self.begin()
        self.runtime.spawn(self.watch.watch(), step='watch the engine')
        self.runtime.spawn(self.keeper.keep(), step='keep the version')
        self.runtime.spawn(self.end_guard.guard(), step='guard the end')
        self.runtime.spawn(self.library.send_inventories(), step='tell news')
        self.runtime.spawn(self.link_probe.run(), step='probe the link')

    async def drain(self) -> None:
        """Leave immediately: no caller waits for an agent."""
        self.peers.set_state(ready=False, leaving=True)

    def status(self) -> dict[str, Any]:
        """Return the progress of this host towards the published version."""
        return {
            **self.catalog.status(),
            **self.keeper.status(),
            'weights': self.watch.whole,
            'entries': [entry.ip for entry in self.peers.entries()],
        }

    def readiness(self) -> list[str]:
        """Return the reasons why the engine lacks the published version."""
        reasons = (
            [self.keeper.blocking_reason] if self.keeper.blocking_reason else []
        )
        if self.watch.reading is None:
            reasons.append('the engine does not answer')
        return reasons

    def explain(self, customer: str, model: str) -> dict[str, Any]:
        """Raise: agents do not route requests."""
        raise NotImplementedError

    def chunks_received(self, ip: str, inventory: ChunkInventory) -> None:
        """Forward another agent's chunk inventory to the library."""
        self.library.chunks_received(ip, inventory)

    def on_change(self) -> None:
        """Apply a change of the published records."""
        self.library.on_change()
        self.keeper.on_change()
        self.end_guard.on_change()
