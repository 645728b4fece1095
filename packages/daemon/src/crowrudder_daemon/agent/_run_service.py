"""The remote calls by which entries use an agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_daemon.agent._answer_log import AnswerLog
from crowrudder_daemon.agent._run_messages import (
    AttemptCame,
    CancelCame,
    OwnerLost,
    PermitCame,
    SettleCame,
)
from crowrudder_daemon.agent._run_parts import settled_message
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    Cancel,
    Permit,
    Report,
    ReportAsk,
    RoomAsk,
    RoomReply,
    RunDown,
    RunUp,
    SettleAsk,
    SettledState,
    Taken,
)
from crowrudder_model.rpc import CANCEL, REPORTS, ROOM, RUN, SETTLE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from crowrudder_daemon.agent._run_parts import RunsState
    from crowrudder_daemon.agent._runs import RunsTask
    from crowrudder_daemon.knowledge import KnowledgeTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerServer


SHORTEST_INTERVAL_S = 0.05


@frozen
class _UrgentPart:
    """What decides whether an entry may send here at all."""

    service: str
    version: str
    adapters: tuple[str, ...]
    leaving: bool


class RunService:
    """Translate remote calls to messages of the runs task."""

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
        """Add the calls to the server."""
        server.add(RUN, self._on_run)
        server.add(SETTLE, self._on_settle)
        server.add(CANCEL, self._on_cancel)
        server.add(ROOM, self._on_room)
        server.add(REPORTS, self._on_reports)

    async def read_to_the_end(self) -> None:
        """Wait until entries have read what was answered.

        A run that has ended may still have its last pieces on the way; a
        server that stops then would cut them off.
        """
        if self._readers:
            await asyncio.wait(set(self._readers))

    async def _on_run(
        self,
        ups: AsyncIterator[RunUp],
        _context: object,
    ) -> AsyncIterator[RunDown]:
        first = await anext(ups, None)
        if first is None or first.attempt is None:
            return
        key = first.attempt.key
        answers = AnswerLog()
        self._runs.post(AttemptCame(first.attempt, answers))
        reader = asyncio.ensure_future(self._read_ups(ups, key))
        try:
            async for event in self._watched(answers.read()):
                yield event
        finally:
            reader.cancel()
            self._runs.post(OwnerLost(key))

    async def _watched(
        self,
        events: AsyncIterator[RunDown],
    ) -> AsyncIterator[RunDown]:
        ended = asyncio.get_running_loop().create_future()
        self._readers.add(ended)
        try:
            async for event in events:
                yield event
        finally:
            self._readers.discard(ended)
            ended.set_result(None)

    async def _read_ups(
        self,
        ups: AsyncIterator[RunUp],
        key: AttemptKey,
    ) -> None:
        async for up in ups:
            match up.body:
                case Permit(granted=granted):
                    self._runs.post(PermitCame(key, granted))
                case Attempt() | None:
                    return

    async def _on_cancel(self, ask: Cancel, _context: object) -> Taken:
        self._runs.post(CancelCame(ask.key))
        return Taken(count=1)

    async def _on_room(self, ask: RoomAsk, _context: object) -> RoomReply:
        runs, admission = self._runs, self._runs.admission
        if runs.shut or ask.service != runs.state.service:
            return RoomReply(wait_s=NO_ROOM)
        return RoomReply(
            wait_s=admission.wait_s(ask.customer, ask.share),
            filled=(admission.running + admission.queued) / admission.slots,
        )

    async def _on_settle(
        self,
        ask: SettleAsk,
        _context: object,
    ) -> AsyncIterator[RunDown]:
        if ask.incarnation != self._runtime.incarnation:
            yield settled_message(SettledState.OTHER_INCARNATION)
            return
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[tuple[SettledState, AnswerLog | None]]
        reply = loop.create_future()
        self._runs.post(SettleCame(ask.key, reply))
        state, answers = await reply
        yield settled_message(state)
        if state is SettledState.ATTACHED and answers is not None:
            rest = answers.read_from_piece(ask.next_index)
            async for event in self._watched(rest):
                yield event

    async def _on_reports(
        self,
        ask: ReportAsk,
        _context: object,
    ) -> AsyncIterator[Report]:
        while True:
            told = _urgent_part(self._runs.state)
            yield self.report(ask.entry)
            await self._wait_for_news(told, ask.interval_s)

    async def _wait_for_news(
        self,
        told: _UrgentPart,
        interval_s: float,
    ) -> None:
        """Wait for the interval, or less where an entry must know at once.

        A report on each change of load would be up to twenty a second to
        each entry, more than all other control traffic; entries count their
        own attempts, and ask for room where that isn't enough.
        """
        state = self._runs.state
        try:
            async with asyncio.timeout(max(interval_s, SHORTEST_INTERVAL_S)):
                while _urgent_part(state) == told:
                    await state.changed.wait()
        except TimeoutError:
            return

    def report(self, entry: str = '') -> Report:
        """Give the agent's state now, as one entry is to see it."""
        state = self._runs.state
        generation, digest = self._knowledge.book.order
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
            yours=_count_of(entry, self._runs.admission.attempts()),
            leaving=state.leaving,
            generation=generation,
            digest=digest,
        )


def _urgent_part(state: RunsState) -> _UrgentPart:
    return _UrgentPart(
        state.service,
        state.version,
        state.adapters,
        state.leaving,
    )


def _count_of(entry: str, attempts: Iterable[AttemptKey]) -> int:
    return sum(key.entry == entry for key in attempts)


NO_ROOM = -1.0
