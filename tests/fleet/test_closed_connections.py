"""Connections of callers after their close."""

from __future__ import annotations

import asyncio
import time

import pytest

from crowrudder_core.connections import ConnectionState, _caller_connection
from crowrudder_daemon import _connection_watch
from crowrudder_daemon.fleet_entry import _role
from support.fleet import config
from support.fleet_checks import all_runs, checked
from support.leaving_caller import LeavingCaller, hold_loop, request_bytes

CLOSED_CALLERS = 6
DUE_S = 0.4
MAX_LATE_S = 0.1
TINY_CHUNKS = 10_000
CHUNK = b'1\r\na\r\n'


def watch_of(world):
    return world.entries[0]._connections


def last_request(request_id):
    """Return a request after which its connection is to be closed."""
    kept = request_bytes('/read/x', request_id=request_id)
    return kept.replace(b'\r\n', b'\r\nConnection: close\r\n', 1)


async def call_once(world, request_id):
    caller = LeavingCaller(world.nodes[0].callers)
    caller.send(last_request(request_id))
    assert await caller.status() == 200
    caller.leave()
    await asyncio.sleep(0.05)


async def received_until_closed(caller):
    received = b''
    while part := await caller.head():
        received += part
    return received


class TestAfterTheClose:
    """Guards against closed connections that count as waiting ones."""

    def test_nothing_is_kept(self):
        async def check(world):
            for number in range(CLOSED_CALLERS):
                await call_once(world, f'r{number}')
            assert not len(watch_of(world)._open)
            assert not len(watch_of(world)._idle)

        checked(check)

    def test_callers_that_leave_during_an_answer_leave_nothing(self):
        async def check(world):
            for number in range(CLOSED_CALLERS):
                caller = LeavingCaller(world.nodes[0].callers)
                caller.send(request_bytes('/read/x', request_id=f'r{number}'))
                caller.leave()
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
            assert not len(watch_of(world)._open)
            assert not len(watch_of(world)._idle)

        checked(check)

    def test_new_callers_are_served(self, monkeypatch):
        """A closed connection in the bound raised as another one began."""
        monkeypatch.setattr(
            _connection_watch, 'max_idle_connections', lambda _: 2
        )

        async def check(world):
            for number in range(CLOSED_CALLERS):
                await call_once(world, f'r{number}')

        checked(check)


async def until(condition):
    """Poll until a condition holds."""
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.001)


async def only_connection(world):
    """Return the state of the only connection."""
    opened = watch_of(world)._open
    await until(lambda: len(opened) == 1)
    (stream,) = opened
    return stream.connection


async def wait_until(due_at):
    await asyncio.sleep(due_at - time.clock_gettime(time.CLOCK_BOOTTIME))


async def send_as_a_second_check_is_due(world, caller, rest):
    """Let the rest be read in the turn in which the second check is due.

    The first one has found bytes unread, and has extended the limit.
    """
    connection = await only_connection(world)
    await until(lambda: connection.state is not ConnectionState.WAITING)
    before = connection.due_at
    await wait_until(before - 0.02)
    connection.on_check(now=before, late_s=0, unread_bytes=1)
    assert connection.due_at > before
    left_s = connection.due_at - time.clock_gettime(time.CLOCK_BOOTTIME)
    caller.send(rest)
    hold_loop(max(left_s, 0) + 0.002)


class TestRequestReadAsASecondCheckIsDue:
    """Guards against a request that runs after a 408 that says otherwise."""

    @pytest.mark.parametrize('missing', [10, 2])
    def test_it_gets_one_answer(self, missing, monkeypatch):
        """Its head or body ends in the turn of the check after the first."""
        # A busy machine comes later to a check than the loop's turn took.
        monkeypatch.setattr(_caller_connection, 'LATE_S', MAX_LATE_S)
        monkeypatch.setattr(_caller_connection, 'RECHECK_S', MAX_LATE_S)
        monkeypatch.setattr(_role, 'BODY_TIMEOUT_S', DUE_S)

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            request = request_bytes('/notice/x')
            caller.send(request[:-missing])
            rest = request[-missing:]
            await send_as_a_second_check_is_due(world, caller, rest)
            first = await caller.head()
            await asyncio.sleep(0.5)
            has_run = bool(all_runs(world, 'a'))
            assert has_run == first.startswith(b'HTTP/1.1 200 ')

        limits = {**config()['limits'], 'header_timeout_ms': DUE_S * 1000}
        checked(check, limits=limits)

    def test_a_long_row_of_chunks_is_read_to_its_end(self, monkeypatch):
        """Its end stood in the buffer while its reader gave way to others."""
        monkeypatch.setattr(_role, 'BODY_TIMEOUT_S', DUE_S)

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            head = request_bytes('/notice/x').partition(b'Content-Length')[0]
            caller.send(head + b'Transfer-Encoding: chunked\r\n\r\n')
            connection = await only_connection(world)
            await until(
                lambda: connection.state is ConnectionState.READING_BODY
            )
            await wait_until(connection.due_at - 0.01)
            caller.send(CHUNK * TINY_CHUNKS + b'0\r\n\r\n')
            first = await caller.head()
            await asyncio.sleep(0.5)
            has_run = bool(all_runs(world, 'a'))
            assert has_run == first.startswith(b'HTTP/1.1 200 ')
            assert has_run

        checked(check)
