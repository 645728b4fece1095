"""Tests of a request queued at two agents, then cancelled at one."""

from __future__ import annotations

import asyncio
import contextlib

from crowrudder_daemon.entry._requests import CallerDisconnected
from crowrudder_model import Outcome
from support.aio import run
from support.path import InProcessFleet, final, until

RETRIES = 4


@contextlib.asynccontextmanager
async def request_with_cancelled_queue_place():
    """Run a request at one agent after cancelling its place at the other.

    Yields the serving agent, the other agent and the parts of the answer.
    """
    async with InProcessFleet(agents=2, entries=2) as path:
        serving, other = path.agents
        entry, busy = path.entries
        entry.requests._budget.balance = RETRIES
        holders = {
            name: busy.ask(name, idempotent=True)
            for name in ('h1', 'h2', 'h3', 'h4')
        }
        await until(
            lambda: all(agent.runs.state.running == 2 for agent in path.agents)
        )
        parts = entry.ask('r', idempotent=True)
        await until(
            lambda: all(agent.runs.state.queued for agent in path.agents)
        )
        busy.requests.post(CallerDisconnected(holders[serving.upstream.ran[0]]))
        await until(lambda: 'r' in serving.upstream.ran)
        await until(lambda: not other.runs.state.queued)
        other.upstream.gate.set()
        yield serving, other, parts


class TestCancelledQueuePlace:
    def test_its_agent_is_retried_when_the_serving_agent_dies(self):
        """Guard against an idempotent stream that fails while an agent lives.

        The request waits at two agents. One gives it a slot, its queue place
        at the other is cancelled, and the first is killed. If the agent where
        the entry itself cancelled the place counts as tried, the request ends
        as unknown with "no replica can serve this now".
        """

        async def scenario() -> None:
            async with request_with_cancelled_queue_place() as (
                serving,
                _,
                parts,
            ):
                await serving.kill()
                ended = await final(parts)
                assert ended.outcome is Outcome.ANSWERED, ended.message
                assert ended.pieces == 3

        run(scenario())

    def test_its_agent_is_retried_when_the_serving_agent_stalls(self):
        """Guard against waiting for one agent until the deadline.

        As above, but the serving agent stops responding instead of dying.
        """

        async def scenario() -> None:
            async with request_with_cancelled_queue_place() as (
                _,
                other,
                parts,
            ):
                async with asyncio.timeout(4):
                    ended = await final(parts)
                assert ended.outcome is Outcome.ANSWERED, ended.message
                assert 'r' in other.upstream.ran

        run(scenario())
