"""What an entry tells of the connections that it closes."""

from __future__ import annotations

import asyncio
import logging

from crowrudder_daemon import _connection_watch
from crowrudder_daemon.fleet_entry import _role
from support.fleet import config
from support.fleet_checks import all_runs, checked, inject_fault_all
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

    def test_it_names_the_version_that_set_the_limit(self, caplog):
        """Guards against blaming a configuration that changed no limit."""

        async def check(world):
            world.publish(version=2, limits=limits)
            await world.ready()
            caller = LeavingCaller(world.nodes[0].callers)
            with caplog.at_level(logging.INFO):
                assert not await caller.head()

        limits = {**config()['limits'], 'idle_timeout_ms': IDLE_S * 1000}
        checked(check, limits=limits, bounds={'config_s': 0.1})
        line = next(
            each
            for each in caplog.records
            if each.message == 'caller connection closed'
        )
        assert line.since_version == 1


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

    def test_a_slow_head_waits_for_no_other_limit(self):
        """Guards against a timer that was set for the idle limit."""

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            began_at = asyncio.get_running_loop().time()
            caller.send(request_bytes('/notice/x')[:60])
            await caller.head()
            took_s = asyncio.get_running_loop().time() - began_at
            assert took_s < config()['limits']['idle_timeout_ms'] / 2000

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

    def test_a_body_may_take_longer_than_a_head(self):
        """Guards against the limit of heads for a body."""

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            request = request_bytes('/notice/x')
            caller.send(request[:-2])
            await asyncio.sleep(2 * IDLE_S)
            caller.send(request[-2:])
            assert await caller.status() == 200

        limits = {**config()['limits'], 'header_timeout_ms': IDLE_S * 1000}
        checked(check, limits=limits)

    def test_a_long_answer_is_under_no_limit(self, monkeypatch):
        """Guards against a 408 beside a request in progress."""
        monkeypatch.setattr(_role, 'BODY_TIMEOUT_S', IDLE_S)

        async def check(world):
            inject_fault_all(world, 'p', 'slow', None, 3 * IDLE_S)
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/notice/x'))
            assert await caller.status() == 200

        limits = {**config()['limits'], 'header_timeout_ms': IDLE_S * 1000}
        checked(check, limits=limits)

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

    def test_one_that_is_being_read_does_not_count(self, monkeypatch):
        """Guards against a close beside a head that has begun."""
        monkeypatch.setattr(
            _connection_watch, 'max_idle_connections', lambda _: 1
        )

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            request = request_bytes('/notice/x')
            caller.send(request[:60])
            await asyncio.sleep(0.05)
            others = [LeavingCaller(world.nodes[0].callers) for _ in range(2)]
            assert not await others[0].head()
            caller.send(request[60:])
            assert await caller.status() == 200

        checked(check)

    def test_one_with_bytes_unread_is_read_first(self, monkeypatch):
        """Guards against a close of what stands in the socket."""
        monkeypatch.setattr(
            _connection_watch, 'max_idle_connections', lambda _: 1
        )

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            watch = world.entries[0]._connections
            await world.until(lambda: len(watch._idle) == 1)
            caller.send(request_bytes('/notice/x'))
            other = object()
            watch.on_idle(other)
            watch.on_busy(other)
            assert await caller.status() == 200

        checked(check)
