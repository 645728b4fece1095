"""One connection never holds the event loop for all that it has received."""

from __future__ import annotations

import asyncio
from collections import deque

import pytest

from crowrudder_daemon.http import (
    ConnectionPool,
    HttpConnection,
    WireRequest,
)
from crowrudder_daemon.http._body_relay import BodyRelay
from crowrudder_daemon.http._turn_budget import MAX_TURN_BYTES, MAX_TURN_EVENTS
from support.aio import run
from support.wire import serving

GET = WireRequest(method='GET', target='/', headers=(('Host', 'a'),))
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNKS = 3000


class Transport(asyncio.Transport):
    """A transport that takes all that is written."""

    def write(self, data):
        """Accept bytes."""

    def pause_reading(self):
        """Accept a pause."""

    def resume_reading(self):
        """Accept the end of a pause."""


class Turns:
    """Counts the turns of the loop while a job runs."""

    def __init__(self) -> None:
        self.count = 0

    async def during(self, job):
        task = asyncio.ensure_future(job)
        while not task.done():
            self.count += 1
            await asyncio.sleep(0)
        await task


async def received(server):
    """Return a connection whose answer has arrived up to the read-ahead."""
    conn = await ConnectionPool().acquire(server.address, timeout_s=1)
    conn.send(GET)
    await asyncio.sleep(0.05)
    return conn


class TestTurnsOfAConnection:
    """Guards against an answer that others wait for as long as it arrives."""

    @pytest.mark.parametrize('how', ['drain', 'relay'])
    def test_many_chunks_take_many_turns(self, how):
        async def check():
            text = CHUNKED + b'1\r\na\r\n' * CHUNKS + b'0\r\n\r\n'
            async with serving([text]) as server:
                conn = await received(server)
                await conn.head()
                taken: list[bytes] = []
                jobs = {
                    'drain': conn.drain,
                    'relay': lambda: conn.relay(taken.append, pause_s=1),
                }
                turns = Turns()
                await turns.during(jobs[how]())
                assert turns.count >= CHUNKS // MAX_TURN_EVENTS
                if how == 'relay':
                    assert b''.join(taken) == b'a' * CHUNKS
                conn.close()

        run(check())

    def test_informational_answers_take_several_turns(self):
        async def check():
            text = b'HTTP/1.1 102 Processing\r\n\r\n' * 100
            end = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
            async with serving([text + end]) as server:
                conn = await received(server)
                turns = Turns()
                await turns.during(conn.head())
                assert turns.count >= 100 // MAX_TURN_EVENTS
                conn.close()

        run(check())


class TestRelayInTurns:
    def relay_of(self, parts):
        buffered = deque(parts)
        taken: list[bytes] = []
        pauses: list[bool] = []
        relay = BodyRelay(
            taken.append,
            lambda: buffered.popleft() if buffered else b'',
            lambda *, is_paused: pauses.append(is_paused),
            pause_s=1,
        )
        return relay, buffered, taken, pauses

    def test_bytes_that_arrive_meanwhile_wait_for_the_next_turn(self):
        """Each read from the socket must not add a budget to the turn."""

        async def check():
            relay, buffered, taken, pauses = self.relay_of([b'a'] * 100)
            relay.on_bytes()
            relay.on_bytes()
            assert len(taken) == MAX_TURN_EVENTS
            assert pauses == [True]
            buffered.append(None)
            await relay.run()
            assert len(taken) == 100

        run(check())

    def test_bytes_of_a_turn_are_bounded(self):
        async def check():
            relay, buffered, taken, _ = self.relay_of(
                [bytes(MAX_TURN_BYTES)] * 3
            )
            relay.on_bytes()
            assert len(taken) == 1
            buffered.append(None)
            await relay.run()
            assert len(taken) == 3

        run(check())

    def test_a_usual_read_takes_one_turn(self):
        async def check():
            relay, _, taken, pauses = self.relay_of(
                [b'a'] * (MAX_TURN_EVENTS - 1)
            )
            relay.on_bytes()
            assert len(taken) == MAX_TURN_EVENTS - 1
            assert not pauses
            relay._timer.cancel()

        run(check())

    def test_a_relay_that_ends_has_no_further_turn(self):
        async def check():
            relay, _, taken, _ = self.relay_of([b'a'] * 100)
            job = asyncio.ensure_future(relay.run())
            await asyncio.sleep(0)
            job.cancel()
            await asyncio.gather(job, return_exceptions=True)
            count = len(taken)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert len(taken) == count

        run(check())


class TestSizeOfAPart:
    def test_a_long_read_is_handled_in_parts(self):
        """Lines of 256 KiB took 46 ms of processor time in one turn."""
        body = bytes(range(256)) * 1024
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)

        async def check():
            conn = HttpConnection('peer')
            conn.connection_made(Transport())
            conn.send(GET)
            conn.data_received(head + body)
            await conn.head()
            parts = [await conn.part() or b'' for _ in range(4)]
            assert b''.join(parts) == body
            assert max(map(len, parts)) <= MAX_TURN_BYTES
            assert await conn.part() is None

        run(check())
