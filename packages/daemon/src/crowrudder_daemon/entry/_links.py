"""Streams of reports from agents; one job for each agent."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.routing import covered
from crowrudder_daemon._task import Task
from crowrudder_daemon.knowledge import PeerAnswered, PeerSilent
from crowrudder_model import CrowrudderError
from crowrudder_model.messages import Report, ReportAsk
from crowrudder_model.rpc import REPORTS

if TYPE_CHECKING:
    from crowrudder_daemon.knowledge import Snapshot
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient

REPORT_EVERY_S = 0.5
RECONNECT_S = 0.2


@frozen
class ReportCame:
    """An agent reported, at this address."""

    report: Report
    address: str


@frozen
class AgentLost:
    """The stream of reports from an agent broke."""

    host: str


@frozen
class LinksWanted:
    """These agents, host to address, are to be linked."""

    addresses: tuple[tuple[str, str], ...]


class LinksTask(Task):
    """Owns the streams of reports and hands reports on."""

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
        self._links: dict[tuple[str, str], asyncio.Task[Any]] = {}

    def on_links_wanted(self, message: LinksWanted) -> None:
        """Open what is missing and close what is no longer wanted."""
        for link in set(self._links).difference(message.addresses):
            self._links.pop(link).cancel()
            self._consumer.post(AgentLost(link[0]))
        for link in message.addresses:
            if link not in self._links:
                self._links[link] = self.spawn(self._follow(*link))

    async def _follow(self, host: str, address: str) -> None:
        ask = ReportAsk(
            host=self._runtime.cfg.process.host,
            interval_s=REPORT_EVERY_S,
            entry=self._runtime.incarnation,
        )
        while True:
            stream = self._peers.open(address, REPORTS, ask)
            try:
                async for report in stream:
                    self._consumer.post(ReportCame(report, address))
                    self._tell(PeerAnswered(host))
            except CrowrudderError as exc:
                self._log.debug('reports ended: %s', exc)
                self._tell(PeerSilent(host, str(exc)))
            finally:
                stream.cancel()
            self._consumer.post(AgentLost(host))
            await asyncio.sleep(RECONNECT_S)

    def _tell(self, message: PeerAnswered | PeerSilent) -> None:
        """Let the members' view know as well: others hear of it from there."""
        if self._knowledge is not None:
            self._knowledge.post(message)


def links_of(snapshot: Snapshot, host: str) -> LinksWanted:
    """Give the agents that an entry shall be linked to, service by service."""
    entries = [member.host for member in snapshot.by_role('entry')]
    by_service: defaultdict[str, list[str]] = defaultdict(list)
    agents = {member.host: member for member in snapshot.by_role('agent')}
    for name in agents:
        service = snapshot.placement.get(name)
        by_service[service.name if service else ''].append(name)
    return LinksWanted(
        tuple(
            (known, agents[known].rpc_address)
            for hosts in by_service.values()
            for known in sorted(covered(host, entries, hosts))
        ),
    )
