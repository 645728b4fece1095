"""Requests whose caller is held past its deadline."""

from __future__ import annotations

import asyncio
import contextlib
import logging

import pytest

from crowrudder_daemon.fleet_entry import _deadline_watch
from crowrudder_daemon.fleet_entry._caller_side import CallerSide
from crowrudder_daemon.http import ConnectionPool, HttpConnection
from crowrudder_standins import fleet_replica
from support.fleet_checks import checked, inject_fault_all
from support.leaving_caller import (
    LeavingCaller,
    hold_loop,
    request_bytes,
    sends,
)

DEADLINE_MS = 300
INTERVAL_S = 0.1
MARGIN_S = 0.2
ENDED_S = 3.0
"""The caller's deadline, the margin and two checks, on a busy machine."""

LONG_S = 30.0


@pytest.fixture(autouse=True)
def short_checks(monkeypatch):
    monkeypatch.setattr(_deadline_watch, 'CHECK_INTERVAL_S', INTERVAL_S)
    monkeypatch.setattr(_deadline_watch, 'MARGIN_S', MARGIN_S)


async def deaf_sleep():
    """Sleep on through one cancellation, as a faulty step does."""
    try:
        await asyncio.sleep(LONG_S)
    except asyncio.CancelledError:
        await asyncio.sleep(LONG_S)


def hang_in(monkeypatch, owner, name, *, only_if):
    """Let a step of one request hang through its own timeout."""
    original = getattr(owner, name)
    hung: list[str] = []

    async def step(used, *args, **more):
        if not hung and only_if(used):
            hung.append(name)
            await deaf_sleep()
        return await original(used, *args, **more)

    monkeypatch.setattr(owner, name, step)
    return hung


def held_count(world):
    """Return how many held requests an entry has counted."""
    text = world.entries[0].runtime.metrics.render().decode()
    return sum(
        float(line.split()[-1])
        for line in text.splitlines()
        if 'requests_past_deadline_total' in line and line[0] != '#'
    )


def lines_of(caplog):
    return [
        each
        for each in caplog.records
        if each.message == 'request past its deadline'
    ]


async def answer_of(caller):
    """Return all that a caller gets of one answer."""
    async with asyncio.timeout(ENDED_S):
        return (await caller.head()).lower()


async def check_ended_once(world, caplog):
    """Check that a held request was counted and logged once, and is gone."""
    await asyncio.sleep(5 * INTERVAL_S)
    assert held_count(world) == 1
    (line,) = lines_of(caplog)
    assert line.request_id == 'a'
    assert line.past_s >= MARGIN_S
    assert line.loop_late_s >= 0
    assert not world.entries[0].requests.running


