"""Baseline policies that the router is measured against."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from crowrudder_core.routing import Choice, Need, Router

if TYPE_CHECKING:
    from _route_fleet import MemoryAgent, MemoryFleet


class RandomRouter(Router):
    """Chooses a random agent that can serve."""

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Choose an agent at random."""
        hosts = sorted(self.candidates(need, now=now))
        return Choice(self._random.choice(hosts), 0) if hosts else None


class RoundRobinRouter(Router):
    """Chooses the agents one after the other."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self.turn = 0

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Choose the next agent."""
        hosts = sorted(self.candidates(need, now=now))
        if not hosts:
            return None
        self.turn += 1
        return Choice(hosts[self.turn % len(hosts)], 0)


class LeastOutstandingRouter(Router):
    """Chooses the agent with the fewest outstanding requests of this entry."""

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Choose the least loaded agent; break ties at random."""
        hosts = self.candidates(need, now=now)
        if not hosts:
            return None
        self._random.shuffle(hosts)
        least = min(hosts, key=lambda host: self.agents[host].outstanding)
        return Choice(least, 0)


class PlainTwoRouter(Router):
    """Power of two choices by the last reports alone, ignoring speeds."""

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Choose the less loaded of two random agents."""
        hosts = sorted(self.candidates(need, now=now))
        if not hosts:
            return None
        sampled = self._random.sample(hosts, min(2, len(hosts)))
        reports = {host: self.agents[host].report for host in sampled}
        less_loaded = min(
            sampled,
            key=lambda host: reports[host].running + reports[host].queued,
        )
        return Choice(less_loaded, 0)


class OracleRouter(Router):
    """Knows each agent's current state and speed, and whether it is alive."""

    fleet: MemoryFleet
    probes: int = 0

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Choose the agent that would complete the request first."""
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
        best = min(alive, key=self._completion_score)
        return Choice(best.address, 0)

    def _completion_score(self, agent: MemoryAgent) -> float:
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
    """Return a router that knows the current state of all agents."""
    router = OracleRouter(rng)
    router.fleet = fleet
    return router


def probing(fleet: MemoryFleet, rng: Random) -> OracleRouter:
    """Return a router that probes three random agents for each choice."""
    router = oracle(fleet, rng)
    router.probes = 3
    return router
