"""The callers' port as it closes."""

from __future__ import annotations

import asyncio
import socket

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from crowrudder_daemon._callers_port import CallersPort
from support.aio import run

LATE = b'GET / HTTP/1.0\r\n\r\n'


class TestLateConnection:
    """Symptom: a request of a rolling restart meets a reset connection.

    Sequence: the system completes a connection and takes the request; the
    entry closes its port before it has accepted it.
    Cause: a listener that closes resets the connections in its queue.
    """

    def test_one_that_waits_is_answered(self):
        async def story():
            probe, number = bind_unused_port()
            probe.close()
            port = CallersPort(HTTPServer(Application()))
            port.listen(number, '127.0.0.1')
            # Blocking calls: the loop can't accept in between.
            caller = socket.create_connection(('127.0.0.1', number))
            caller.sendall(LATE)
            port.close()
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            return await loop.sock_recv(caller, 100)

        assert run(story()).startswith(b'HTTP/1.1 404')
