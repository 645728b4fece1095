from __future__ import annotations

import asyncio
import logging
import socket
from unittest import mock

from crowrudder_daemon.entry import build_entry
from crowrudder_daemon.entry._final_outcome import FinalOutcome
from crowrudder_daemon.entry._requests import RequestReceived
from crowrudder_daemon.process import Runtime
from crowrudder_model import Outcome
from crowrudder_model.messages import Piece
from support.aio import run
from support.settings import entry_settings

LONG_BODY = b'x' * 32_000_000
REQUEST = (
    b'GET /v1/services/portal/ HTTP/1.1\r\nHost: a\r\n'
    b'X-Customer: desk\r\nConnection: close\r\n\r\n'
)


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def post_long_answer(message):
    """Replace the requests task: post one long answer."""
    if isinstance(message, RequestReceived):
        piece = Piece(request_id='r', version='plain', index=0, body=LONG_BODY)
        message.parts.put_nowait(piece)
        message.parts.put_nowait(
            FinalOutcome(
                outcome=Outcome.ANSWERED, code='ok', status=200, pieces=1
            )
        )


async def read_during_drain():
    port = free_port()
    cfg = entry_settings(http_port=port, rpc_port=free_port())
    runtime = Runtime(cfg=cfg, log=logging.getLogger('test'))
    role = build_entry(runtime)
    with mock.patch.object(role.requests, 'post', post_long_answer):
        await role.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(REQUEST)
        head = await reader.readuntil(b'\r\n\r\n')
        drain = asyncio.ensure_future(role.drain())
        # A drain that doesn't wait needs two loop iterations to finish.
        await asyncio.wait({drain}, timeout=0.2)
        body = await reader.read()
        writer.close()
        await drain
    await role.stop()
    runtime.metrics.close()
    return head, body


class TestSlowReader:
    """Guard against a truncated answer while an entry is drained.

    An answer has ended and is still in the entry's buffer, since its caller
    reads slowly, when SIGTERM arrives. A drain that waits only for the final
    outcomes of requests, not for their last bytes, closes the connection.
    """

    def test_gets_the_complete_answer(self):
        head, body = run(read_during_drain())
        assert b' 200 ' in head
        assert len(body) == len(LONG_BODY)
