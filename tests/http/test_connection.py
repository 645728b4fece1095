"""Kept connections against servers that misbehave on the wire."""

from __future__ import annotations

import asyncio

import pytest
from attrs import evolve

from crowrudder_daemon.http import (
    BrokenAnswerError,
    ConnectionPool,
    HttpConnection,
    NotConnectedError,
    WireRequest,
)
from crowrudder_daemon.http._connection import READ_AHEAD_BYTES
from crowrudder_model import UpstreamError
from support.aio import run
from support.wire import serving

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
GET = WireRequest(method='GET', target='/', headers=(('Host', 'a'),))


async def answer_of(pool, address):
    conn = await pool.take(address, timeout_s=1)
    conn.send(GET)
    answer = await conn.answer(most_bytes=1000)
    return conn, answer


class TestWholeAnswers:
    def test_a_connection_is_used_again(self):
        async def check():
            async with serving([ANSWER, ANSWER]) as server:
                pool = ConnectionPool()
                for _ in range(2):
                    conn, answer = await answer_of(pool, server.address)
                    assert answer.body == b'ok'
                    pool.give_back(conn, kept_s=None)
                assert server.connections == 1
                pool.close()

        run(check())

    def test_without_a_length_the_orderly_end_makes_it_whole(self):
        async def check():
            text = b'HTTP/1.1 200 OK\r\n\r\nsome'
            async with serving([text], close=True) as server:
                _, answer = await answer_of(ConnectionPool(), server.address)
                assert answer.body == b'some'

        run(check())


class TestRelay:
    def test_more_than_is_read_ahead_comes_through(self):
        """A stream whose bytes came all at once stood still for good."""

        async def check():
            size = 5 * READ_AHEAD_BYTES
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
            taken: list[bytes] = []
            async with serving([head + bytes(size)]) as server:
                conn = await ConnectionPool().take(server.address, timeout_s=1)
                conn.send(GET)
                await conn.head()
                await conn.relay(taken.append, pause_s=1)
            assert len(b''.join(taken)) == size

        run(check())

    def test_a_body_that_breaks_off_is_no_end(self):
        """Half a stream was passed on as a whole one."""

        async def check():
            text = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
            async with serving([text], close=True) as server:
                conn = await ConnectionPool().take(server.address, timeout_s=1)
                conn.send(GET)
                await conn.head()
                with pytest.raises(BrokenAnswerError):
                    await conn.relay(lambda _: None, pause_s=1)

        run(check())


class TestProgress:
    def test_bytes_are_told_as_they_come(self):
        """A read that moved counted as stalled.

        Symptom: chunks are read from the origin twice. Sequence: many hosts
        read at once, each chunk takes longer than a silent source may; it is
        given up though bytes come all the time. Cause: progress was told
        once, at the end.
        """

        async def check():
            body = b'x' * 200_000
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            async with serving([head.encode() + body]) as server:
                told: list[int] = []
                await ConnectionPool().call(
                    server.address,
                    GET,
                    timeout_s=5,
                    on_bytes=told.append,
                )
            assert sum(told) == len(body)
            assert len(told) > 1

        run(check())


