"""The daemon's request tasks, connected in memory, with simulated engines."""

from __future__ import annotations

import asyncio
import logging
import random
import types
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from typing import Any

from attrs import define, evolve, field, frozen

from crowrudder_core.limits import RetryBudget
from crowrudder_core.routing import Router
from crowrudder_daemon.agent._run_messages import ResumeRuns
from crowrudder_daemon.agent._run_service import RunService
from crowrudder_daemon.agent._runs import RunsTask
from crowrudder_daemon.entry._report_streams import AgentLost, ReportReceived
from crowrudder_daemon.entry._requests import RequestsTask, SnapshotReceived
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.settings import (
    LimitsSection,
    PlatformSection,
    ProcessSection,
    Settings,
)
from crowrudder_model import Outcome, PeerLostError
from crowrudder_model.declared import (
    Customer,
    Declaration,
    Model,
    Service,
    bundle_of,
)
from crowrudder_model.messages import Attempt, Final, Piece, RunClientMessage
from crowrudder_model.rpc import CANCEL, ROOM, RUN, SETTLE, Method

SERVICE = 'listing'
LATENCY_S = 0.001
BATCH_SLOWDOWN = 0.02
HIT_SHARE = 0.2
LOG = logging.getLogger('measure')
LOG.setLevel(logging.CRITICAL)


@frozen(kw_only=True)
class FleetShape:
    """Size of the fleet, speed of its engines and delay of its reports."""

    entries: int = 8
    agents: int = 20
    slots: int = 8
    token_s: float = 0.025
    prefill_s: float = 0.1
    cached_prompts: int = 0
    report_lag_s: float = 1.0
    report_interval_s: float = 0.5
    customers: tuple[Customer, ...] = ()
    seed: int = 1


@define(eq=False)
class SimpleEngine:
    """Simulated engine with a batch, a prefix cache and a speed.

    Without `answers`, a run starts only after the budget is spent.
    """

    shape: FleetShape
    slowness: float = 1
    answers: bool = True
    runs: int = 0
    hits: int = 0
    running: int = 0
    busy_s: float = 0
    _prefixes: OrderedDict[str, None] = field(factory=OrderedDict)

    async def run(
        self,
        attempt: Attempt,
        version: str,
    ) -> AsyncIterator[Piece | Final]:
        """Run an attempt: prefill the prompt, then generate the tokens."""
        self.runs += 1
        self.running += 1
        try:
            if not self.answers:
                await asyncio.sleep(attempt.budget_s)
            async for output in self._generate(attempt, version):
                yield output
        finally:
            self.running -= 1

    async def cancel(self, request_id: str) -> None:
        """Do nothing: the run ends when its reader stops."""

    def run_s(self, tokens: int, *, hit: bool = False) -> float:
        """Return the seconds that a run takes in the current batch."""
        prefill_s = self.shape.prefill_s * (HIT_SHARE if hit else 1)
        batch = 1 + BATCH_SLOWDOWN * max(self.running - 1, 0)
        return (prefill_s + tokens * self.shape.token_s * batch) * self.slowness

    async def _generate(
        self,
        attempt: Attempt,
        version: str,
    ) -> AsyncIterator[Piece | Final]:
        request_id = attempt.key.request_id
        left = attempt.max_tokens - attempt.resume_from
        total_s = self.run_s(left, hit=self._hit(attempt.prompt))
        self.busy_s += total_s
        first_s = total_s - self.run_s(max(left - 1, 0)) + self.run_s(0)
        first_s = min(first_s, total_s)
        # Only two pieces are sent: the first token, and all later ones.
        for index, pause_s in enumerate((first_s, total_s - first_s)):
            await asyncio.sleep(max(pause_s, 0))
            yield Piece(request_id=request_id, version=version, index=index)
        yield Final(
            request_id=request_id,
            outcome=Outcome.ANSWERED,
            version=version,
            pieces=2,
        )

    def _hit(self, prompt: str) -> bool:
        if not self.shape.cached_prompts:
            return False
        hit = prompt in self._prefixes
        self.hits += hit
        self._prefixes[prompt] = None
        self._prefixes.move_to_end(prompt)
        if len(self._prefixes) > self.shape.cached_prompts:
            self._prefixes.popitem(last=False)
        return hit


