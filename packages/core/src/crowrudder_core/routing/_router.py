"""Choose an agent from lagging reports and what this entry has outstanding."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.routing._agent_state import AgentState
from crowrudder_model import score

if TYPE_CHECKING:
    from random import Random

    from crowrudder_model.messages import Report, RoomReply

CHOICES = 2
BOUND = 1.18
"""How far above the mean cost an agent may be for its cached prefixes."""

SURE_PART = 0.5
"""Below this part of its slots an agent is taken without a question."""

LEAST_PATIENCE_S = 0.5
PATIENCE_FACTOR = 5.0


@frozen(kw_only=True)
class Need:
    """What a request needs of an agent."""

    service: str
    adapter: str = ''
    version: str = ''
    """The only version that may go on with an answer begun."""

    prefix: str = ''
    """The start of the prompt, where the service caches prompts."""

    avoid: frozenset[str] = frozenset()


@frozen
class Choice:
    """A chosen agent, and the seconds until it is expected to start."""

    host: str
    wait_s: float
    sure: bool = True
    """Whether it is so empty that old reports can't be far wrong."""


@define
class Router:
    """The entry's knowledge of agents and the choice among them.

    Work goes to the agent that has the start of the prompt in its cache, as
    long as that one is not much fuller than the mean; otherwise to the better
    one of two drawn at random, so that entries with the same old reports
    don't all choose the same agent.
    """

    _random: Random
    affinity: bool = True
    agents: dict[str, AgentState] = field(factory=dict, init=False)
    _started: bool = field(default=False, init=False)

    def on_report(self, report: Report, *, now: float) -> None:
        """Take a report; a new incarnation starts with a clean slate."""
        known = self.agents.get(report.host)
        if known is not None and known.report.incarnation == report.incarnation:
            known.on_report(report, now=now)
            return
        # Agents that were there before this entry need no slow start.
        since = now if self._started else -1.0e9
        self.agents[report.host] = AgentState(report=report, since=since)

    def on_started(self) -> None:
        """Treat agents that come from now on as fresh ones."""
        self._started = True

    def on_gone(self, host: str) -> None:
        """Use an agent no more until it reports again.

        What is outstanding there stays counted: the stream of reports may
        have broken alone.
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
        state = self._same(host, incarnation)
        if state is not None:
            state.outstanding += 1

    def on_ended(self, host: str, incarnation: str) -> None:
        """Count an attempt that has ended."""
        state = self._same(host, incarnation)
        if state is not None and state.outstanding:
            state.outstanding -= 1

    def on_first_piece(self, host: str, took_s: float) -> None:
        """Take a time from permit to first piece."""
        state = self.agents.get(host)
        if state is not None:
            state.on_first_piece(took_s)

    def on_outcome(self, host: str, *, failed: bool, now: float) -> None:
        """Take what a run on the host's upstream came to."""
        state = self.agents.get(host)
        if state is not None:
            state.on_outcome(failed=failed, now=now)

    def patience_s(self, service: str) -> float:
        """Give the wait after which a second attempt is worth its cost."""
        times = [
            state.first_piece_s
            for state in self.agents.values()
            if state.report.service == service and state.first_piece_s
        ]
        usual_s = median(times) if times else 0.0
        return max(LEAST_PATIENCE_S, PATIENCE_FACTOR * usual_s)

    def candidates(self, need: Need, *, now: float) -> list[str]:
        """Give the hosts that could serve, in no order."""
        return [
            host
            for host, state in self.agents.items()
            if not _obstacle(host, state, need, now)
        ]

    def obstacles(self, need: Need, *, now: float) -> dict[str, str]:
        """Say of each known host why it can't serve; empty where it can."""
        return {
            host: _obstacle(host, state, need, now)
            for host, state in sorted(self.agents.items())
        }

    def choose(self, need: Need, *, now: float) -> Choice | None:
        """Choose a host; None where no one can serve."""
        hosts = self.candidates(need, now=now)
        if not hosts:
            return None
        pace_s = self._pace_s(hosts)
        chosen = None
        if self.affinity and need.prefix:
            chosen = self._nearest(need.prefix, hosts, pace_s, now)
        if chosen is None:
            drawn = self._random.sample(hosts, min(CHOICES, len(hosts)))
            chosen = min(
                drawn,
                key=lambda host: self.agents[host].cost(pace_s=pace_s, now=now),
            )
        state = self.agents[chosen]
        return Choice(
            chosen,
            state.wait_s(pace_s=pace_s),
            sure=state.load + 1 <= SURE_PART * state.report.slots,
        )

    def choose_by_word(
        self,
        need: Need,
        rooms: dict[str, RoomReply],
        *,
        first: str,
        now: float,
    ) -> Choice | None:
        """Choose among agents that have just told their room.

        Where ``first`` has a free slot, it is taken: the start of the prompt
        is likely to be in its cache.
        """
        hosts = set(self.candidates(need, now=now))
        pace_s = self._pace_s(sorted(hosts))
        service_s = median(
            [self.agents[host].report.service_s for host in hosts] or [0],
        )
        ends = {
            host: self.agents[host].end_s(
                room,
                pace_s=pace_s,
                service_s=service_s,
                now=now,
            )
            for host, room in rooms.items()
            if room.wait_s >= 0 and host in hosts
        }
        if not ends:
            return None
        best = min(ends, key=lambda host: (ends[host], host))
        usual = median(ends.values())
        if first in ends and not rooms[first].wait_s:
            best = first if ends[first] <= BOUND * usual else best
        return Choice(best, rooms[best].wait_s)

    def draw(self, need: Need, count: int, *, now: float) -> list[str]:
        """Draw hosts to be asked for their room."""
        hosts = self.candidates(need, now=now)
        return self._random.sample(hosts, min(count, len(hosts)))

    def _nearest(
        self,
        prefix: str,
        hosts: list[str],
        pace_s: float,
        now: float,
    ) -> str | None:
        """Give the first host in the prefix's order that isn't too full."""
        costs = {
            host: self.agents[host].cost(pace_s=pace_s, now=now)
            for host in hosts
        }
        usual = median(costs.values())
        fit = [host for host in hosts if costs[host] <= BOUND * usual]
        return max(fit, key=lambda host: (score(prefix, host), host))

    def _pace_s(self, hosts: list[str]) -> float:
        """Give the middle pace, which one slow agent doesn't move."""
        paces = [
            self.agents[host].report.pace_s
            for host in hosts
            if self.agents[host].report.pace_s
        ]
        return median(paces) if paces else 0.0

    def _same(self, host: str, incarnation: str) -> AgentState | None:
        state = self.agents.get(host)
        if state is None or state.report.incarnation != incarnation:
            return None
        return state


def _obstacle(host: str, state: AgentState, need: Need, now: float) -> str:
    """Say why a host can't serve; empty where it can."""
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
