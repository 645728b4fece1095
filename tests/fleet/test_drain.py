"""Callers' requests while an entry drains."""

from __future__ import annotations

import asyncio

import pytest

from crowrudder_daemon.fleet_entry import _role
from support.fleet_checks import all_runs, checked, inject_fault_all
from support.leaving_caller import LeavingCaller, hold_loop, request_bytes

LISTEN_S = 0.3
LATE_S = 0.2
HALF = 60


@pytest.fixture(autouse=True)
def short_drain(monkeypatch):
    monkeypatch.setattr(_role, 'DRAIN_LISTEN_S', LISTEN_S)
    monkeypatch.setattr(_role, 'LATE_REQUESTS_S', LATE_S)


async def kept_caller(world):
    """Return a caller whose connection has carried a request."""
    caller = LeavingCaller(world.nodes[0].callers)
    caller.send(request_bytes('/read/x', request_id='first'))
    assert await caller.status() == 200
    await asyncio.sleep(0)
    return caller


def begin_drain(world):
    """Begin the drain of the entry."""
    return asyncio.ensure_future(world.entries[0].drain())


async def statuses(caller):
    """Return the statuses of all answers up to an orderly close."""
    received = b''
    while part := await caller.head():
        received += part
    heads = received.split(b'HTTP/1.1 ')[1:]
    return [int(head[:3]) for head in heads]


class TestRequestSentAhead:
    """Guards against a close behind one answer with the next request read."""

    @pytest.mark.parametrize('pause_s', [0, 0.05])
    def test_it_is_answered_during_the_drain(self, pause_s):
        async def check(world):
            inject_fault_all(world, 'e', 'slow', None, amount=0.1)
            caller = await kept_caller(world)
            drain = begin_drain(world)
            await asyncio.sleep(0)
            caller.send(request_bytes('/draft/x', request_id='a'))
            await asyncio.sleep(pause_s)
            caller.send(request_bytes('/draft/x', request_id='b'))
            assert await statuses(caller) == [200, 200]
            await drain

        checked(check)

    def test_two_that_arrive_at_once_may_not_be_repeated(self):
        async def check(world):
            caller = await kept_caller(world)
            drain = begin_drain(world)
            second = request_bytes('/notice/x', request_id='b')
            caller.send(request_bytes('/notice/x', request_id='a') + second)
            await drain
            assert await statuses(caller) == [200, 200]
            assert not world.entries[0].requests.running

        checked(check)

    def test_it_is_answered_or_refused_when_the_port_is_closed(self):
        async def check(world):
            inject_fault_all(world, 'e', 'slow', None, amount=0.2)
            caller = await kept_caller(world)
            drain = begin_drain(world)
            await asyncio.sleep(LISTEN_S - 0.05)
            second = request_bytes('/draft/x', request_id='b')
            caller.send(request_bytes('/draft/x', request_id='a') + second)
            assert await statuses(caller) == [200, 503]
            assert not all_runs(world, 'b')
            await drain

        checked(check)


class TestEndOfTheDrain:
    """Guards against connections that the end of the process closes."""

    def test_an_idle_connection_is_closed(self):
        async def check(world):
            caller = await kept_caller(world)
            await begin_drain(world)
            assert not await asyncio.wait_for(caller.head(), 0.2)

        checked(check)

    def test_a_request_that_has_arrived_is_answered(self):
        async def check(world):
            caller = await kept_caller(world)
            drain = begin_drain(world)
            await asyncio.sleep(LISTEN_S + LATE_S - 0.05)
            hold_loop(0.1)
            caller.send(request_bytes('/notice/x', request_id='a'))
            await drain
            assert await asyncio.wait_for(caller.status(), 0.05) == 503

        checked(check)

    def test_the_second_part_of_a_request_is_awaited(self):
        async def check(world):
            caller = await kept_caller(world)
            drain = begin_drain(world)
            request = request_bytes('/notice/x', request_id='a')
            await asyncio.sleep(LISTEN_S + LATE_S - 0.05)
            caller.send(request[:HALF])
            await asyncio.sleep(0.15)
            caller.send(request[HALF:])
            await drain
            assert await asyncio.wait_for(caller.status(), 0.05) == 503

        checked(check)

    def test_each_answer_says_that_its_connection_closes(self):
        async def check(world):
            caller = await kept_caller(world)
            drain = begin_drain(world)
            await asyncio.sleep(0)
            caller.send(request_bytes('/read/x', request_id='a'))
            assert b'\r\nConnection: close\r\n' in await caller.head()
            await drain

        checked(check)

    def test_a_caller_of_http_1_0_that_keeps_its_connection(self):
        async def check(world):
            caller = await kept_caller(world)
            drain = begin_drain(world)
            await asyncio.sleep(0)
            request = request_bytes('/read/x', request_id='a')
            caller.send(
                request.replace(
                    b' HTTP/1.1\r\n', b' HTTP/1.0\r\nConnection: keep-alive\r\n'
                )
            )
            received = await caller.head()
            assert b'Connection: close\r\n' in received
            assert b'Keep-Alive' not in received
            await drain

        checked(check)