@define(eq=False)
class MemoryAgent:
    """An agent: the daemon's task and service with a simulated engine."""

    address: str
    runs: RunsTask
    service: RunService
    engine: SimpleEngine
    alive: bool = True
    streams: set[MemoryStream] = field(factory=set)

    def die(self, entries: list[RequestsTask]) -> None:
        """Break every stream, as a crash of the host would."""
        self.alive = False
        for entry in entries:
            entry.post(AgentLost(self.address))
        for stream in list(self.streams):
            stream.disconnect()


_END_OF_STREAM = object()


class MemoryStream:
    """In-memory stream to an agent, with the latency of a network link."""

    def __init__(self, agent: MemoryAgent, method: Method[Any, Any]) -> None:
        self._agent = agent
        self._method = method
        self._client_messages = _DelayedQueue()
        self._server_messages = _DelayedQueue()
        self._handler: asyncio.Task[None] | None = None

    def open(self, request: Any) -> None:
        """Start the agent's handler, or fail if the agent is dead."""
        if not self._agent.alive:
            self.disconnect()
            return
        self._agent.streams.add(self)
        self._handler = asyncio.ensure_future(self._serve(request))

    async def send(self, message: RunClientMessage) -> None:
        """Send one message to the agent."""
        if not self._agent.alive:
            raise self._lost()
        self._client_messages.put(message)

    async def read(self) -> Any:
        """Return the next message; None at the end of the stream."""
        down = await self._server_messages.delivered.get()
        if isinstance(down, PeerLostError):
            self._server_messages.delivered.put_nowait(down)
            raise down
        return None if down is _END_OF_STREAM else down

    def __aiter__(self) -> AsyncIterator[Any]:
        """Iterate over the messages until the end of the stream."""
        return self._iterate()

    def cancel(self) -> None:
        """Cancel the call."""
        self._agent.streams.discard(self)
        if self._handler is not None:
            self._handler.cancel()

    def disconnect(self) -> None:
        """Fail both directions, as the crash of a host does."""
        self.cancel()
        self._server_messages.delivered.put_nowait(self._lost())

    async def _iterate(self) -> AsyncIterator[Any]:
        while (down := await self.read()) is not None:
            yield down

    async def _serve(self, request: Any) -> None:
        service = self._agent.service
        events = (
            service._on_run(self._read_client_messages(), None)
            if self._method is RUN
            else service._on_settle(request, None)
        )
        async for event in events:
            self._server_messages.put(event)
        self._server_messages.put(_END_OF_STREAM)

    async def _read_client_messages(self) -> AsyncIterator[Any]:
        while True:
            yield await self._client_messages.delivered.get()

    def _lost(self) -> PeerLostError:
        return PeerLostError(
            'Connection refused',
            step=self._method.name,
            peer=self._agent.address,
        )


@define(eq=False)
class _DelayedQueue:
    """One direction of a stream: delays messages and keeps their order.

    Timers due at the same moment run in any order, so each timer delivers
    the oldest message.
    """

    delivered: asyncio.Queue[Any] = field(factory=asyncio.Queue)
    _in_flight: deque[Any] = field(factory=deque)

    def put(self, message: Any) -> None:
        self._in_flight.append(message)
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._arrive)

    def _arrive(self) -> None:
        self.delivered.put_nowait(self._in_flight.popleft())


