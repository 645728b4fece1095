"""What an entry tells of the connections that it closes."""

from __future__ import annotations

import asyncio
import logging

from crowrudder_daemon import _connection_watch
from crowrudder_daemon.fleet_entry import _role
from support.fleet import config
from support.fleet_checks import all_runs, checked
from support.leaving_caller import LeavingCaller, request_bytes

IDLE_S = 0.4


class TestCloseLine:
    """Guards against a close whose rule and circumstances nobody can tell."""

    def test_an_idle_connection(self, caplog):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/read/x', request_id='first'))
            assert await caller.status() == 200
            await asyncio.sleep(0)
            with caplog.at_level(logging.INFO):
                assert not await caller.head()

        limits = {**config()['limits'], 'idle_timeout_ms': IDLE_S * 1000}
        checked(check, limits=limits, bounds={'config_s': 0.1})
        line = next(
            each
            for each in caplog.records
            if each.message == 'caller connection closed'
        )
        assert line.state == 'waiting'
        assert line.limit_s == IDLE_S
        assert line.since_version == 1
        assert line.for_s >= IDLE_S
        assert line.requests == 1
        assert not line.read_bytes
        assert not line.unread_bytes


async def until_closed(caller):
    """Return all that follows, up to an orderly close."""
    received = b''
    while part := await caller.head():
        received += part
    return received


class TestLastWords:
    """Guards against a request that can't be read and ends without a word."""

    def test_a_long_head_gets_431(self):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(b'GET /read/x HTTP/1.1\r\nX: ' + b'x' * 200_000)
            answer = await until_closed(caller)
            assert answer.startswith(b'HTTP/1.1 431 ')
            assert answer.count(b'HTTP/1.1') == 1

        checked(check)

    def test_a_slow_head_gets_408(self):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/notice/x')[:60])
            answer = await until_closed(caller)
            assert answer.startswith(b'HTTP/1.1 408 ')

        limits = {**config()['limits'], 'header_timeout_ms': IDLE_S * 1000}
        checked(check, limits=limits)

    def test_a_slow_body_gets_408_and_is_not_run(self, monkeypatch):
        monkeypatch.setattr(_role, 'BODY_TIMEOUT_S', IDLE_S)

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/notice/x')[:-2])
            answer = await until_closed(caller)
            assert answer.startswith(b'HTTP/1.1 408 ')
            assert not all_runs(world, 'a')

        checked(check)

    def test_a_refused_long_body_gets_no_second_answer(self, monkeypatch):
        monkeypatch.setattr(_role, 'BODY_TIMEOUT_S', IDLE_S)

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            head = request_bytes('/notice/x').partition(b'Content-Length')[0]
            caller.send(head + b'Content-Length: 70000\r\n\r\n')
            answer = await until_closed(caller)
            assert answer.startswith(b'HTTP/1.1 413 ')
            assert b' 408 ' not in answer

        checked(check)


class TestTooManyIdle:
    """Guards against idle connections without bound."""

    def test_the_oldest_is_closed(self, monkeypatch):
        monkeypatch.setattr(
            _connection_watch, 'max_idle_connections', lambda _: 2
        )

        async def check(world):
            callers = [LeavingCaller(world.nodes[0].callers) for _ in range(3)]
            assert not await callers[0].head()
            for number, caller in enumerate(callers[1:]):
                caller.send(request_bytes('/read/x', request_id=f'r{number}'))
                assert await caller.status() == 200

        checked(check)
