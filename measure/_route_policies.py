"""Ways of choosing an agent that the router is measured against."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from crowrudder_core.routing import Choice, Need, Router

if TYPE_CHECKING:
    from _route_fleet import MemoryAgent, MemoryFleet


class RandomRouter(Router):
    """Any agent that can serve."""

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Draw one."""
        hosts = sorted(self.candidates(need, now=now))
        return Choice(self._random.choice(hosts), 0) if hosts else None


class RoundRobinRouter(Router):
    """One agent after the other."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self.turn = 0

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Take the next one."""
        hosts = sorted(self.candidates(need, now=now))
        if not hosts:
            return None
        self.turn += 1
        return Choice(hosts[self.turn % len(hosts)], 0)


class LeastOutstandingRouter(Router):
    """The agent to which this entry has sent least that hasn't ended."""

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Take the emptiest, any of them where several are."""
        hosts = self.candidates(need, now=now)
        if not hosts:
            return None
        self._random.shuffle(hosts)
        least = min(hosts, key=lambda host: self.agents[host].outstanding)
        return Choice(least, 0)


class PlainTwoRouter(Router):
    """Power of two choices on the last reports alone, without speeds."""

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Take the emptier of two."""
        hosts = sorted(self.candidates(need, now=now))
        if not hosts:
            return None
        drawn = self._random.sample(hosts, min(2, len(hosts)))
        reports = {host: self.agents[host].report for host in drawn}
        emptier = min(
            drawn,
            key=lambda host: reports[host].running + reports[host].queued,
        )
        return Choice(emptier, 0)


class OracleRouter(Router):
    """Knows every agent's state, speed and death at this very moment."""

    fleet: MemoryFleet
    probes: int = 0

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Take the agent at which the request would end first."""
        alive = [
            agent
            for agent in self.fleet.agents
            if agent.alive and agent.address not in need.avoid
        ]
        if self.probes:
            alive = self._random.sample(alive, min(self.probes, len(alive)))
        if not alive:
            return None
        self._random.shuffle(alive)
        best = min(alive, key=self._end_s)
        return Choice(best.address, 0)

    def _end_s(self, agent: MemoryAgent) -> float:
        state = agent.runs.state
        load = max(
            state.running + state.queued,
            sum(
                entry.agents.router.agents[agent.address].outstanding
                for entry in self.fleet.entries
            ),
        )
        waves = max(load + 1 - state.slots, 0) / state.slots
        return (1 + waves) * agent.engine.slowness + load / 1000


def oracle(fleet: MemoryFleet, rng: Random) -> OracleRouter:
    """Make a router with fresh knowledge of all agents."""
    router = OracleRouter(rng)
    router.fleet = fleet
    return router


def probing(fleet: MemoryFleet, rng: Random) -> OracleRouter:
    """Make a router that asks three agents at the moment of the choice."""
    router = oracle(fleet, rng)
    router.probes = 3
    return router
