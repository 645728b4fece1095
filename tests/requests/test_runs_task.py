"""The agent's runs task, driven by messages, with a fake upstream."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any

from attrs import define, evolve, field

from crowrudder_daemon.agent._answer_log import AnswerLog
from crowrudder_daemon.agent._run_messages import (
    AttemptReceived,
    CancelReceived,
    DrainRuns,
    OwnerLost,
    PauseRuns,
    PermitReceived,
    ResumeRuns,
    SettleReceived,
)
from crowrudder_daemon.agent._runs import RunsTask
from crowrudder_daemon.process import Runtime
from crowrudder_model import Outcome
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    Final,
    Piece,
    SettledState,
)
from support.aio import run
from support.settings import entry_settings


@define
class FakeUpstream:
    """Sends two pieces, and goes on after each once `gate` is set."""

    outcome: Outcome = Outcome.ANSWERED
    gate: asyncio.Event = field(factory=asyncio.Event)
    ran: list[tuple[str, str]] = field(factory=list)

    async def run(
        self,
        attempt: Attempt,
        version: str,
    ) -> AsyncIterator[Piece | Final]:
        request_id = attempt.key.request_id
        if self.outcome is Outcome.ANSWERED:
            self.ran.append((request_id, version))
            for index in range(2):
                yield Piece(request_id=request_id, version=version, index=index)
                await self.gate.wait()
        yield Final(
            request_id=request_id,
            outcome=self.outcome,
            version=version,
            pieces=2,
        )

    async def cancel(self, request_id: str) -> None:
        """Do nothing."""


ATTEMPT = Attempt(
    key=AttemptKey(request_id='r1', attempt=1, entry='e1'),
    customer='c',
    service='s',
    priority=5,
    budget_s=5.0,
    idempotent=False,
)


def task_of(upstream: Any) -> RunsTask:
    cfg = entry_settings()
    cfg = evolve(cfg, limits=evolve(cfg.limits, slots=1))
    task = RunsTask(Runtime(cfg=cfg, log=logging.getLogger('t')), upstream)
    task.start()
    task.post(ResumeRuns('s', 'v1', ()))
    return task


async def settled(
    task: RunsTask,
    key: AttemptKey,
) -> tuple[SettledState, AnswerLog | None]:
    reply = asyncio.get_running_loop().create_future()
    task.post(SettleReceived(key, reply))
    return await reply


async def run_ready(times: int = 20) -> None:
    """Yield to the event loop so that ready callbacks run."""
    for _ in range(times):
        await asyncio.sleep(0)


def bodies(answers: AnswerLog) -> list[Any]:
    return [event.body for event in answers.events]


class TestSettle:
    """Settling an attempt after its entry lost the connection."""

    def test_completed_answer_can_be_read_after_settling(self):
        """A complete answer must not end as unknown.

        The run finishes, the connection to the entry breaks before the last
        messages are read, and the entry settles. The failure occurs if the end
        of the stream drops the answer of an ended run.
        """

        async def story() -> None:
            upstream = FakeUpstream()
            upstream.gate.set()
            task, answers = task_of(upstream), AnswerLog()
            task.post(AttemptReceived(ATTEMPT, answers))
            await run_ready()
            task.post(PermitReceived(ATTEMPT.key, granted=True))
            await run_ready()
            task.post(OwnerLost(ATTEMPT.key))
            state, kept = await settled(task, ATTEMPT.key)
            assert state is SettledState.ATTACHED
            assert kept is not None
            last = [event async for event in kept.read_from_piece(1)][-1]
            assert last.final is not None
            assert last.final.outcome is Outcome.ANSWERED
            await task.stop()

        run(story())

    def test_queued_attempt_never_starts_once_settled(self):
        async def story() -> None:
            upstream = FakeUpstream()
            task, answers = task_of(upstream), AnswerLog()
            task.post(AttemptReceived(ATTEMPT, answers))
            await run_ready()
            state, _ = await settled(task, ATTEMPT.key)
            task.post(PermitReceived(ATTEMPT.key, granted=True))
            await run_ready()
            assert state is SettledState.NEVER_STARTS
            assert not upstream.ran
            await task.stop()

        run(story())

    def test_attempt_received_after_its_settlement_never_starts(self):
        async def story() -> None:
            upstream = FakeUpstream()
            task, answers = task_of(upstream), AnswerLog()
            await settled(task, ATTEMPT.key)
            task.post(AttemptReceived(ATTEMPT, answers))
            task.post(PermitReceived(ATTEMPT.key, granted=True))
            await run_ready()
            assert bodies(answers)[0].reason == 'duplicate_message'
            assert not upstream.ran
            await task.stop()

        run(story())


class TestVersionChange:
    """A change of weights while an attempt holds its slot."""

    def test_attempt_runs_on_the_version_of_its_permit(self):
        """An attempt must not fail when a new version is ordered.

        The agent requests the permit for v1, the weights task pauses the runs
        and waits for this attempt, and the permit arrives. The failure occurs
        if the run reads the task's version, which the pause has cleared.
        """

        async def story() -> None:
            upstream = FakeUpstream()
            upstream.gate.set()
            task, answers = task_of(upstream), AnswerLog()
            task.post(AttemptReceived(ATTEMPT, answers))
            await run_ready()
            idle = asyncio.get_running_loop().create_future()
            task.post(PauseRuns(idle))
            task.post(PermitReceived(ATTEMPT.key, granted=True))
            await idle
            assert upstream.ran == [('r1', 'v1')]
            assert bodies(answers)[-1].outcome is Outcome.ANSWERED
            await task.stop()

        run(story())


class TestRefusedByUpstream:
    """The upstream refuses an attempt without starting it."""

    def test_id_can_be_retried_on_the_same_agent(self):
        """An id that did not run must be accepted again.

        The engine is full and refuses, and the caller retries the same id
        after "not run". If the ledger kept the id as started, a service of one
        replica would refuse the id for ten minutes.
        """

        async def story() -> None:
            upstream = FakeUpstream(outcome=Outcome.NOT_RUN)
            task, answers = task_of(upstream), AnswerLog()
            task.post(AttemptReceived(ATTEMPT, answers))
            await run_ready()
            task.post(PermitReceived(ATTEMPT.key, granted=True))
            await run_ready()
            again = evolve(ATTEMPT, key=evolve(ATTEMPT.key, attempt=2))
            second = AnswerLog()
            task.post(AttemptReceived(again, second))
            await run_ready()
            assert [type(body).__name__ for body in bodies(second)] == [
                'Queued',
                'PermitRequest',
            ]
            await task.stop()

        run(story())


class TestCancelAndDrain:
    """Attempts that a cancel, a drain or a shutdown stops or completes."""

    def test_cancelled_run_ends_as_failed(self):
        async def story() -> None:
            task, answers = task_of(FakeUpstream()), AnswerLog()
            task.post(AttemptReceived(ATTEMPT, answers))
            await run_ready()
            task.post(PermitReceived(ATTEMPT.key, granted=True))
            await run_ready()
            task.post(CancelReceived(ATTEMPT.key))
            await run_ready()
            assert bodies(answers)[-1].outcome is Outcome.FAILED
            assert task.state.running == 0
            await task.stop()

        run(story())

    def test_drain_refuses_queued_and_completes_running_attempts(self):
        async def story() -> None:
            upstream = FakeUpstream()
            task, running, waiting = task_of(upstream), AnswerLog(), AnswerLog()
            task.post(AttemptReceived(ATTEMPT, running))
            await run_ready()
            task.post(PermitReceived(ATTEMPT.key, granted=True))
            key = evolve(ATTEMPT.key, request_id='r2')
            task.post(AttemptReceived(evolve(ATTEMPT, key=key), waiting))
            await run_ready()
            idle = asyncio.get_running_loop().create_future()
            task.post(DrainRuns(idle))
            await run_ready()
            assert bodies(waiting)[-1].reason == 'draining'
            assert not idle.done()
            upstream.gate.set()
            await idle
            assert bodies(running)[-1].outcome is Outcome.ANSWERED
            await task.stop()

        run(story())

    def test_run_stopped_by_shutdown_ends_as_unknown(self):
        """A run that the engine may have finished must not be "failed".

        The drain times out and the agent stops its jobs. The failure occurs if
        every stopped job is treated as cancelled by its owner.
        """

        async def story() -> None:
            task, answers = task_of(FakeUpstream()), AnswerLog()
            task.post(AttemptReceived(ATTEMPT, answers))
            await run_ready()
            task.post(PermitReceived(ATTEMPT.key, granted=True))
            await run_ready()
            await task.stop()
            assert bodies(answers)[-1].outcome is Outcome.UNKNOWN

        run(story())
