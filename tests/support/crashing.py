"""Replicas that end under a request, and come back with another life."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import define, field

from crowrudder_model.messages import EngineLoad

AGENT_SEES_S = 0.05
"""Until the agent beside a replica tells that it is gone."""


@define(eq=False)
class Crashes:
    """Ends replicas that begin a fatal request, and starts them again.

    ``ended`` are the names of the lives that ended, in order.
    """

    world: Any
    away_s: float = 0.3
    service: str = 'llm'
    ended: list = field(factory=list)
    _jobs: set = field(factory=set)

    def arm(self):
        """Let each replica of the service end under a fatal request."""
        kind = 'e' if self.service == 'llm' else 'p'
        for name in list(self.world.replicas):
            if name.startswith(kind):
                self._arm(name)
        return self

    def _arm(self, name):
        self.world.replicas[name].on_fatal = lambda: self._on_fatal(name)

    def _on_fatal(self, name):
        self.ended.append(name)
        job = asyncio.ensure_future(self._end(name))
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    async def _end(self, name):
        address = self.world.addresses[name]
        replica = self.world.replicas[name]
        server = self.world.server_at(address)
        server.stop()
        await server.close_all_connections()
        await asyncio.sleep(AGENT_SEES_S)
        self._tell(EngineLoad(address=address, reachable=False))
        await asyncio.sleep(self.away_s)
        self.world.store.remove(f'servers/{name}')
        await self._begin(name, address, replica)

    async def _begin(self, before, address, replica):
        """Begin the next life, as the platform does: with another id."""
        stem, _, number = before.partition('.')
        name = f'{stem}.{int(number or 1) + 1}'
        self.world.begin_life(name, address, replica, self.service)
        self._arm(name)
        load = EngineLoad(
            address=address, reachable=True, weights=replica.whole_weights
        )
        self._tell(load)

    def _tell(self, load):
        if self.service != 'llm':
            return
        for entry in self.world.entries:
            entry.upstreams.on_load(load)
