"""Connections that callers keep open between their requests."""

from __future__ import annotations

import asyncio

import pytest

from support.fleet import config
from support.fleet_checks import checked
from support.leaving_caller import LeavingCaller, hold_loop, request_bytes

IDLE_S = 0.4
LATE_S = 0.3
SETTLE_S = 0.1
HALF = 60
"""Bytes of a head that isn't whole."""


def limits(idle_s=IDLE_S, head_s=3.0):
    """Return the published limits of callers' connections."""
    return {
        **config()['limits'],
        'idle_timeout_ms': idle_s * 1000,
        'header_timeout_ms': head_s * 1000,
    }


async def kept_caller(world):
    """Return a caller whose connection has carried a request."""
    caller = LeavingCaller(world.nodes[0].callers)
    caller.send(request_bytes('/read/x', request_id='first'))
    assert await caller.status() == 200
    await asyncio.sleep(0)
    return caller


async def wait_until_due(idle_s=IDLE_S):
    """Let the loop run until shortly before the idle limit."""
    await asyncio.sleep(idle_s - LATE_S / 2)


class TestRequestReadWhenTheTimerIsDue:
    """Guards against a close by a timer of silence of what has been read."""

    @pytest.mark.parametrize('path', ['/read/x', '/notice/x', '/draft/x'])
    def test_a_whole_request_is_served(self, path):
        async def check(world):
            caller = await kept_caller(world)
            await wait_until_due()
            caller.send(request_bytes(path))
            hold_loop(LATE_S)
            assert await caller.status() == 200

        checked(check, limits=limits())

    def test_one_that_arrives_while_the_loop_stands_still_is_served(self):
        async def check(world):
            caller = await kept_caller(world)
            await wait_until_due()
            hold_loop(LATE_S)
            caller.send(request_bytes('/notice/x'))
            assert await caller.status() == 200

        checked(check, limits=limits())

    @pytest.mark.parametrize('size', [1, HALF])
    def test_the_rest_of_a_head_may_follow(self, size):
        async def check(world):
            caller = await kept_caller(world)
            await wait_until_due()
            request = request_bytes('/notice/x')
            caller.send(request[:size])
            hold_loop(LATE_S)
            await asyncio.sleep(SETTLE_S)
            caller.send(request[size:])
            assert await caller.status() == 200

        checked(check, limits=limits())

    def test_a_body_in_two_parts_is_served(self):
        async def check(world):
            caller = await kept_caller(world)
            await wait_until_due()
            request = request_bytes('/notice/x')
            caller.send(request[:-2])
            hold_loop(LATE_S)
            await asyncio.sleep(SETTLE_S)
            caller.send(request[-2:])
            assert await caller.status() == 200

        checked(check, limits=limits())

    def test_the_first_request_of_a_connection_is_served(self):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            await wait_until_due()
            caller.send(request_bytes('/notice/x'))
            hold_loop(LATE_S)
            assert await caller.status() == 200

        checked(check, limits=limits())

    def test_pipelined_requests_are_served(self):
        async def check(world):
            caller = await kept_caller(world)
            await wait_until_due()
            second = request_bytes('/read/x', request_id='b')
            caller.send(request_bytes('/read/x') + second)
            hold_loop(LATE_S)
            received = await caller.head()
            while received.count(b'HTTP/1.1 200') < 2:
                part = await caller.head()
                assert part
                received += part

        checked(check, limits=limits())

    def test_the_end_of_a_slow_head_is_read_when_its_time_is_up(self):
        """Guards against the same close by the limit of heads."""

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            request = request_bytes('/notice/x')
            caller.send(request[:HALF])
            await wait_until_due()
            caller.send(request[HALF:])
            hold_loop(LATE_S)
            assert await caller.status() == 200

        checked(check, limits=limits(idle_s=5, head_s=IDLE_S))


class TestChangedLimit:
    """Guards against a wait that ends by a limit that no longer holds."""

    def test_a_raised_limit_holds_for_those_who_wait(self):
        async def check(world):
            caller = await kept_caller(world)
            world.publish(version=2, limits=limits(idle_s=2.5))
            await world.ready()
            await asyncio.sleep(2.0)
            caller.send(request_bytes('/notice/x'))
            assert await caller.status() == 200

        checked(check, limits=limits())

    def test_a_lowered_limit_ends_no_wait_that_began_before(self):
        async def check(world):
            caller = await kept_caller(world)
            world.publish(version=2, limits=limits(idle_s=0.1))
            await world.ready()
            await asyncio.sleep(0.8)
            caller.send(request_bytes('/notice/x'))
            assert await caller.status() == 200

        checked(check, limits=limits(idle_s=1.0))

    def test_a_raised_limit_holds_without_the_time_of_notice(self):
        """The time of notice hid that nobody told those who wait."""

        async def check(world):
            caller = await kept_caller(world)
            world.publish(version=2, limits=limits(idle_s=2.5))
            await world.ready()
            await asyncio.sleep(1.5)
            caller.send(request_bytes('/notice/x'))
            assert await caller.status() == 200

        checked(check, limits=limits(idle_s=1.0), bounds={'config_s': 0.1})