class MemoryPeers:
    """In-memory RPC client of an entry."""

    def __init__(self, agents: dict[str, MemoryAgent]) -> None:
        self._agents = agents
        self.calls = 0

    def open(
        self,
        peer: str,
        method: Method[Any, Any],
        request: Any = None,
    ) -> MemoryStream:
        """Open a stream."""
        assert method in {RUN, SETTLE}
        stream = MemoryStream(self._agents[peer], method)
        stream.open(request)
        return stream

    async def call(
        self,
        peer: str,
        method: Method[Any, Any],
        request: Any,
        **_options: Any,
    ) -> Any:
        """Make a unary call: a cancellation or a capacity request."""
        agent = self._agents[peer]
        await asyncio.sleep(LATENCY_S)
        if not agent.alive:
            raise PeerLostError('connection refused', step='call', peer=peer)
        self.calls += 1
        handlers: dict[Any, Any] = {
            CANCEL: agent.service._on_cancel,
            ROOM: agent.service._on_capacity,
        }
        reply = await handlers[method](request, None)
        await asyncio.sleep(LATENCY_S)
        return reply


class MemoryFleet:
    """Entries and agents of one measured run."""

    def __init__(
        self,
        shape: FleetShape,
        make_router: Any = None,
    ) -> None:
        self.shape = shape
        self.rng = random.Random(shape.seed)
        self.agents = [
            _make_agent(shape, number) for number in range(shape.agents)
        ]
        by_address = {agent.address: agent for agent in self.agents}
        self.entries = [
            _make_entry(number, MemoryPeers(by_address))
            for number in range(shape.entries)
        ]
        bundle = bundle_of(
            Declaration(
                1,
                services=(Service(SERVICE, model=SERVICE, version='v1'),),
                models=(Model(SERVICE),),
                customers=shape.customers,
            ),
        )
        for number, entry in enumerate(self.entries):
            rng = random.Random(shape.seed * 100 + number)
            router = make_router(self, rng) if make_router else Router(rng)
            entry.agents.router = router
            entry.post(SnapshotReceived(Snapshot(bundle)))

    async def start(self) -> None:
        """Start all tasks and the periodic load reports."""
        for agent in self.agents:
            agent.runs.start()
            agent.runs.post(ResumeRuns(SERVICE, 'v1', ()))
        for entry in self.entries:
            entry.start()
        await asyncio.sleep(0)
        for agent in self.agents:
            for entry in self.entries:
                entry.post(ReportReceived(_report(agent, entry), agent.address))
                entry.spawn(self._send_reports(agent, entry))
        await asyncio.sleep(0)

    def disable_second_queue_places(self) -> None:
        """Keep every request in the queue of the agent chosen first."""
        for entry in self.entries:
            entry._second_queue_budget = RetryBudget(0, balance=0)

    async def _send_reports(
        self,
        agent: MemoryAgent,
        entry: RequestsTask,
    ) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.rng.uniform(0, self.shape.report_interval_s))
        while agent.alive:
            message = ReportReceived(_report(agent, entry), agent.address)
            loop.call_later(self.shape.report_lag_s, entry.post, message)
            await asyncio.sleep(self.shape.report_interval_s)


def _report(agent: MemoryAgent, entry: RequestsTask) -> Any:
    return agent.service.report(entry._runtime.incarnation)


def _make_agent(shape: FleetShape, number: int) -> MemoryAgent:
    runtime = _make_runtime('agent', number, slots=shape.slots)
    engine = SimpleEngine(shape)
    runs = RunsTask(runtime, engine)  # type: ignore[arg-type]
    knowledge: Any = types.SimpleNamespace(
        active_config=types.SimpleNamespace(order=(1, '')),
    )
    service = RunService(runtime, runs, knowledge)
    return MemoryAgent(f'agent-{number}', runs, service, engine)


def _make_entry(number: int, peers: Any) -> RequestsTask:
    return RequestsTask(_make_runtime('entry', number), peers)


def _make_runtime(role: Any, number: int, *, slots: int = 8) -> Runtime:
    cfg = Settings(
        process=ProcessSection(
            role=role,
            host=f'{role}-{number}',
            address='127.0.0.1',
            rpc_port=0,
            admin_port=0,
            http_port=0,
            region='north',
            failure_domain='a',
        ),
        platform=PlatformSection(address='127.0.0.1:9'),
        limits=evolve(LimitsSection(), slots=slots, max_concurrent=100_000),
    )
    return Runtime(cfg=cfg, log=LOG, incarnation=f'{role}-{number}')
