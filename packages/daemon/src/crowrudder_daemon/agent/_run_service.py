"""Remote calls from entries to an agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_daemon.agent._answer_log import AnswerLog
from crowrudder_daemon.agent._run_messages import (
    AttemptReceived,
    CancelReceived,
    OwnerLost,
    PermitReceived,
    SettleReceived,
)
from crowrudder_daemon.agent._run_state import settled_message
from crowrudder_model.messages import (
    AcceptedCount,
    Attempt,
    AttemptKey,
    Cancel,
    CapacityReply,
    CapacityRequest,
    Permit,
    Report,
    ReportRequest,
    RunClientMessage,
    RunServerMessage,
    SettledState,
    SettleRequest,
)
from crowrudder_model.rpc import CANCEL, REPORTS, ROOM, RUN, SETTLE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from crowrudder_daemon.agent._run_state import RunsState
    from crowrudder_daemon.agent._runs import RunsTask
    from crowrudder_daemon.knowledge import KnowledgeTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerServer


MIN_INTERVAL_S = 0.05


@frozen
class _RoutingState:
    """Fields that decide whether an entry may send requests to this agent."""

    service: str
    version: str
    adapters: tuple[str, ...]
    leaving: bool


class RunService:
    """Translates remote calls into messages to the runs task."""

    def __init__(
        self,
        runtime: Runtime,
        runs: RunsTask,
        knowledge: KnowledgeTask,
    ) -> None:
        self._runtime = runtime
        self._runs = runs
        self._knowledge = knowledge
        self._readers: set[asyncio.Future[None]] = set()

    def serve(self, server: PeerServer) -> None:
        """Register the calls on the server."""
        server.add(RUN, self._on_run)
        server.add(SETTLE, self._on_settle)
        server.add(CANCEL, self._on_cancel)
        server.add(ROOM, self._on_capacity)
        server.add(REPORTS, self._on_reports)

    async def wait_for_readers(self) -> None:
        """Wait until the entries have read all answers.

        The last pieces of an ended run may still be in transit. Stopping the
        server at that point would cut them off.
        """
        if self._readers:
            await asyncio.wait(set(self._readers))

    async def _on_run(
        self,
        incoming: AsyncIterator[RunClientMessage],
        _context: object,
    ) -> AsyncIterator[RunServerMessage]:
        first = await anext(incoming, None)
        if first is None or first.attempt is None:
            return
        key = first.attempt.key
        answers = AnswerLog()
        self._runs.post(AttemptReceived(first.attempt, answers))
        reader = asyncio.ensure_future(self._read_incoming(incoming, key))
        try:
            async for event in self._track_reader(answers.read()):
                yield event
        finally:
            reader.cancel()
            self._runs.post(OwnerLost(key))

    async def _track_reader(
        self,
        events: AsyncIterator[RunServerMessage],
    ) -> AsyncIterator[RunServerMessage]:
        ended = asyncio.get_running_loop().create_future()
        self._readers.add(ended)
        try:
            async for event in events:
                yield event
        finally:
            self._readers.discard(ended)
            ended.set_result(None)

    async def _read_incoming(
        self,
        incoming: AsyncIterator[RunClientMessage],
        key: AttemptKey,
    ) -> None:
        async for message in incoming:
            match message.body:
                case Permit(granted=granted):
                    self._runs.post(PermitReceived(key, granted))
                case Attempt() | None:
                    return

    async def _on_cancel(
        self, request: Cancel, _context: object
    ) -> AcceptedCount:
        self._runs.post(CancelReceived(request.key))
        return AcceptedCount(count=1)

    async def _on_capacity(
        self, request: CapacityRequest, _context: object
    ) -> CapacityReply:
        runs, admission = self._runs, self._runs.admission
        if runs.is_closed or request.service != runs.state.service:
            return CapacityReply(wait_s=NO_CAPACITY)
        return CapacityReply(
            wait_s=admission.wait_s(request.customer, request.share),
            filled=(admission.running + admission.queued) / admission.slots,
        )

    async def _on_settle(
        self,
        request: SettleRequest,
        _context: object,
    ) -> AsyncIterator[RunServerMessage]:
        if request.incarnation != self._runtime.incarnation:
            yield settled_message(SettledState.OTHER_INCARNATION)
            return
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[tuple[SettledState, AnswerLog | None]]
        reply = loop.create_future()
        self._runs.post(SettleReceived(request.key, reply))
        state, answers = await reply
        yield settled_message(state)
        if state is SettledState.ATTACHED and answers is not None:
            rest = answers.read_from_piece(request.next_index)
            async for event in self._track_reader(rest):
                yield event

    async def _on_reports(
        self,
        request: ReportRequest,
        _context: object,
    ) -> AsyncIterator[Report]:
        while True:
            sent = _routing_state(self._runs.state)
            yield self.report(request.entry)
            await self._wait_for_change(sent, request.interval_s)

    async def _wait_for_change(
        self,
        sent: _RoutingState,
        interval_s: float,
    ) -> None:
        """Wait for the interval, or until the routing state changes.

        Reporting each change of load would send up to twenty reports a second
        to each entry, more than all other control traffic. Entries count their
        own attempts, and request capacity where that isn't enough.
        """
        state = self._runs.state
        try:
            async with asyncio.timeout(max(interval_s, MIN_INTERVAL_S)):
                while _routing_state(state) == sent:
                    await state.changed.wait()
        except TimeoutError:
            return

    def report(self, entry: str = '') -> Report:
        """Return a report of the agent's current state for one entry."""
        state = self._runs.state
        generation, digest = self._knowledge.active_config.order
        return Report(
            host=self._runtime.cfg.process.host,
            incarnation=self._runtime.incarnation,
            service=state.service,
            version=state.version,
            adapters=state.adapters,
            running=state.running,
            queued=state.queued,
            slots=state.slots,
            service_s=state.service_s,
            pace_s=state.pace_s,
            silent_s=self._runs.silent_s,
            yours=_count_of_entry(entry, self._runs.admission.attempts()),
            leaving=state.leaving,
            generation=generation,
            digest=digest,
        )


def _routing_state(state: RunsState) -> _RoutingState:
    return _RoutingState(
        state.service,
        state.version,
        state.adapters,
        state.leaving,
    )


def _count_of_entry(entry: str, attempts: Iterable[AttemptKey]) -> int:
    return sum(key.entry == entry for key in attempts)


NO_CAPACITY = -1.0
