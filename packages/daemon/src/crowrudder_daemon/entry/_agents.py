"""The agents that an entry knows, and the choice among them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from crowrudder_core.routing import Need, Router
from crowrudder_daemon.entry._attempt_call import AgentRef
from crowrudder_model import PeerLostError
from crowrudder_model.messages import Cancel, RoomAsk, RoomReply
from crowrudder_model.rpc import CANCEL, ROOM

if TYPE_CHECKING:
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model.messages import AttemptKey, Refusal, Report

SUSPECT_S = 1.0
"""Seconds for which an agent is avoided after a failed call."""

ROOM_ASKED = 3
"""Agents that are asked for their room at the moment of the choice."""

ROOM_TIMEOUT_S = 0.05
NO_ROOM = RoomReply(wait_s=-1.0)
CANCEL_TIMEOUT_S = 1.0


class AgentPool:
    """The router with the addresses, and the short questions to agents."""

    def __init__(self, runtime: Runtime, peers: PeerClient) -> None:
        self.router = Router(random.Random(runtime.incarnation))
        self.attempts = 0
        self._log = runtime.log
        self._peers = peers
        self._addresses: dict[str, str] = {}
        self._shown_attempts = runtime.metrics.counter(
            'attempts',
            'Attempts sent to agents.',
        )

    def on_report(self, report: Report, address: str) -> None:
        """Take an agent's report."""
        self._addresses[report.host] = address
        self.router.on_report(report, now=_now())

    def choose(self, need: Need) -> AgentRef | None:
        """Choose an agent by what is known here."""
        choice = self.router.choose(need, now=_now())
        return self._agent(choice.host, choice.wait_s) if choice else None

    async def choose_freshly(self, need: Need, ask: RoomAsk) -> AgentRef | None:
        """Choose an agent; ask a few where the reports may be too old."""
        choice = self.router.choose(need, now=_now())
        if choice is None:
            return None
        known = self._agent(choice.host, choice.wait_s)
        if choice.sure:
            return known
        return await self.ask_for_room(need, ask, first=choice.host) or known

    async def ask_for_room(
        self,
        need: Need,
        ask: RoomAsk,
        *,
        first: str = '',
    ) -> AgentRef | None:
        """Ask a few agents for their room, and choose among them."""
        hosts = self.router.draw(need, ROOM_ASKED, now=_now())
        if first:
            others = [host for host in hosts if host != first]
            hosts = [first, *others[: ROOM_ASKED - 1]]
        replies = await asyncio.gather(
            *(self._ask_room(host, ask) for host in hosts),
        )
        choice = self.router.choose_by_word(
            need,
            dict(zip(hosts, replies, strict=True)),
            first=first,
            now=_now(),
        )
        return self._agent(choice.host, choice.wait_s) if choice else None

    async def cancel(self, agent: AgentRef, key: AttemptKey) -> None:
        """Tell an agent that nobody waits for an attempt any more."""
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
        """Count an attempt."""
        self.attempts += 1
        self._shown_attempts.add()
        self.router.on_sent(agent.host, agent.incarnation)

    def on_ended(self, agent: AgentRef) -> None:
        """Count an attempt's end."""
        self.router.on_ended(agent.host, agent.incarnation)

    def on_first_piece(self, agent: AgentRef, took_s: float) -> None:
        """Note how long the upstream took for its first piece."""
        self.router.on_first_piece(agent.host, took_s)

    def on_outcome(self, agent: AgentRef, *, failed: bool) -> None:
        """Note whether the upstream answered or failed."""
        self.router.on_outcome(agent.host, failed=failed, now=_now())

    def on_refused(self, agent: AgentRef, refusal: Refusal) -> None:
        """Use a leaving agent no more, whatever its last report says."""
        if refusal.reason == 'draining':
            self.router.on_gone(agent.host)

    def on_failed(self, agent: AgentRef, exc: PeerLostError) -> None:
        """Avoid an agent after a failed call."""
        self._log.warning('attempt lost: %s', exc)
        self.router.on_failed(agent.host, until=_now() + SUSPECT_S)

    def routes(self, need: Need) -> list[dict[str, Any]]:
        """Show what is known of each agent, and who could serve now."""
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

    async def _ask_room(self, host: str, ask: RoomAsk) -> RoomReply:
        try:
            return await self._peers.call(
                self._addresses[host],
                ROOM,
                ask,
                timeout_s=ROOM_TIMEOUT_S,
            )
        except PeerLostError:
            return NO_ROOM


def _now() -> float:
    return asyncio.get_running_loop().time()
