"""The agents known to an entry, and selection among them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from crowrudder_core.routing import Need, Router
from crowrudder_daemon.entry._attempt_call import AgentRef
from crowrudder_model import PeerLostError
from crowrudder_model.messages import Cancel, CapacityReply, CapacityRequest
from crowrudder_model.rpc import CANCEL, ROOM

if TYPE_CHECKING:
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model.messages import AttemptKey, Refusal, Report

SUSPECT_S = 1.0
"""Time for which an agent is avoided after a failed call."""

CAPACITY_QUERY_COUNT = 3
"""Agents whose current capacity is queried for one selection."""

CAPACITY_TIMEOUT_S = 0.05
NO_CAPACITY = CapacityReply(wait_s=-1.0)
CANCEL_TIMEOUT_S = 1.0


class AgentPool:
    """The router, the agents' addresses and short calls to agents."""

    def __init__(self, runtime: Runtime, peers: PeerClient) -> None:
        self.router = Router(random.Random(runtime.incarnation))
        self.attempts = 0
        self._log = runtime.log
        self._peers = peers
        self._addresses: dict[str, str] = {}
        self._attempts_counter = runtime.metrics.counter(
            'attempts',
            'Attempts sent to agents.',
        )

    def on_report(self, report: Report, address: str) -> None:
        """Apply an agent's report."""
        self._addresses[report.host] = address
        self.router.on_report(report, now=_now())

    def choose(self, need: Need) -> AgentRef | None:
        """Choose an agent from the reports received so far."""
        choice = self.router.choose(need, now=_now())
        return self._agent(choice.host, choice.wait_s) if choice else None

    async def choose_with_query(
        self, need: Need, request: CapacityRequest
    ) -> AgentRef | None:
        """Choose an agent; query a few if the reports may be stale."""
        choice = self.router.choose(need, now=_now())
        if choice is None:
            return None
        known = self._agent(choice.host, choice.wait_s)
        if choice.is_certain:
            return known
        return (
            await self.choose_by_query(need, request, first=choice.host)
            or known
        )

    async def choose_by_query(
        self,
        need: Need,
        request: CapacityRequest,
        *,
        first: str = '',
    ) -> AgentRef | None:
        """Query the capacity of a few agents and choose among them."""
        hosts = self.router.sample(need, CAPACITY_QUERY_COUNT, now=_now())
        if first:
            others = [host for host in hosts if host != first]
            hosts = [first, *others[: CAPACITY_QUERY_COUNT - 1]]
        replies = await asyncio.gather(
            *(self._request_capacity(host, request) for host in hosts),
        )
        choice = self.router.choose_by_capacity(
            need,
            dict(zip(hosts, replies, strict=True)),
            first=first,
            now=_now(),
        )
        return self._agent(choice.host, choice.wait_s) if choice else None

    async def cancel(self, agent: AgentRef, key: AttemptKey) -> None:
        """Cancel an attempt whose result is no longer needed."""
        try:
            await self._peers.call(
                agent.address,
                CANCEL,
                Cancel(key=key),
                timeout_s=CANCEL_TIMEOUT_S,
            )
        except PeerLostError as exc:
            self._log.debug('cancel not delivered: %s', exc)

    def on_sent(self, agent: AgentRef) -> None:
        """Count an attempt that was sent."""
        self.attempts += 1
        self._attempts_counter.add()
        self.router.on_sent(agent.host, agent.incarnation)

    def on_ended(self, agent: AgentRef) -> None:
        """Record the end of an attempt."""
        self.router.on_ended(agent.host, agent.incarnation)

    def on_first_piece(self, agent: AgentRef, took_s: float) -> None:
        """Record the latency of the upstream's first piece."""
        self.router.on_first_piece(agent.host, took_s)

    def on_outcome(self, agent: AgentRef, *, failed: bool) -> None:
        """Record whether the upstream answered or failed."""
        self.router.on_outcome(agent.host, failed=failed, now=_now())

    def on_refused(self, agent: AgentRef, refusal: Refusal) -> None:
        """Remove a draining agent, regardless of its last report."""
        if refusal.reason == 'draining':
            self.router.on_agent_gone(agent.host)

    def on_failed(self, agent: AgentRef, exc: PeerLostError) -> None:
        """Avoid an agent after a failed call."""
        self._log.warning('attempt lost: %s', exc)
        self.router.on_failed(agent.host, until=_now() + SUSPECT_S)

    def routes(self, need: Need) -> list[dict[str, Any]]:
        """Return the state of each agent and whether it can serve now."""
        obstacles = self.router.obstacles(need, now=_now())
        return [
            {
                'host': host,
                'service': state.report.service,
                'version': state.report.version,
                'running': state.report.running,
                'queued': state.report.queued,
                'outstanding': state.outstanding,
                'candidate': not why,
                'why': why or 'can serve',
            }
            for host, why in obstacles.items()
            for state in (self.router.agents[host],)
        ]

    def _agent(self, host: str, wait_s: float) -> AgentRef:
        report = self.router.agents[host].report
        return AgentRef(
            host,
            self._addresses[host],
            report.incarnation,
            wait_s,
        )

    async def _request_capacity(
        self, host: str, request: CapacityRequest
    ) -> CapacityReply:
        try:
            return await self._peers.call(
                self._addresses[host],
                ROOM,
                request,
                timeout_s=CAPACITY_TIMEOUT_S,
            )
        except PeerLostError:
            return NO_CAPACITY


def _now() -> float:
    return asyncio.get_running_loop().time()
