"""Streams of reports from agents, with one job for each agent."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.routing import covered
from crowrudder_daemon._task import Task
from crowrudder_daemon.knowledge import PeerAnswered, PeerUnreachable
from crowrudder_model import CrowrudderError
from crowrudder_model.messages import Report, ReportRequest
from crowrudder_model.rpc import REPORTS

if TYPE_CHECKING:
    from crowrudder_daemon.knowledge import Snapshot
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient

REPORT_INTERVAL_S = 0.5
RECONNECT_DELAY_S = 0.2


@frozen
class ReportReceived:
    """An agent at this address sent a report."""

    report: Report
    address: str


@frozen
class AgentLost:
    """The stream of reports from an agent broke."""

    host: str


@frozen
class StreamsWanted:
    """Open streams to exactly these agents, as (host, address) pairs."""

    addresses: tuple[tuple[str, str], ...]


class ReportStreamsTask(Task):
    """Owns the report streams and forwards reports to the consumer."""

    def __init__(
        self,
        runtime: Runtime,
        peers: PeerClient,
        consumer: Task,
        knowledge: Task | None = None,
    ) -> None:
        super().__init__(runtime.log)
        self._runtime = runtime
        self._peers = peers
        self._consumer = consumer
        self._knowledge = knowledge
        self._streams: dict[tuple[str, str], asyncio.Task[Any]] = {}

    def on_streams_wanted(self, message: StreamsWanted) -> None:
        """Open missing streams and close those no longer wanted."""
        for agent in set(self._streams).difference(message.addresses):
            self._streams.pop(agent).cancel()
            self._consumer.post(AgentLost(agent[0]))
        for agent in message.addresses:
            if agent not in self._streams:
                self._streams[agent] = self.spawn(self._follow(*agent))

    async def _follow(self, host: str, address: str) -> None:
        request = ReportRequest(
            host=self._runtime.cfg.process.host,
            interval_s=REPORT_INTERVAL_S,
            entry=self._runtime.incarnation,
        )
        while True:
            stream = self._peers.open(address, REPORTS, request)
            try:
                async for report in stream:
                    self._consumer.post(ReportReceived(report, address))
                    self._notify_knowledge(PeerAnswered(host))
            except CrowrudderError as exc:
                self._log.debug('reports ended: %s', exc)
                self._notify_knowledge(PeerUnreachable(host, str(exc)))
            finally:
                stream.cancel()
            self._consumer.post(AgentLost(host))
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _notify_knowledge(
        self, message: PeerAnswered | PeerUnreachable
    ) -> None:
        """Post to the knowledge task too, which informs other processes."""
        if self._knowledge is not None:
            self._knowledge.post(message)


def links_of(snapshot: Snapshot, host: str) -> StreamsWanted:
    """Return the agents that an entry opens streams to, for each service."""
    entries = [member.host for member in snapshot.by_role('entry')]
    by_service: defaultdict[str, list[str]] = defaultdict(list)
    agents = {member.host: member for member in snapshot.by_role('agent')}
    for name in agents:
        service = snapshot.placement.get(name)
        by_service[service.name if service else ''].append(name)
    return StreamsWanted(
        tuple(
            (known, agents[known].rpc_address)
            for hosts in by_service.values()
            for known in sorted(covered(host, entries, hosts))
        ),
    )
