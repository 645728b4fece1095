"""Orders over HTTP to an engine, by two agents of one host."""

from __future__ import annotations

import asyncio
import hashlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from crowrudder_core.orders import Target
from crowrudder_daemon.agent._orders import (
    EngineOrderer,
    OutdatedError,
    StagedWeights,
)
from crowrudder_daemon.agent._upstream import CrossedAnswerError, EngineClient
from crowrudder_model import Outcome, UpstreamError
from crowrudder_model.messages import Attempt, AttemptKey, Final
from crowrudder_standins._faults import Fault
from crowrudder_standins._serving import application
from crowrudder_standins.engine import Engine
from support.aio import run

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK = b'weights'
STAGED = StagedWeights(chunks=1, digest=hashlib.sha256(CHUNK).hexdigest())
OPTIONS: dict[str, Any] = {
    '--slots': '2',
    '--queue': '2',
    '--token-interval': '0.001',
    '--prefill': '0',
    '--cache': '4',
    '--load-s': '0',
    '--load-lag': '0',
    '--event-lag': '0',
}


def target(generation: int, version: str) -> Target:
    return Target(
        generation=generation, digest='80', model='notices', version=version
    )


@asynccontextmanager
async def engine(fencing: str) -> AsyncIterator[tuple[Engine, EngineClient]]:
    standin = Engine({**OPTIONS, '--fencing': fencing})
    server = HTTPServer(application(standin))
    socket, port = bind_unused_port()
    server.add_socket(socket)
    try:
        yield standin, EngineClient(f'127.0.0.1:{port}')
    finally:
        server.stop()
        await server.close_all_connections()


async def load(
    orderer: EngineOrderer, client: EngineClient, wanted: Target
) -> None:
    await client.put_chunk(wanted.version, 0, CHUNK)
    await orderer.load(wanted, STAGED)


async def send_late_order(
    client: EngineClient, fence: int, version: str
) -> int:
    """Send the order that an agent had decided before it was paused."""
    await client.put_chunk(version, 0, CHUNK)
    answer = await client.order(
        {
            'order': 'load',
            'fence': fence,
            'model': 'notices',
            'version': version,
            'adapter': '',
            'role': '',
            'chunks': 1,
            'digest': STAGED.digest,
        },
        timeout_s=3,
    )
    return answer.status


class TestTwoAgents:
    """An agent is paused; its host's next agent loads a newer version.

    The old agent must not set the replica back a version when it resumes.
    """

    def test_engine_that_checks_fences_keeps_the_newer_version(self) -> None:
        async def scenario() -> None:
            async with engine('checked') as (standin, client):
                old, new = EngineOrderer(client), EngineOrderer(client)
                await load(old, client, target(5, 'v1'))
                paused_fence = standin.fence + 1
                await load(new, client, target(6, 'v2'))
                assert await send_late_order(client, paused_fence, 'v1') == 409
                with pytest.raises(OutdatedError):
                    await old.load(target(5, 'v1'), STAGED)
                assert standin.shown['version'] == 'v2'
                assert [each['version'] for each in standin.loads] == [
                    'v1',
                    'v2',
                ]

        run(scenario())

    def test_stateless_next_agent_uses_a_higher_fence(
        self,
    ) -> None:
        async def scenario() -> None:
            async with engine('checked') as (standin, client):
                fences = []
                for version in ('v1', 'v2', 'v1'):
                    await load(
                        EngineOrderer(client), client, target(5, version)
                    )
                    fences.append(standin.fence)
                assert fences == sorted(set(fences))

        run(scenario())

    def test_engine_that_ignores_fences_gives_no_wrong_answer(self) -> None:
        """The old order is accepted; no answer of its version is returned."""

        async def scenario() -> None:
            async with engine('ignored') as (standin, client):
                new = EngineOrderer(client)
                await load(new, client, target(6, 'v2'))
                assert await send_late_order(client, 1, 'v1') == 200
                assert standin.shown['version'] == 'v1'
                final = await run_and_get_final(client, 'v2')
                assert final.outcome is Outcome.NOT_RUN
                await new.wait_until_changed(target(6, 'v2'))
                await load(new, client, target(6, 'v2'))
                assert standin.shown['version'] == 'v2'

        run(scenario())


class TestReadBack:
    def test_false_answer_to_an_order_is_detected(
        self,
    ) -> None:
        async def scenario() -> None:
            async with engine('ignored') as (standin, client):
                standin.faults.switch_on(Fault('lie_about_load', 1, 0))
                with pytest.raises(UpstreamError, match='read back'):
                    await load(EngineOrderer(client), client, target(1, 'v1'))

        run(scenario())

    def test_engine_with_false_state_is_stopped_at_its_first_token(
        self,
    ) -> None:
        """The state shows the new version, the weights are the old ones."""

        async def scenario() -> None:
            async with engine('ignored') as (standin, client):
                orderer = EngineOrderer(client)
                await load(orderer, client, target(1, 'v1'))
                standin.faults.switch_on(Fault('lie_about_load', 1, 1))
                await load(orderer, client, target(2, 'v2'))
                work = asyncio.ensure_future(standin.run())
                try:
                    with pytest.raises(CrossedAnswerError):
                        await run_and_get_final(client, 'v2')
                finally:
                    work.cancel()

        run(scenario())


async def run_and_get_final(client: EngineClient, version: str) -> Final:
    attempt = Attempt(
        key=AttemptKey(request_id='r', attempt=1, entry='life'),
        priority=5,
        idempotent=False,
        customer='breeder-portal',
        service='notices',
        model='notices',
        prompt='x',
        max_tokens=2,
        budget_s=3,
    )
    parts = [part async for part in client.run(attempt, version)]
    assert isinstance(parts[-1], Final)
    return parts[-1]
