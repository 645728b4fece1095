"""Errors that nobody foresaw, in the handlers of callers' requests."""

from __future__ import annotations

import asyncio
import logging
from unittest import mock

import pytest

from crowrudder_daemon.entry import build_entry
from crowrudder_daemon.entry._answer_bodies import token_event
from crowrudder_daemon.entry._requests import RequestReceived
from crowrudder_daemon.process import Runtime
from crowrudder_model.messages import Piece
from support.aio import run
from support.ports import free_port
from support.settings import entry_settings

HANDLERS = 'crowrudder_daemon.entry._handlers'
BODY = b'{"model": "m", "prompt": "p", "max_tokens": 2, "stream": true}'
STREAM = (
    b'POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-Customer: desk\r\n'
    b'Content-Type: application/json\r\nContent-Length: '
    + str(len(BODY)).encode()
    + b'\r\n\r\n'
    + BODY
)
PLAIN = (
    b'GET /v1/services/portal/ HTTP/1.1\r\nHost: a\r\nX-Customer: desk\r\n\r\n'
)
ENTRIES = b'GET /v1/entries HTTP/1.1\r\nHost: a\r\n\r\n'
ANSWER_S = 2.0
LAST_CHUNK = b'\r\n0\r\n\r\n'


def post_pieces(message):
    """Replace the requests task: post two pieces of an answer."""
    if isinstance(message, RequestReceived):
        for index in range(2):
            message.parts.put_nowait(
                Piece(request_id='r', version='1', index=index, text='x')
            )


async def ask(request, *, until=b'\r\n\r\n', post=post_pieces, enter=None):
    """Return the bytes of an answer up to a separator, or up to its end."""
    port = free_port()
    cfg = entry_settings(http_port=port, rpc_port=free_port())
    runtime = Runtime(cfg=cfg, log=logging.getLogger('test'))
    role = build_entry(runtime)
    if enter is not None:
        role.requests._enter = enter  # type: ignore[method-assign]
    with mock.patch.object(role.requests, 'post', post or role.requests.post):
        await role.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(request)
        try:
            async with asyncio.timeout(ANSWER_S):
                return await (
                    reader.readuntil(until) if until else reader.read()
                )
        finally:
            writer.close()
            await role.stop()
            runtime.metrics.close()


def broken(*_args, **_more):
    raise RuntimeError('unforeseen')


class TestErrorInAHandler:
    """Guards against a caller without an answer after an error."""

    @pytest.mark.parametrize(
        'request_bytes', [STREAM, PLAIN], ids=['stream', 'plain']
    )
    def test_before_the_answer(self, caplog, request_bytes):
        head = run(ask(request_bytes, post=broken))
        (line,) = (
            each for each in caplog.records if each.message == 'unhandled fault'
        )
        assert f'X-Request-Id: {line.request_id}\r\n'.encode() in head
        assert head.startswith(b'HTTP/1.1 500 ')
        assert b'X-Outcome: unknown' in head

    def test_as_the_request_is_admitted(self, caplog):
        head = run(ask(PLAIN, post=None, enter=broken))
        assert 'unhandled fault' in {each.message for each in caplog.records}
        assert head.startswith(b'HTTP/1.1 504 ')
        assert b'X-Outcome: unknown' in head

    def test_in_the_list_of_entries(self):
        with mock.patch(f'{HANDLERS}.random.shuffle', broken):
            head = run(ask(ENTRIES))
        assert head.startswith(b'HTTP/1.1 500 ')

    def test_after_the_answer_has_begun(self):
        """Guards against a truncated stream that looks whole."""

        def event_once(piece):
            return broken() if piece.index else token_event(piece)

        with mock.patch(f'{HANDLERS}.token_event', event_once):
            received = run(ask(STREAM, until=b''))
        assert received.startswith(b'HTTP/1.1 200 ')
        assert LAST_CHUNK not in received
