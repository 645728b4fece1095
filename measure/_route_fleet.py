"""The daemon's own request tasks, joined in memory, before simple engines."""

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
from crowrudder_daemon.entry._links import AgentLost, ReportReceived
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
    """Size of the fleet, its engines and how late reports are."""

    entries: int = 8
    agents: int = 20
    slots: int = 8
    token_s: float = 0.025
    prefill_s: float = 0.1
    cache: int = 0
    report_lag_s: float = 1.0
    report_every_s: float = 0.5
    customers: tuple[Customer, ...] = ()
    seed: int = 1


@define(eq=False)
class SimpleEngine:
    """An engine with a batch, a prefix cache, a speed and a pulse."""

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
        """Generate, first the prompt's part and then the tokens."""
        self.runs += 1
        self.running += 1
        try:
            if not self.answers:
                await asyncio.sleep(attempt.budget_s)
            async for part in self._generate(attempt, version):
                yield part
        finally:
            self.running -= 1

    async def cancel(self, request_id: str) -> None:
        """Nothing to do: the run ends with its reader."""

    def run_s(self, tokens: int, *, hit: bool = False) -> float:
        """Give the seconds of a run with the batch as it is."""
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
        whole_s = self.run_s(left, hit=self._hit(attempt.prompt))
        self.busy_s += whole_s
        first_s = whole_s - self.run_s(max(left - 1, 0)) + self.run_s(0)
        first_s = min(first_s, whole_s)
        # Two pieces stand for all tokens: the first, and what follows.
        for index, pause_s in enumerate((first_s, whole_s - first_s)):
            await asyncio.sleep(max(pause_s, 0))
            yield Piece(request_id=request_id, version=version, index=index)
        yield Final(
            request_id=request_id,
            outcome=Outcome.ANSWERED,
            version=version,
            pieces=2,
        )

    def _hit(self, prompt: str) -> bool:
        if not self.shape.cache:
            return False
        hit = prompt in self._prefixes
        self.hits += hit
        self._prefixes[prompt] = None
        self._prefixes.move_to_end(prompt)
        if len(self._prefixes) > self.shape.cache:
            self._prefixes.popitem(last=False)
        return hit


@define(eq=False)
class MemoryAgent:
    """One agent: the daemon's task and service, and its engine."""

    address: str
    runs: RunsTask
    service: RunService
    engine: SimpleEngine
    alive: bool = True
    streams: set[MemoryStream] = field(factory=set)

    def die(self, entries: list[RequestsTask]) -> None:
        """Break every stream, as the death of its host would."""
        self.alive = False
        for entry in entries:
            entry.post(AgentLost(self.address))
        for stream in list(self.streams):
            stream.break_off()


_END = object()


class MemoryStream:
    """A stream to an agent in memory, with the latency of a link."""

    def __init__(self, agent: MemoryAgent, method: Method[Any, Any]) -> None:
        self._agent = agent
        self._method = method
        self._ups = _Link()
        self._downs = _Link()
        self._pump: asyncio.Task[None] | None = None

    def open(self, ask: Any) -> None:
        """Start the agent's handler."""
        if not self._agent.alive:
            self.break_off()
            return
        self._agent.streams.add(self)
        self._pump = asyncio.ensure_future(self._serve(ask))

    async def send(self, message: RunClientMessage) -> None:
        """Send one message up."""
        if not self._agent.alive:
            raise self._lost()
        self._ups.put(message)

    async def read(self) -> Any:
        """Read one message; None at the orderly end."""
        down = await self._downs.out.get()
        if isinstance(down, PeerLostError):
            self._downs.out.put_nowait(down)
            raise down
        return None if down is _END else down

    def __aiter__(self) -> AsyncIterator[Any]:
        """Iterate until the orderly end."""
        return self._iterate()

    def cancel(self) -> None:
        """Give the call up."""
        self._agent.streams.discard(self)
        if self._pump is not None:
            self._pump.cancel()

    def break_off(self) -> None:
        """End both ways as a dead host does."""
        self.cancel()
        self._downs.out.put_nowait(self._lost())

    async def _iterate(self) -> AsyncIterator[Any]:
        while (down := await self.read()) is not None:
            yield down

    async def _serve(self, ask: Any) -> None:
        service = self._agent.service
        events = (
            service._on_run(self._read_ups(), None)
            if self._method is RUN
            else service._on_settle(ask, None)
        )
        async for event in events:
            self._downs.put(event)
        self._downs.put(_END)

    async def _read_ups(self) -> AsyncIterator[Any]:
        while True:
            yield await self._ups.out.get()

    def _lost(self) -> PeerLostError:
        return PeerLostError(
            'Connection refused',
            step=self._method.name,
            peer=self._agent.address,
        )