class TestHeldPastItsDeadline:
    """Guards against a caller that waits until it gives up, unnoticed."""

    def test_before_the_send_it_is_refused(self, monkeypatch, caplog):
        async def check(world):
            pool = world.entries[0].upstreams.pool
            hang_in(
                monkeypatch,
                ConnectionPool,
                'acquire',
                only_if=lambda used: used is pool,
            )
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/notice/x', deadline_ms=DEADLINE_MS))
            answer = await answer_of(caller)
            assert answer.startswith(b'http/1.1 503 ')
            assert b'retry-after: ' in answer
            await check_ended_once(world, caplog)
            assert lines_of(caplog)[0].step == 'send'
            assert not sends(world)
            # The connection is kept, and free of what was ended.
            caller.send(request_bytes('/read/x', request_id='b'))
            assert await caller.status() == 200

        checked(check)

    def test_after_the_send_it_may_have_run(self, monkeypatch, caplog):
        async def check(world):
            replicas = world.addresses.values()
            hang_in(
                monkeypatch,
                HttpConnection,
                'head',
                only_if=lambda used: used.peer in replicas,
            )
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/notice/x', deadline_ms=DEADLINE_MS))
            answer = await answer_of(caller)
            assert answer.startswith(b'http/1.1 504 ')
            assert b'retry-after' not in answer
            await check_ended_once(world, caplog)
            assert lines_of(caplog)[0].step == 'await answer'

        checked(check)

    def test_a_stream_that_has_begun_is_truncated(self, monkeypatch, caplog):
        async def check(world):
            hang_in(
                monkeypatch,
                HttpConnection,
                'relay',
                only_if=lambda used: used.peer in world.addresses.values(),
            )
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/once/x', deadline_ms=DEADLINE_MS))
            received = await answer_of(caller)
            async with asyncio.timeout(ENDED_S):
                while part := await caller.head():
                    received += part
            assert received.startswith(b'http/1.1 200 ')
            assert b'\r\n0\r\n\r\n' not in received
            await check_ended_once(world, caplog)

        checked(check)

    def test_a_step_that_goes_on_reaches_nobody(self, monkeypatch, caplog):
        """Guards against a second answer on a connection that is kept."""

        async def check(world):
            answer = CallerSide.answer

            async def answer_late(side, *args):
                if world.entries[0].requests.running and not lines_of(caplog):
                    await deaf_sleep_twice()
                await answer(side, *args)

            async def deaf_sleep_twice():
                for _ in range(2):
                    with contextlib.suppress(asyncio.CancelledError):
                        await asyncio.sleep(LONG_S)

            monkeypatch.setattr(CallerSide, 'answer', answer_late)
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/notice/x', deadline_ms=DEADLINE_MS))
            assert (await answer_of(caller)).startswith(b'http/1.1 504 ')
            caller.send(request_bytes('/read/x', request_id='b'))
            received = await answer_of(caller)
            assert received.startswith(b'http/1.1 200 ')
            assert received.count(b'http/1.1') == 1
            assert b'x-attempt-id: b' in received

        checked(check)


class TestNotHeld:
    """Guards against a request that is ended though its answer is on its way."""

    def test_a_loop_that_stood_still(self, caplog):
        async def check(world):
            inject_fault_all(world, 'p', 'hang', count=9)
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/notice/x', deadline_ms=DEADLINE_MS))
            async with asyncio.timeout(ENDED_S):
                await world.until(lambda: world.entries[0].requests.running)
            hold_loop(1.0)
            assert (await answer_of(caller)).startswith(b'http/1.1 5')
            await asyncio.sleep(3 * INTERVAL_S)
            assert not held_count(world)
            assert not lines_of(caplog)

        checked(check)

    def test_a_slow_reader_of_a_whole_answer(self, monkeypatch, caplog):
        size = 3_000_000
        monkeypatch.setattr(fleet_replica, 'body_of', lambda _: bytes(size))

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers, receive_bytes=4096)
            caller.send(request_bytes('/read/x', method='GET'))
            entry = world.entries[0]
            async with asyncio.timeout(ENDED_S):
                await world.until(
                    lambda: any(
                        each.side.has_begun for each in entry.requests._open
                    )
                )
            (opened,) = entry.requests._open
            # Its own timeout, which was set before, doesn't come in between.
            opened.execution.dispatch.deadline_at -= 10
            await asyncio.sleep(6 * INTERVAL_S)
            assert not held_count(world)
            caller._sock.setblocking(False)
            loop = asyncio.get_running_loop()
            received = 0
            async with asyncio.timeout(ENDED_S):
                while received < size:
                    received += len(await loop.sock_recv(caller._sock, 1 << 20))

        checked(check)

    def test_a_caller_that_has_left(self, monkeypatch, caplog):
        async def check(world):
            pool = world.entries[0].upstreams.pool
            hang_in(
                monkeypatch,
                ConnectionPool,
                'acquire',
                only_if=lambda used: used is pool,
            )
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/notice/x', deadline_ms=DEADLINE_MS))
            entry = world.entries[0]
            async with asyncio.timeout(ENDED_S):
                await world.until(lambda: entry.requests.running)
            caller.leave()
            async with asyncio.timeout(ENDED_S):
                await world.until(lambda: not entry.requests.running)
            assert not held_count(world)

        with caplog.at_level(logging.WARNING):
            checked(check)
        assert not lines_of(caplog)
