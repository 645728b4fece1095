"""Answers of upstreams that go on for longer than any answer may."""

from __future__ import annotations

import pytest

from crowrudder_core.dispatch import MAX_DRAINED_BYTES, AnswerBound
from crowrudder_daemon.http import (
    AnswerBoundError,
    ConnectionPool,
    WireRequest,
)
from support.aio import run
from support.wire import serving

GET = WireRequest(method='GET', target='/', headers=(('Host', 'a'),))
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
PROCESSING = b'HTTP/1.1 102 Processing\r\n\r\n'
MANY = 2_000_000
MAX_TAKEN = 1_048_576

ANSWERS = {
    AnswerBound.HEAD: (OK + b'X-A: a\r\n' * (MANY // 8), 400_000),
    AnswerBound.CHUNK_FRAMING: (CHUNKED + b'1;' + b'a' * MANY, 400_000),
    AnswerBound.INFORMATIONAL: (PROCESSING * (MANY // 27), 400_000),
    AnswerBound.DRAINED: (OK + b'\r\n' + b'a' * MANY, MAX_TAKEN),
}


class TestAnswerWithoutEnd:
    """Guards against an answer that is read on until its request's deadline."""

    @pytest.mark.parametrize('bound', ANSWERS, ids=lambda each: each.value)
    def test_it_is_given_up_at_its_bound(self, bound):
        text, max_taken = ANSWERS[bound]

        async def check():
            async with serving([text]) as server:
                conn = await ConnectionPool().acquire(
                    server.address, timeout_s=1
                )
                conn.send(GET)
                with pytest.raises(AnswerBoundError) as caught:
                    await read(conn)
                assert caught.value.bound is bound
                assert conn.received_bytes <= max_taken
                conn.close()

        run(check())

    def test_trailers_are_given_up(self):
        async def check():
            text = CHUNKED + b'0\r\n' + b'X-A: a\r\n' * (MANY // 8)
            async with serving([text]) as server:
                conn = await ConnectionPool().acquire(
                    server.address, timeout_s=1
                )
                conn.send(GET)
                await conn.head()
                with pytest.raises(AnswerBoundError, match='chunk framing'):
                    await conn.part()
                conn.close()

        run(check())

    def test_the_bytes_of_a_kept_connection_count_for_each_answer(self):
        body = b'a' * (MAX_DRAINED_BYTES - 100)
        head = OK + b'Content-Length: %d\r\n\r\n' % len(body)

        async def check():
            async with serving([head + body] * 3) as server:
                pool = ConnectionPool()
                for _ in range(3):
                    conn = await pool.acquire(server.address, timeout_s=1)
                    conn.send(GET)
                    await read(conn)
                    pool.release(conn, kept_s=None)
                assert server.connections == 1
                pool.close()

        run(check())


async def read(conn):
    await conn.head()
    await conn.drain()
