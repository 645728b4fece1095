"""Connections that callers of an entry keep open between their requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from crowrudder_daemon.entry import _role, build_entry
from crowrudder_daemon.entry._final_outcome import FinalOutcome
from crowrudder_daemon.entry._requests import RequestReceived
from crowrudder_daemon.process import Runtime
from crowrudder_model import Outcome
from crowrudder_model.messages import Piece
from support.aio import run
from support.leaving_caller import LeavingCaller, hold_loop
from support.ports import free_port
from support.settings import entry_settings

IDLE_S = 0.4
LATE_S = 0.3
REQUEST = b'GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n'
ASKED = b'GET /v1/services/portal/ HTTP/1.1\r\nHost: a\r\nX-Customer: desk\r\n'
BIG = b'x' * 600_000
LONG = b'POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody'


@contextlib.asynccontextmanager
async def entry(answer=b''):
    """Run an entry during a test; yield the address for callers.

    If an answer is given, each request for a service gets it.
    """

    def post_answer(message):
        if not isinstance(message, RequestReceived):
            return
        piece = Piece(request_id='r', version='plain', index=0, body=answer)
        message.parts.put_nowait(piece)
        message.parts.put_nowait(
            FinalOutcome(
                outcome=Outcome.ANSWERED, code='ok', status=200, pieces=1
            )
        )

    port = free_port()
    cfg = entry_settings(http_port=port, rpc_port=free_port())
    runtime = Runtime(cfg=cfg, log=logging.getLogger('test'))
    role = build_entry(runtime)
    if answer:
        role.requests.post = post_answer  # type: ignore[method-assign]
    await role.start()
    try:
        yield f'127.0.0.1:{port}'
        await role.drain()
    finally:
        await role.stop()
        runtime.metrics.close()


async def kept_caller(address):
    """Return a caller whose connection has carried a request."""
    caller = LeavingCaller(address)
    caller.send(REQUEST)
    assert await caller.status() == 404
    await asyncio.sleep(0)
    return caller


class TestRequestReadWhenTheTimerIsDue:
    """Guards against a close by a timer of silence of what has been read."""

    def test_it_is_answered(self, monkeypatch):
        monkeypatch.setattr(_role, 'IDLE_CONNECTION_S', IDLE_S)

        async def check():
            async with entry() as address:
                caller = await kept_caller(address)
                await asyncio.sleep(IDLE_S - LATE_S / 2)
                caller.send(REQUEST)
                hold_loop(LATE_S)
                assert await caller.status() == 404

        run(check())

    def test_the_end_of_a_slow_body_is_read(self, monkeypatch):
        monkeypatch.setattr(_role, 'BODY_TIMEOUT_S', IDLE_S)

        async def check():
            async with entry() as address:
                caller = await kept_caller(address)
                caller.send(LONG[:-2])
                await asyncio.sleep(IDLE_S - LATE_S / 2)
                caller.send(LONG[-2:])
                hold_loop(LATE_S)
                assert await caller.status() == 404

        run(check())

    def test_silence_still_ends_a_connection(self, monkeypatch):
        monkeypatch.setattr(_role, 'IDLE_CONNECTION_S', IDLE_S)

        async def check():
            async with entry() as address:
                caller = await kept_caller(address)
                assert not await asyncio.wait_for(caller.head(), 2)

        run(check())

    def test_a_slow_body_gets_408(self, monkeypatch):
        monkeypatch.setattr(_role, 'BODY_TIMEOUT_S', IDLE_S)

        async def check():
            async with entry() as address:
                caller = await kept_caller(address)
                caller.send(LONG[:-2])
                assert await caller.status() == 408

        run(check())


class TestLastAnswer:
    """Guards against a reset that takes the last answer along."""

    def test_a_request_sent_behind_it_is_discarded(self):
        async def check():
            async with entry(answer=BIG) as address:
                caller = LeavingCaller(address)
                caller.send(ASKED + b'Connection: close\r\n\r\n')
                caller.send(ASKED + b'X: ' + b'x' * 300_000)
                await asyncio.sleep(0.1)
                received = b''
                while part := await caller.head():
                    received += part
                assert BIG in received

        run(check())


class TestEndOfTheDrain:
    """Guards against a close of a connection whose next request has arrived."""

    def test_it_is_answered(self, monkeypatch):
        monkeypatch.setattr(_role, 'LATE_REQUEST_GRACE_S', LATE_S)

        async def check():
            async with entry() as address:
                caller = await kept_caller(address)
                loop = asyncio.get_running_loop()

                def send_late():
                    hold_loop(LATE_S / 2)
                    caller.send(REQUEST)

                loop.call_later(LATE_S * 0.75, send_late)
            assert await caller.status() == 404
            assert not await caller.head()

        run(check())
