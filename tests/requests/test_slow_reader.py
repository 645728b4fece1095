from __future__ import annotations

import asyncio
import logging
import socket
from unittest import mock

from crowrudder_daemon.entry import build_entry
from crowrudder_daemon.entry._parts import Ended
from crowrudder_daemon.entry._requests import RequestCame
from crowrudder_daemon.process import Runtime
from crowrudder_model import Outcome
from crowrudder_model.messages import Piece
from support.aio import run
from support.settings import entry_settings

LONG = b'x' * 32_000_000
CALL = (
    b'GET /v1/services/portal/ HTTP/1.1\r\nHost: a\r\n'
    b'X-Customer: desk\r\nConnection: close\r\n\r\n'
)


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def answer_at_once(message):
    """Stand in for the requests' task: one long answer."""
    if isinstance(message, RequestCame):
        piece = Piece(request_id='r', version='plain', index=0, body=LONG)
        message.parts.put_nowait(piece)
        message.parts.put_nowait(
            Ended(outcome=Outcome.ANSWERED, code='ok', status=200, pieces=1)
        )


async def bytes_read_across_a_drain():
    port = free_port()
    cfg = entry_settings(http_port=port, rpc_port=free_port())
    runtime = Runtime(cfg=cfg, log=logging.getLogger('test'))
    role = build_entry(runtime)
    with mock.patch.object(role.requests, 'post', answer_at_once):
        await role.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(CALL)
        head = await reader.readuntil(b'\r\n\r\n')
        drain = asyncio.ensure_future(role.drain())
        # Two turns of the loop let a drain that doesn't wait go through.
        await asyncio.wait({drain}, timeout=0.2)
        body = await reader.read()
        writer.close()
        await drain
    await role.stop()
    runtime.metrics.close()
    return head, body


class TestSlowReader:
    """Symptom: a truncated answer while an entry is drained.

    Sequence: an answer has ended and lies in the entry's buffer; its caller
    reads slowly; SIGTERM. Cause: the drain waited for the requests' final
    words, not for their last bytes, and closed the connections.
    """

    def test_gets_the_whole_answer(self):
        head, body = run(bytes_read_across_a_drain())
        assert b' 200 ' in head
        assert len(body) == len(LONG)
