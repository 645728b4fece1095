"""The agent's task, with a fake upstream and by its messages."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any

from attrs import define, evolve, field

from crowrudder_daemon.agent._answer_log import AnswerLog
from crowrudder_daemon.agent._run_messages import (
    AttemptCame,
    CancelCame,
    DrainRuns,
    OwnerLost,
    PauseRuns,
    PermitCame,
    ResumeRuns,
    SettleCame,
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
    """Answers two pieces, the second once `gate` is open."""

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
        """Nothing to do."""


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
    task.post(SettleCame(key, reply))
    return await reply


async def turn(times: int = 20) -> None:
    """Let everything that is ready run."""
    for _ in range(times):
        await asyncio.sleep(0)


def bodies(answers: AnswerLog) -> list[Any]:
    return [event.body for event in answers.events]


class TestSettle:
    """What an entry finds when it comes back."""

    def test_a_finished_answer_is_still_there(self):
        """Symptom: an answer that was whole ends as unknown.

        Sequence: the run finishes; the connection to the entry breaks before
        the last messages are read; the entry asks to settle.
        Cause: the end of the stream dropped the answer of an ended run.
        """

        async def story() -> None:
            upstream = FakeUpstream()
            upstream.gate.set()
            task, answers = task_of(upstream), AnswerLog()
            task.post(AttemptCame(ATTEMPT, answers))
            await turn()
            task.post(PermitCame(ATTEMPT.key, granted=True))
            await turn()
            task.post(OwnerLost(ATTEMPT.key))
            state, kept = await settled(task, ATTEMPT.key)
            assert state is SettledState.ATTACHED
            assert kept is not None
            last = [event async for event in kept.read_from_piece(1)][-1]
            assert last.final is not None
            assert last.final.outcome is Outcome.ANSWERED
            await task.stop()

        run(story())

    def test_what_waits_never_starts_once_settled(self):
        async def story() -> None:
            upstream = FakeUpstream()
            task, answers = task_of(upstream), AnswerLog()
            task.post(AttemptCame(ATTEMPT, answers))
            await turn()
            state, _ = await settled(task, ATTEMPT.key)
            task.post(PermitCame(ATTEMPT.key, granted=True))
            await turn()
            assert state is SettledState.NEVER_STARTS
            assert not upstream.ran
            await task.stop()

        run(story())

    def test_an_attempt_that_comes_after_its_settlement_never_starts(self):
        async def story() -> None:
            upstream = FakeUpstream()
            task, answers = task_of(upstream), AnswerLog()
            await settled(task, ATTEMPT.key)
            task.post(AttemptCame(ATTEMPT, answers))
            task.post(PermitCame(ATTEMPT.key, granted=True))
            await turn()
            assert bodies(answers)[0].reason == 'duplicate_message'
            assert not upstream.ran
            await task.stop()

        run(story())


class TestVersionChange:
    """A change of weights while an attempt holds its slot."""

    def test_the_version_asked_for_is_the_version_that_runs(self):
        """Symptom: an attempt fails as soon as a new version is ordered.

        Sequence: the agent asks for the permit for v1; the weights task
        pauses the runs, which waits for this attempt; the permit arrives.
        Cause: the run read the task's version, which the pause had cleared.
        """

        async def story() -> None:
            upstream = FakeUpstream()
            upstream.gate.set()
            task, answers = task_of(upstream), AnswerLog()
            task.post(AttemptCame(ATTEMPT, answers))
            await turn()
            idle = asyncio.get_running_loop().create_future()
            task.post(PauseRuns(idle))
            task.post(PermitCame(ATTEMPT.key, granted=True))
            await idle
            assert upstream.ran == [('r1', 'v1')]
            assert bodies(answers)[-1].outcome is Outcome.ANSWERED
            await task.stop()

        run(story())


class TestRefusedByUpstream:
    """The upstream's word that it did not begin."""

    def test_the_id_may_run_here_later(self):
        """Symptom: a service of one replica refuses an id for ten minutes.

        Sequence: the engine is full and refuses; the caller is told "not
        run" and sends the same id again as told.
        Cause: the ledger kept the id as started.
        """

        async def story() -> None:
            upstream = FakeUpstream(outcome=Outcome.NOT_RUN)
            task, answers = task_of(upstream), AnswerLog()
            task.post(AttemptCame(ATTEMPT, answers))
            await turn()
            task.post(PermitCame(ATTEMPT.key, granted=True))
            await turn()
            again = evolve(ATTEMPT, key=evolve(ATTEMPT.key, attempt=2))
            second = AnswerLog()
            task.post(AttemptCame(again, second))
            await turn()
            assert [type(body).__name__ for body in bodies(second)] == [
                'Queued',
                'PermitAsk',
            ]
            await task.stop()

        run(story())


class TestCancelAndDrain:
    """Work that is stopped, and work that is not."""

    def test_a_cancelled_run_says_so(self):
        async def story() -> None:
            task, answers = task_of(FakeUpstream()), AnswerLog()
            task.post(AttemptCame(ATTEMPT, answers))
            await turn()
            task.post(PermitCame(ATTEMPT.key, granted=True))
            await turn()
            task.post(CancelCame(ATTEMPT.key))
            await turn()
            assert bodies(answers)[-1].outcome is Outcome.FAILED
            assert task.state.running == 0
            await task.stop()

        run(story())

    def test_a_drain_refuses_what_waits_and_finishes_what_runs(self):
        async def story() -> None:
            upstream = FakeUpstream()
            task, running, waiting = task_of(upstream), AnswerLog(), AnswerLog()
            task.post(AttemptCame(ATTEMPT, running))
            await turn()
            task.post(PermitCame(ATTEMPT.key, granted=True))
            key = evolve(ATTEMPT.key, request_id='r2')
            task.post(AttemptCame(evolve(ATTEMPT, key=key), waiting))
            await turn()
            idle = asyncio.get_running_loop().create_future()
            task.post(DrainRuns(idle))
            await turn()
            assert bodies(waiting)[-1].reason == 'draining'
            assert not idle.done()
            upstream.gate.set()
            await idle
            assert bodies(running)[-1].outcome is Outcome.ANSWERED
            await task.stop()

        run(story())

    def test_a_run_that_the_shutdown_cuts_is_unknown_not_failed(self):
        """Symptom: "failed" for a run that the engine may have finished.

        Sequence: the drain's time is over; the agent stops its jobs.
        Cause: every stop of a job was taken for a cancel by the owner.
        """

        async def story() -> None:
            task, answers = task_of(FakeUpstream()), AnswerLog()
            task.post(AttemptCame(ATTEMPT, answers))
            await turn()
            task.post(PermitCame(ATTEMPT.key, granted=True))
            await turn()
            await task.stop()
            assert bodies(answers)[-1].outcome is Outcome.UNKNOWN

        run(story())
