"""Closing the port for callers."""

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
    """Symptom: a connection is reset during a rolling restart.

    Sequence: the kernel completes a connection and receives the request; the
    entry closes its port before it has accepted the connection.
    Cause: closing a listener resets the connections in its accept queue.
    """

    def test_queued_connection_is_answered(self):
        async def scenario():
            probe, number = bind_unused_port()
            probe.close()
            port = CallersPort(HTTPServer(Application()))
            port.listen(number, '127.0.0.1')
            # Blocking calls: the event loop can't accept in between.
            caller = socket.create_connection(('127.0.0.1', number))
            caller.sendall(LATE)
            port.close()
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            return await loop.sock_recv(caller, 100)

        assert run(scenario()).startswith(b'HTTP/1.1 404')
