"""Entries and agents in one process that communicate by real RPC calls.

The upstreams are fakes. There is no platform: each component gets its snapshot
of the fleet directly.
"""

from __future__ import annotations

import asyncio
import logging
import types
from collections.abc import AsyncIterator, Callable
from typing import Any

from attrs import define, evolve, field

from crowrudder_daemon.agent._claims import ClaimService
from crowrudder_daemon.agent._run_messages import ResumeRuns
from crowrudder_daemon.agent._run_service import RunService
from crowrudder_daemon.agent._runs import RunsTask
from crowrudder_daemon.entry._caller_request import (
    CallerRequest,
    CallHead,
    CompletionBody,
)
from crowrudder_daemon.entry._final_outcome import FinalOutcome
from crowrudder_daemon.entry._report_streams import ReportReceived
from crowrudder_daemon.entry._requests import (
    RequestReceived,
    RequestsTask,
    SnapshotReceived,
)
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.rpc import PeerClient, PeerServer
from crowrudder_model import Member, Outcome, UpstreamError
from crowrudder_model.declared import (
    Customer,
    Declaration,
    Model,
    Service,
    bundle_of,
)
from crowrudder_model.messages import Attempt, Final, Piece
from support.settings import entry_settings

SERVICE = 'listing'
MAX_POLLS = 1000
CUSTOMERS = (
    Customer('small', share=0.1, rate_per_s=1e5, services=(SERVICE,)),
    Customer('large', share=0.5, rate_per_s=1e5, services=(SERVICE,)),
)
BUNDLE = bundle_of(
    Declaration(
        1,
        services=(Service(SERVICE, model=SERVICE, version='v1'),),
        models=(Model(SERVICE),),
        customers=CUSTOMERS,
    ),
)


@define(eq=False)
class FakeUpstream:
    """A fake upstream that records requests and can pause an answer."""

    ran: list[str] = field(factory=list)
    cancelled: list[str] = field(factory=list)
    gate: asyncio.Event = field(factory=asyncio.Event)
    begun: asyncio.Event = field(factory=asyncio.Event)
    is_gone: bool = False
    refused: list[str] = field(factory=list)

    async def run(
        self,
        attempt: Attempt,
        version: str,
    ) -> AsyncIterator[Piece | Final]:
        request_id = attempt.key.request_id
        if self.is_gone:
            self.refused.append(request_id)
            yield Final(
                request_id=request_id,
                outcome=Outcome.NOT_RUN,
                version=version,
                message='connection refused',
                is_unreached=True,
            )
            return
        self.ran.append(request_id)
        self.begun.set()
        for index in range(attempt.resume_from, 3):
            if index:
                await self.gate.wait()
            if index and self.is_gone:
                raise UpstreamError('connection lost', step='run')
            yield Piece(
                request_id=request_id,
                version=version,
                index=index,
                text=f'{index} ',
            )
        yield Final(
            request_id=request_id,
            outcome=Outcome.ANSWERED,
            version=version,
            pieces=3,
        )

    async def cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)


@define(eq=False)
class AgentStub:
    """One agent with its upstream and services."""

    member: Member
    upstream: FakeUpstream
    runs: RunsTask
    server: PeerServer
    peers: PeerClient
    service: RunService
    claims: ClaimService

    async def kill(self) -> None:
        """Stop like a killed process: streams break and ports close."""
        await self.server.stop(0)
        await self.runs.stop()
        await self.peers.close()


@define(eq=False)
class EntryStub:
    """The requests task of one entry."""

    runtime: Runtime
    requests: RequestsTask
    peers: PeerClient

    def ask(self, request_id: str, **more: Any) -> asyncio.Queue[Any]:
        """Send a request as the HTTP server does."""
        parts: asyncio.Queue[Any] = asyncio.Queue()
        self.requests.post(RequestReceived(request(request_id, **more), parts))
        return parts

    async def kill(self) -> None:
        """Stop like a killed process."""
        await self.requests.stop()
        await self.peers.close()


class InProcessFleet:
    """A small fleet, used with `async with`."""

    def __init__(self, *, agents: int, entries: int = 1) -> None:
        self._sizes = (agents, entries)
        self.agents: list[AgentStub] = []
        self.entries: list[EntryStub] = []

    async def __aenter__(self) -> InProcessFleet:
        agents, entries = self._sizes
        for number in range(agents):
            self.agents.append(await start_agent(number))
        for number in range(entries):
            self.entries.append(start_entry(number))
        self.tell()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for entry in self.entries:
            await entry.kill()
        for agent in self.agents:
            agent.upstream.gate.set()
            await agent.kill()

    def tell(self, *more: Member) -> None:
        """Send the members and the agents' reports to all entries and agents."""
        members = tuple(agent.member for agent in self.agents) + more
        snapshot = Snapshot(BUNDLE, members)
        for agent in self.agents:
            agent.claims._knowledge.snapshot = snapshot
        for entry in self.entries:
            entry.requests.post(SnapshotReceived(snapshot))
            for agent in self.agents:
                report = agent.service.report()
                address = agent.member.rpc_address
                entry.requests.post(ReportReceived(report, address))


def request(
    request_id: str,
    *,
    customer: str = 'small',
    budget_s: float = 8.0,
    idempotent: bool = False,
    made_here: bool = False,
) -> CallerRequest:
    """Return a caller's request for a completion."""
    return CallerRequest(
        head=CallHead(
            request_id=request_id,
            customer=customer,
            budget_s=budget_s,
            idempotent=idempotent,
            priority=5,
            id_generated=made_here,
        ),
        service=SERVICE,
        completion=CompletionBody(model=SERVICE, prompt=request_id),
    )


async def start_agent(number: int, *, slots: int = 2) -> AgentStub:
    """Start an agent on a free port."""
    cfg = entry_settings(host=f'agent-{number}')
    cfg = evolve(cfg, limits=evolve(cfg.limits, slots=slots))
    runtime = Runtime(cfg=cfg, log=logging.getLogger('agent'))
    upstream, peers = FakeUpstream(), PeerClient()
    runs = RunsTask(runtime, upstream)  # type: ignore[arg-type]
    knowledge: Any = types.SimpleNamespace(
        snapshot=Snapshot(),
        active_config=types.SimpleNamespace(order=(1, '')),
    )
    server = PeerServer('127.0.0.1:0')
    service = RunService(runtime, runs, knowledge)
    claims = ClaimService(runtime, peers, knowledge)
    service.serve(server)
    claims.serve(server)
    runs.start()
    runs.post(ResumeRuns(SERVICE, 'v1', ()))
    await server.start()
    member = Member(
        f'agent-{number}',
        'agent',
        '127.0.0.1',
        rpc_port=server.port,
        failure_domain=f'domain-{number % 3}',
        upstream='engine',
    )
    await asyncio.sleep(0)
    return AgentStub(member, upstream, runs, server, peers, service, claims)


def start_entry(number: int) -> EntryStub:
    """Start the requests task of an entry."""
    cfg = entry_settings(host=f'entry-{number}')
    runtime = Runtime(cfg=cfg, log=logging.getLogger('entry'))
    peers = PeerClient()
    requests = RequestsTask(runtime, peers)
    requests.start()
    return EntryStub(runtime, requests, peers)


async def final(parts: asyncio.Queue[Any]) -> FinalOutcome:
    """Read parts until the final outcome."""
    while True:
        part = await parts.get()
        if isinstance(part, FinalOutcome):
            return part


async def until(condition: Callable[[], object]) -> None:
    """Poll until a condition holds; raise `TimeoutError` otherwise."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise TimeoutError('condition not met')
