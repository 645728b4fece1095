"""Choose an agent from lagging reports and what this entry has outstanding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_model import score

if TYPE_CHECKING:
    from random import Random

    from crowrudder_model.messages import Report

CHOICES = 2


@frozen(kw_only=True)
class Need:
    """What a request needs of an agent."""

    service: str
    adapter: str = ''
    prefix: str = ''
    avoid: frozenset[str] = frozenset()


@define(kw_only=True)
class AgentState:
    """What this entry knows of one agent."""

    report: Report
    outstanding: int = 0
    suspected_until: float = 0


@define
class Router:
    """The entry's knowledge of agents and the choice among them."""

    _random: Random
    agents: dict[str, AgentState] = field(factory=dict, init=False)

    def on_report(self, report: Report) -> None:
        """Take a report; a new incarnation starts with a clean slate."""
        known = self.agents.get(report.host)
        if known is None or known.report.incarnation != report.incarnation:
            self.agents[report.host] = AgentState(report=report)
            return
        known.report = report

    def on_gone(self, host: str) -> None:
        """Forget an agent."""
        self.agents.pop(host, None)

    def on_failed(self, host: str, *, until: float) -> None:
        """Avoid an agent for a time after a failed call."""
        state = self.agents.get(host)
        if state is not None:
            state.suspected_until = until

    def on_sent(self, host: str) -> None:
        """Count an attempt that this entry has sent."""
        state = self.agents.get(host)
        if state is not None:
            state.outstanding += 1

    def on_ended(self, host: str) -> None:
        """Count an attempt that has ended."""
        state = self.agents.get(host)
        if state is not None and state.outstanding:
            state.outstanding -= 1

    def candidates(self, need: Need, *, now: float) -> list[str]:
        """Give the hosts that could serve, in no order."""
        return [
            host
            for host, state in self.agents.items()
            if self._can_serve(host, state, need, now)
        ]

    def choose(self, need: Need, *, now: float) -> str | None:
        """Choose a host by the power of two choices on expected wait."""
        hosts = self.candidates(need, now=now)
        if not hosts:
            return None
        drawn = self._random.sample(hosts, min(CHOICES, len(hosts)))
        return min(drawn, key=lambda host: self._rank(host, need))

    def _rank(self, host: str, need: Need) -> tuple[float, int]:
        state = self.agents[host]
        load = max(
            state.report.running + state.report.queued,
            state.outstanding,
        )
        return (load / max(state.report.slots, 1), -score(need.prefix, host))

    def _can_serve(
        self,
        host: str,
        state: AgentState,
        need: Need,
        now: float,
    ) -> bool:
        report = state.report
        if host in need.avoid or report.leaving:
            return False
        if state.suspected_until > now or report.service != need.service:
            return False
        if need.adapter and need.adapter not in report.adapters:
            return False
        return bool(report.version)
