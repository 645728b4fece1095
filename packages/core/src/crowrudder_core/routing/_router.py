"""Choose an agent from lagging reports and this entry's own attempts."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.routing._agent_state import AgentState
from crowrudder_model import score

if TYPE_CHECKING:
    from random import Random

    from crowrudder_model.messages import CapacityReply, Report

SAMPLED_HOSTS = 2
MAX_COST_RATIO = 1.18
"""Greatest ratio of an agent's cost to the median at which it is chosen for
its cached prefixes."""

SURE_OCCUPANCY = 0.5
"""Share of an agent's slots up to which it is chosen without requesting its
free slots."""

MIN_HEDGE_DELAY_S = 0.5
HEDGE_DELAY_FACTOR = 5.0


@frozen(kw_only=True)
class Need:
    """What a request requires of an agent."""

    service: str
    adapter: str = ''
    version: str = ''
    """The only version that may resume an answer already begun."""

    prefix: str = ''
    """The prompt's prefix, where the service caches prompts."""

    avoid: frozenset[str] = frozenset()


@frozen
class Choice:
    """A chosen agent, and the seconds until it is expected to start."""

    host: str
    wait_s: float
    is_certain: bool = True
    """Whether its occupancy is so low that lagging reports can't matter
    much."""


@define
class Router:
    """An entry's state of the agents and the choice among them.

    A request goes to the agent that has the prompt's prefix in its cache, as
    long as that agent's cost isn't far above the median. Otherwise it goes to
    the cheaper of two random agents, so that entries with the same lagging
    reports don't all choose the same agent.
    """

    _random: Random
    affinity: bool = True
    agents: dict[str, AgentState] = field(factory=dict, init=False)
    _started: bool = field(default=False, init=False)

    def on_report(self, report: Report, *, now: float) -> None:
        """Apply a report; a new incarnation starts with empty state."""
        known = self.agents.get(report.host)
        if known is not None and known.report.incarnation == report.incarnation:
            known.on_report(report, now=now)
            return
        # Agents that were there before this entry need no slow start.
        since = now if self._started else -1.0e9
        self.agents[report.host] = AgentState(report=report, since=since)

    def on_started(self) -> None:
        """Treat agents that appear from now on as new ones."""
        self._started = True

    def on_agent_gone(self, host: str) -> None:
        """Stop using an agent until it reports again.

        Its outstanding attempts stay counted: the stream of reports may have
        broken alone.
        """
        state = self.agents.get(host)
        if state is not None:
            state.linked = False

    def on_failed(self, host: str, *, until: float) -> None:
        """Avoid an agent for a time after a failed call."""
        state = self.agents.get(host)
        if state is not None:
            state.suspected_until = until

    def on_sent(self, host: str, incarnation: str) -> None:
        """Count an attempt that this entry has sent."""
        state = self._same_incarnation(host, incarnation)
        if state is not None:
            state.outstanding += 1

    def on_ended(self, host: str, incarnation: str) -> None:
        """Count an attempt that has ended."""
        state = self._same_incarnation(host, incarnation)
        if state is not None and state.outstanding:
            state.outstanding -= 1

    def on_first_piece(self, host: str, took_s: float) -> None:
        """Record a time from start permit to first piece."""
        state = self.agents.get(host)
        if state is not None:
            state.on_first_piece(took_s)

    def on_outcome(self, host: str, *, failed: bool, now: float) -> None:
        """Record whether a run on the host's upstream failed."""
        state = self.agents.get(host)
        if state is not None:
            state.on_outcome(failed=failed, now=now)

    def hedge_delay_s(self, service: str) -> float:
        """Return the wait after which a second attempt is worth its cost."""
        times = [
            state.first_piece_s
            for state in self.agents.values()
            if state.report.service == service and state.first_piece_s
        ]
        median_s = median(times) if times else 0.0
        return max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * median_s)

    def candidates(self, need: Need, *, now: float) -> list[str]:
        """Return the hosts that could serve, in no particular order."""
        return [
            host
            for host, state in self.agents.items()
            if not _obstacle(host, state, need, now)
        ]

    def obstacles(self, need: Need, *, now: float) -> dict[str, str]:
        """Return for each known host why it can't serve; empty if it can."""
        return {
            host: _obstacle(host, state, need, now)
            for host, state in sorted(self.agents.items())
        }

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Choose a host; None if no host can serve."""
        hosts = self.candidates(need, now=now)
        if not hosts:
            return None
        pace_s = self._median_pace_s(hosts)
        chosen = None
        if self.affinity and need.prefix:
            chosen = self._affinity_host(need.prefix, hosts, pace_s, now)
        if chosen is None:
            sampled = self._random.sample(hosts, min(SAMPLED_HOSTS, len(hosts)))
            chosen = min(
                sampled,
                key=lambda host: self.agents[host].cost(pace_s=pace_s, now=now),
            )
        state = self.agents[chosen]
        return Choice(
            chosen,
            state.wait_s(pace_s=pace_s),
            is_certain=state.load + 1 <= SURE_OCCUPANCY * state.report.slots,
        )

    def choose_by_capacity(
        self,
        need: Need,
        replies: dict[str, CapacityReply],
        *,
        first: str,
        now: float,
    ) -> Choice | None:
        """Choose among agents that have just replied with their free slots.

        If ``first`` has a free slot and isn't much worse than the others, it
        is chosen: the prompt's prefix is likely to be in its cache.
        """
        hosts = set(self.candidates(need, now=now))
        pace_s = self._median_pace_s(sorted(hosts))
        service_s = median(
            [self.agents[host].report.service_s for host in hosts] or [0],
        )
        ends = {
            host: self.agents[host].end_s(
                reply,
                pace_s=pace_s,
                service_s=service_s,
                now=now,
            )
            for host, reply in replies.items()
            if reply.wait_s >= 0 and host in hosts
        }
        if not ends:
            return None
        best = min(ends, key=lambda host: (ends[host], host))
        median_end_s = median(ends.values())
        if first in ends and not replies[first].wait_s:
            best = (
                first if ends[first] <= MAX_COST_RATIO * median_end_s else best
            )
        return Choice(best, replies[best].wait_s)

    def sample(self, need: Need, count: int, *, now: float) -> list[str]:
        """Return a random sample of hosts to ask for their free slots."""
        hosts = self.candidates(need, now=now)
        return self._random.sample(hosts, min(count, len(hosts)))

    def _affinity_host(
        self,
        prefix: str,
        hosts: list[str],
        pace_s: float,
        now: float,
    ) -> str | None:
        """Return the first host in rendezvous order within the cost bound."""
        costs = {
            host: self.agents[host].cost(pace_s=pace_s, now=now)
            for host in hosts
        }
        median_cost = median(costs.values())
        eligible = [
            host
            for host in hosts
            if costs[host] <= MAX_COST_RATIO * median_cost
        ]
        return max(eligible, key=lambda host: (score(prefix, host), host))

    def _median_pace_s(self, hosts: list[str]) -> float:
        """Return the median pace, which a single slow agent doesn't shift."""
        paces = [
            self.agents[host].report.pace_s
            for host in hosts
            if self.agents[host].report.pace_s
        ]
        return median(paces) if paces else 0.0

    def _same_incarnation(
        self, host: str, incarnation: str
    ) -> AgentState | None:
        state = self.agents.get(host)
        if state is None or state.report.incarnation != incarnation:
            return None
        return state


def _obstacle(host: str, state: AgentState, need: Need, now: float) -> str:
    """Return why a host can't serve; empty if it can."""
    report = state.report
    obstacles = (
        (host in need.avoid, 'was tried before'),
        (report.leaving, 'is leaving'),
        (not state.linked, 'sends no reports'),
        (state.suspected_until > now, 'failed a call just now'),
        (report.service != need.service, 'serves something else'),
        (not report.version, 'has nothing loaded'),
        (
            bool(need.adapter) and need.adapter not in report.adapters,
            'has not loaded the adapter',
        ),
        (
            bool(need.version) and need.version != report.version,
            'has another version',
        ),
    )
    return next((reason for applies, reason in obstacles if applies), '')
