"""Base of the stand-ins: HTTP server, control calls and journal."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from docopt import docopt
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from crowrudder_standins._faults import (
    DropError,
    Fault,
    FaultSwitch,
    RefusedError,
)

_NO_LINGER = struct.pack('ii', 1, 0)
_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))
_MAX_BODY_BYTES = 1 << 30
_APPEND_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_CREAT
Answer = dict[str, Any] | None
_Endpoint = Callable[..., Awaitable[Answer]]


def route(method: str, path: str) -> Callable[[_Endpoint], _Endpoint]:
    """Register a coroutine as the handler of a route; ``*`` is any method."""

    def decorate(endpoint: _Endpoint) -> _Endpoint:
        endpoint.route = (method, path)  # type: ignore[attr-defined]
        return endpoint

    return decorate


class Standin:
    """Base of the stand-ins: options, faults, request log and journal."""

    fault_names: tuple[str, ...] = ()

    def __init__(self, options: Mapping[str, Any]) -> None:
        self.options = options
        self.faults = FaultSwitch()
        path = options.get('--journal')
        self._journal = os.open(path, _APPEND_FLAGS) if path else None

    def append_journal(self, record: Mapping[str, Any]) -> None:
        """Append a line to the journal file, which survives a killed process."""
        if self._journal is not None:
            os.write(self._journal, json.dumps(record).encode() + b'\n')

    def request_log(self) -> dict[str, Any]:
        raise NotImplementedError

    def on_fault(self, fault: Fault) -> None:
        """Apply a fault that takes effect when it is switched on."""

    async def run(self) -> None:
        """Run background work."""

    def prepare(self, call: Call) -> None:
        """Set the headers that all answers have."""

    @route('GET', '/control/books')
    async def get_request_log(self, call: Call) -> Answer:
        return self.request_log()

    @route('POST', '/control/faults')
    async def post_fault(self, call: Call) -> Answer:
        order = call.body_json()
        amount = float(order.get('amount', 0))
        fault = Fault(order['fault'], order.get('count'), amount)
        if fault.name not in ('', *self.fault_names):
            raise ValueError(f'{fault.name}: use one of {self.fault_names}')
        if order.get('on', True):
            self.faults.switch_on(fault)
            self.on_fault(fault)
        else:
            self.faults.switch_off(fault.name)
        return {'on': sorted(self.faults.active)}


class Call(RequestHandler):
    """One HTTP call, handled by the coroutine of its route.

    The coroutine returns the JSON answer, or None if it sent one itself.
    """

    def initialize(
        self, standin: Standin, routes: dict[str, _Endpoint]
    ) -> None:
        self._standin = standin
        self._routes = routes
        self.on_disconnect: Callable[[], object] = str
        self._has_unframed_head = False

    def on_connection_close(self) -> None:
        self.on_disconnect()

    def body_json(self) -> dict[str, Any]:
        return dict(json.loads(self.request.body))

    def number(self, name: str, default: str = '') -> float:
        return float(self.get_query_argument(name, default))

    async def send(self, chunk: str | bytes) -> None:
        self.write(chunk)
        await self.flush()

    async def send_unframed(self, chunk: bytes) -> None:
        """Send a part of an answer that ends with its connection."""
        conn: Any = self.request.connection
        if not self._has_unframed_head:
            self._has_unframed_head = True
            chunk = self._unframed_head() + chunk
        await conn.stream.write(chunk)

    async def on_any(self, *path_args: str) -> None:
        try:
            answer = await self._answer(path_args)
        except RefusedError as exc:
            self.set_status(exc.status)
            answer = exc.answer
        except DropError as exc:
            self._drop(is_reset=exc.is_reset)
            return
        except StreamClosedError:
            self._drop(is_reset=False)
            return
        if not self._finished:
            with contextlib.suppress(StreamClosedError):
                await self.finish(answer)

    def _unframed_head(self) -> bytes:
        self.set_header('Connection', 'close')
        lines = [
            f'{name}: {text}'
            for name, text in self._headers.get_all()
            if name.lower() not in _FRAMING_HEADERS
        ]
        status = f'HTTP/1.1 {self.get_status()} {self._reason}'
        return '\r\n'.join((status, *lines, '', '')).encode()

    def _drop(self, *, is_reset: bool) -> None:
        stream: Any = self.detach()
        if is_reset and not stream.closed():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
        stream.close()

    async def _answer(self, args: tuple[str, ...]) -> Answer:
        endpoint = self._routes.get(str(self.request.method))
        endpoint = endpoint or self._routes.get('*')
        if endpoint is None:
            raise RefusedError(405, 'method')
        if not self.request.path.startswith('/control/'):
            await self._standin.faults.wait_cleared('freeze')
        self._standin.prepare(self)
        try:
            return await endpoint(self, *args)
        except (ValueError, KeyError, TypeError) as exc:
            raise RefusedError(400, repr(exc)) from exc

    get = post = put = delete = patch = head = options = on_any


def run(standin_type: type[Standin], usage: str) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    asyncio.run(_serve(standin_type, docopt(usage)))


def application(standin: Standin) -> Application:
    """Return the Tornado application with the stand-in's routes."""
    by_path: dict[str, dict[str, _Endpoint]] = {}
    for name in dir(type(standin)):
        endpoint = getattr(standin, name)
        if hasattr(endpoint, 'route'):
            method, path = endpoint.route
            by_path.setdefault(path, {})[method] = endpoint
    handlers = [
        (path, Call, {'standin': standin, 'routes': by_path[path]})
        for path in sorted(by_path, reverse=True)
    ]
    return Application(handlers, log_function=lambda _call: None)


async def _serve(
    standin_type: type[Standin], options: Mapping[str, Any]
) -> None:
    standin = standin_type(options)
    http = application(standin).listen(
        int(options['--port']),
        options['--address'],
        max_body_size=_MAX_BODY_BYTES,
        max_buffer_size=_MAX_BODY_BYTES,
    )
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(
            signal_number, stopped.set
        )
    work = asyncio.create_task(standin.run())
    await stopped.wait()
    work.cancel()
    http.stop()