class TestCutAnswers:
    @pytest.mark.parametrize('size', [5, 20, 39, len(ANSWER) - 1])
    def test_a_cut_one_is_never_whole(self, size):
        async def check():
            async with serving([ANSWER[:size]], close=True) as server:
                with pytest.raises(BrokenAnswerError):
                    await answer_of(ConnectionPool(), server.address)

        run(check())

    def test_one_without_a_length_that_is_reset_isnt_whole(self):
        """Half an answer was passed on as a whole one.

        Symptom: a notice ends in the middle of a word. Sequence: an upstream
        sends an answer without a length and its connection is reset. Cause:
        any end of the connection was taken for the end of the answer.
        """

        async def check():
            text = b'HTTP/1.1 200 OK\r\n\r\nsome'
            async with serving([text], reset=True) as server:
                with pytest.raises(BrokenAnswerError):
                    await answer_of(ConnectionPool(), server.address)

        run(check())

    @pytest.mark.parametrize(
        'text',
        [
            b'\x00\x01\x02 nothing\r\n\r\n',
            b'HTTP/1.1 banana\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        ],
    )
    def test_what_is_no_answer_is_an_error(self, text):
        async def check():
            async with serving([text], close=True) as server:
                with pytest.raises(BrokenAnswerError):
                    await answer_of(ConnectionPool(), server.address)

        run(check())


class TestSurplus:
    def test_bytes_after_the_answer_close_the_connection(self):
        """One caller got the answer to another's request.

        Symptom: a buyer reads the summary of someone else's horse. Sequence:
        an upstream sends a second answer after the first; the next request on
        the connection takes it for its own. Cause: surplus bytes were kept.
        """

        async def check():
            async with serving([ANSWER + ANSWER, ANSWER]) as server:
                pool = ConnectionPool()
                conn, _ = await answer_of(pool, server.address)
                pool.give_back(conn, kept_s=None)
                await answer_of(pool, server.address)
                assert server.connections == 2

        run(check())

    def test_bytes_that_come_while_idle_close_it_too(self):
        async def check():
            async with serving([ANSWER, ANSWER]) as server:
                pool = ConnectionPool()
                conn, _ = await answer_of(pool, server.address)
                pool.give_back(conn, kept_s=None)
                server.say(ANSWER)
                await conn.closed()
                assert not conn.is_open
                await answer_of(pool, server.address)
                assert server.connections == 2

        run(check())

    def test_a_late_answer_to_another_request_is_read_over(self):
        async def check():
            stray = b'HTTP/1.1 200 OK\r\nX-N: 1\r\nContent-Length: 1\r\n\r\na'
            own = b'HTTP/1.1 200 OK\r\nX-N: 2\r\nContent-Length: 1\r\n\r\nb'
            async with serving([stray + own]) as server:
                conn = await ConnectionPool().take(server.address, timeout_s=1)
                conn.send(GET)
                assert (await conn.head()).header('x-n') == '1'
                await conn.drain()
                conn.skip()
                assert (await conn.head()).header('x-n') == '2'
                assert await conn.part() == b'b'
                assert await conn.part() is None
                assert conn.finish()
                conn.close()

        run(check())


class TestEarlyAnswers:
    def test_an_answer_before_the_body_was_read_ends_the_connection(self):
        """An upstream took the next request for the rest of a body.

        Symptom: an upstream runs a request that nobody sent. Sequence: it
        answers a long request before it has read it and reads on later; the
        next request comes on the same connection. Cause: the connection was
        kept though bytes of the first request had not left.
        """

        async def check():
            async with serving([ANSWER], read_head_only=True) as server:
                pool = ConnectionPool()
                conn = await pool.take(server.address, timeout_s=1)
                body = b'x' * 32_000_000
                conn.send(
                    WireRequest(
                        method='POST',
                        target='/',
                        headers=(('Host', 'a'),),
                        body=body,
                    ),
                )
                await conn.answer(most_bytes=1000)
                assert not conn.is_sent
                pool.give_back(conn, kept_s=None)
                assert not conn.is_open

        run(check())


class TestTimes:
    def test_a_connection_isnt_used_near_its_announced_end(self):
        async def check():
            async with serving([ANSWER, ANSWER]) as server:
                pool = ConnectionPool()
                conn, _ = await answer_of(pool, server.address)
                pool.give_back(conn, kept_s=0.4)
                assert not conn.is_open

        run(check())

    def test_a_port_without_a_listener_is_not_connected(self):
        async def check():
            async with serving([]) as server:
                address = server.address
            with pytest.raises(NotConnectedError):
                await ConnectionPool().take(address, timeout_s=1)

        run(check())

    def test_a_silent_server_ends_a_call_in_time(self):
        async def check():
            async with serving([b'']) as server:
                with pytest.raises(UpstreamError, match='no answer within'):
                    await ConnectionPool().call(
                        server.address, GET, timeout_s=0.05
                    )

        run(check())


class TestUnsent:
    def test_bytes_that_nobody_takes_are_told(self):
        """Whether a close waits behind bytes on their way could not be seen."""

        async def check():
            async with serving([]) as server:
                conn = await ConnectionPool().take(server.address, timeout_s=1)
                assert conn.unsent_bytes == 0
                # More than the systems of both sides hold.
                size = 32 * 1024 * 1024
                conn.send(evolve(GET, body=bytes(size)))
                assert conn.unsent_bytes > size // 2
                while conn.unsent_bytes:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
                conn.close()

        run(check())

    def test_of_a_connection_that_is_gone_it_is_unknown(self):
        async def check():
            async with serving([ANSWER], close=True) as server:
                conn, _ = await answer_of(ConnectionPool(), server.address)
                await conn.closed()
                conn.close()
                await asyncio.sleep(0)
                assert conn.unsent_bytes == -1
            assert HttpConnection('nobody').unsent_bytes == -1

        run(check())
