"""A request that waits at two agents, and what becomes of the second place."""

from __future__ import annotations

import asyncio
import contextlib

from crowrudder_daemon.entry._requests import CallerLost
from crowrudder_model import Outcome
from support.aio import run
from support.path import Path, final, until

RETRIES = 4


@contextlib.asynccontextmanager
async def left_for_another():
    """Bring a request to run at one agent, its place at the other given up.

    Gives both agents and the request's parts.
    """
    async with Path(agents=2, entries=2) as path:
        one, other = path.agents
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
        busy.requests.post(CallerLost(holders[one.upstream.ran[0]]))
        await until(lambda: 'r' in one.upstream.ran)
        await until(lambda: not other.runs.state.queued)
        other.upstream.gate.set()
        yield one, other, parts


class TestLeftForAnother:
    def test_it_is_asked_again_as_the_other_dies(self):
        """A repeatable request ended unknown though another agent lived.

        Symptom: "no replica can serve this now" for a stream that had begun
        and may be repeated. Sequence: it waits at two agents, one gives it a
        slot, its place at the other is given up, and the one is killed.
        Cause: the agent at which the entry itself had given the place up
        counted as one that was tried in vain.
        """

        async def story() -> None:
            async with left_for_another() as (one, _, parts):
                await one.kill()
                ended = await final(parts)
                assert ended.outcome is Outcome.ANSWERED, ended.message
                assert ended.pieces == 3

        run(story())

    def test_it_is_asked_again_as_the_other_falls_silent(self):
        """A repeatable request waited for one agent to its deadline.

        Symptom, sequence and cause as above, but that the one stands still.
        """

        async def story() -> None:
            async with left_for_another() as (_, other, parts):
                async with asyncio.timeout(4):
                    ended = await final(parts)
                assert ended.outcome is Outcome.ANSWERED, ended.message
                assert 'r' in other.upstream.ran

        run(story())
