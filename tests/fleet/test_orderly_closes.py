"""Closes of callers' connections that must not take an answer along."""

from __future__ import annotations

import asyncio
import contextlib
import logging

import pytest
from tornado.httpserver import HTTPServer

from crowrudder_daemon._callers_port import CallersPort
from crowrudder_daemon._connection_watch import ConnectionWatch
from crowrudder_daemon.fleet import Tuning, process_settings
from crowrudder_daemon.fleet_entry._caller_backlog import CallerBacklog
from crowrudder_daemon.fleet_entry._request_reader import CallersServer
from crowrudder_daemon.process import Runtime
from crowrudder_model.fleet import Node, NodeLocation
from support.aio import run
from support.fleet import HOST
from support.fleet_checks import checked
from support.leaving_caller import LeavingCaller, request_bytes
from support.ports import free_port

BIG = b'x' * 600_000
ASKED = f'GET /read/x HTTP/1.1\r\nHost: {HOST}\r\n'.encode()
SURPLUS = ASKED + b'X: ' + b'y' * 150_000
"""A further request that isn't read at once."""

BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class AnyBody:
    """Rules by which no body is too long."""

    max_body_bytes = 10**6

    def long_body_refusal(self, headers, max_bytes):
        """Return the answer to a long body, which nobody sends here."""
        raise NotImplementedError

    def reading_fault(self, headers, exc):
        """Return the answer to an error, which nobody expects here."""
        raise NotImplementedError


@contextlib.contextmanager
def big_answers():
    """Serve a big answer to each request; yield the address."""
    answering = set()

    async def answer(side):
        # The caller has sent all that it sends.
        await asyncio.sleep(0.05)
        await side.answer(200, [], BIG)

    def on_request(_request, side):
        answering.add(asyncio.ensure_future(answer(side)))

    place = NodeLocation(failure_domain='z', region='r', regions=())
    node = Node(host='h', role='entry', ip='127.0.0.1', place=place)
    runtime = Runtime(
        cfg=process_settings(node, Tuning()), log=logging.getLogger('test')
    )
    server = CallersServer(on_request, CallerBacklog(runtime, 0), AnyBody())
    port = CallersPort(HTTPServer(server), watch=ConnectionWatch(runtime))
    address = f'127.0.0.1:{free_port()}'
    port.listen(int(address.rpartition(':')[2]), '127.0.0.1')
    yield address
    port.close()


async def all_of(caller, *, pause_s=0.0):
    """Return all that a caller receives up to an orderly close."""
    received = b''
    while part := await caller.head():
        received += part
        await asyncio.sleep(pause_s)
    return received


class TestLastAnswer:
    """Guards against a reset that takes the last answer along."""

    @pytest.mark.parametrize(
        'request_head',
        [
            ASKED + b'Connection: close\r\n\r\n',
            f'GET /read/x HTTP/1.0\r\nHost: {HOST}\r\n\r\n'.encode(),
        ],
        ids=['close', 'http_1.0'],
    )
    def test_a_request_sent_behind_it_is_discarded(self, request_head):
        async def check():
            with big_answers() as address:
                caller = LeavingCaller(address)
                caller.send(request_head + SURPLUS)
                received = await all_of(caller, pause_s=0.01)
                assert received.endswith(b'\r\n\r\n' + BIG)

        run(check())

    def test_what_arrives_after_it_is_discarded(self):
        async def check():
            with big_answers() as address:
                caller = LeavingCaller(address)
                caller.send(ASKED + b'Connection: close\r\n\r\n')
                await asyncio.sleep(0.2)
                caller.send(ASKED + b'\r\n')
                await asyncio.sleep(0.05)
                received = await all_of(caller)
                assert received.endswith(b'\r\n\r\n' + BIG)

        run(check())


class TestUnreadableRequest:
    """Guards against an answer to a bad request that a caller can't parse."""

    @pytest.mark.parametrize(
        'text',
        [
            b'nonsense\r\n\r\n',
            ASKED + b'Content-Length: x\r\n\r\n',
            ASKED + b'Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody',
            ASKED + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
            ASKED + b'Transfer-Encoding: chunked\r\n\r\n' + b'0' * 90,
        ],
    )
    def test_it_gets_one_whole_answer(self, text):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(text + bytes(150_000))
            await asyncio.sleep(0.1)
            assert await all_of(caller) == BAD_REQUEST

        checked(check)

    def test_a_refused_body_that_is_broken_gets_no_second_answer(self):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            head = request_bytes('/notice/x').partition(b'Content-Length')[0]
            chunk = b'3ffff\r\n' + bytes(0x3FFFF) + b'\r\n'
            caller.send(
                head + b'Transfer-Encoding: chunked\r\n\r\n' + chunk + b'zz\r\n'
            )
            received = await all_of(caller)
            assert received.startswith(b'HTTP/1.1 413 ')
            assert received.count(b'HTTP/1.1') == 1

        checked(check)
