"""Calls over a connection while the event loop is late."""

from __future__ import annotations

import asyncio
import socket

import pytest
from attrs import define, field

from crowrudder_daemon.http import ConnectionPool, WireRequest
from crowrudder_model import UpstreamError
from support.aio import run
from support.leaving_caller import hold_loop

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
GET = WireRequest(method='GET', target='/', headers=(('Host', 'a'),))
TIMEOUT_S = 0.2
LATE_S = 0.3


@define(eq=False)
class DrivenServer:
    """A server whose socket the test drives, between two turns of the loop."""

    listener: socket.socket = field(
        factory=lambda: socket.create_server(('127.0.0.1', 0))
    )
    accepted: list[socket.socket] = field(factory=list)

    @property
    def address(self):
        return '{}:{}'.format(*self.listener.getsockname())

    def accept(self):
        self.accepted.append(self.listener.accept()[0])

    def answer(self, text=ANSWER):
        self.accepted[-1].sendall(text)

    def close(self):
        for each in (self.listener, *self.accepted):
            each.close()


@pytest.fixture
def server():
    driven = DrivenServer()
    yield driven
    driven.close()


async def begin_call(server, pool):
    """Return a call whose request has arrived."""
    calling = asyncio.ensure_future(
        pool.call(server.address, GET, timeout_s=TIMEOUT_S)
    )
    await asyncio.sleep(TIMEOUT_S / 4)
    server.accept()
    return calling


class TestAnswerReadWhenTheTimeoutIsDue:
    """Guards against a timeout that discards an answer that was read."""

    @pytest.mark.parametrize('is_sent_first', [True, False])
    def test_it_counts(self, server, is_sent_first):
        async def check():
            calling = await begin_call(server, ConnectionPool())
            if is_sent_first:
                server.answer()
            hold_loop(LATE_S)
            if not is_sent_first:
                server.answer()
            assert (await calling).body == b'ok'

        run(check())

    def test_none_still_ends_the_call(self, server):
        async def check():
            calling = await begin_call(server, ConnectionPool())
            hold_loop(LATE_S)
            with pytest.raises(UpstreamError):
                await calling

        run(check(), timeout_s=2)

    def test_bytes_without_end_still_end_the_call(self, server):
        async def check():
            calling = await begin_call(server, ConnectionPool())
            server.answer(ANSWER[:20])
            hold_loop(LATE_S)
            with pytest.raises(UpstreamError):
                await calling

        run(check(), timeout_s=2)


class TestIdleConnectionThatWasClosed:
    """Guards against a request on a connection whose end stands unread."""

    def test_it_is_not_used(self, server):
        async def check():
            pool = ConnectionPool()
            calling = await begin_call(server, pool)
            server.answer()
            await calling
            server.accepted[-1].close()
            conn = await pool.acquire(server.address, timeout_s=1)
            assert not conn.requests
            pool.close()
            conn.close()

        run(check())