@define(eq=False)
class _Link:
    """One way of a stream: late by a latency, and in order.

    Timers of the same moment run in no order, so each takes the eldest.
    """

    out: asyncio.Queue[Any] = field(factory=asyncio.Queue)
    _flying: deque[Any] = field(factory=deque)

    def put(self, message: Any) -> None:
        self._flying.append(message)
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._arrive)

    def _arrive(self) -> None:
        self.out.put_nowait(self._flying.popleft())


class MemoryPeers:
    """The calls of an entry, in memory."""

    def __init__(self, agents: dict[str, MemoryAgent]) -> None:
        self._agents = agents
        self.calls = 0

    def open(
        self,
        peer: str,
        method: Method[Any, Any],
        ask: Any = None,
    ) -> MemoryStream:
        """Open a stream."""
        assert method in {RUN, SETTLE}
        stream = MemoryStream(self._agents[peer], method)
        stream.open(ask)
        return stream

    async def call(
        self,
        peer: str,
        method: Method[Any, Any],
        ask: Any,
        **_more: Any,
    ) -> Any:
        """Make a unary call: to cancel, or to ask for room."""
        agent = self._agents[peer]
        await asyncio.sleep(LATENCY_S)
        if not agent.alive:
            raise PeerLostError('connection refused', step='call', peer=peer)
        self.calls += 1
        handlers: dict[Any, Any] = {
            CANCEL: agent.service._on_cancel,
            ROOM: agent.service._on_capacity,
        }
        reply = await handlers[method](ask, None)
        await asyncio.sleep(LATENCY_S)
        return reply


class MemoryFleet:
    """Entries and agents of one run."""

    def __init__(
        self,
        shape: FleetShape,
        make_router: Any = None,
    ) -> None:
        self.shape = shape
        self.rng = random.Random(shape.seed)
        self.agents = [_agent(shape, number) for number in range(shape.agents)]
        by_address = {agent.address: agent for agent in self.agents}
        self.entries = [
            _entry(number, MemoryPeers(by_address))
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
        """Start all tasks and the reports."""
        for agent in self.agents:
            agent.runs.start()
            agent.runs.post(ResumeRuns(SERVICE, 'v1', ()))
        for entry in self.entries:
            entry.start()
        await asyncio.sleep(0)
        for agent in self.agents:
            for entry in self.entries:
                entry.post(ReportReceived(_report(agent, entry), agent.address))
                entry.spawn(self._report_for_ever(agent, entry))
        await asyncio.sleep(0)

    def forbid_second_places(self) -> None:
        """Let every request wait where it was sent first."""
        for entry in self.entries:
            entry._second_queue_budget = RetryBudget(0, balance=0)

    async def _report_for_ever(
        self,
        agent: MemoryAgent,
        entry: RequestsTask,
    ) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.rng.uniform(0, self.shape.report_every_s))
        while agent.alive:
            message = ReportReceived(_report(agent, entry), agent.address)
            loop.call_later(self.shape.report_lag_s, entry.post, message)
            await asyncio.sleep(self.shape.report_every_s)


def _report(agent: MemoryAgent, entry: RequestsTask) -> Any:
    return agent.service.report(entry._runtime.incarnation)


def _agent(shape: FleetShape, number: int) -> MemoryAgent:
    runtime = _runtime('agent', number, slots=shape.slots)
    engine = SimpleEngine(shape)
    runs = RunsTask(runtime, engine)  # type: ignore[arg-type]
    knowledge: Any = types.SimpleNamespace(
        active_config=types.SimpleNamespace(order=(1, '')),
    )
    service = RunService(runtime, runs, knowledge)
    return MemoryAgent(f'agent-{number}', runs, service, engine)


def _entry(number: int, peers: Any) -> RequestsTask:
    return RequestsTask(_runtime('entry', number), peers)


def _runtime(role: Any, number: int, *, slots: int = 8) -> Runtime:
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
