"""Upstreams that fall silent amid an answer and go on, as scripts say."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
import time
from typing import Any

from attrs import define, field, frozen

from crowrudder_standins.fleet_replica import FleetReplica
from support.scripted_engine import (
    REQUEST_ID,
    TURNS_TO_READ,
    read_request,
    wait_turns,
)
from support.wire import NO_LINGER

EVENTS = 6
SLOTS = 100
OK = 200
NOT_RUN = 503
FOREVER = math.inf

_REASONS = {404: 'Not Found', 500: 'Error', NOT_RUN: 'Service Unavailable'}


@frozen(kw_only=True)
class Script:
    """What one run sends, and when.

    It sends ``before`` events (of a plain answer: parts), and its head with
    them, or without any if ``has_head`` is set. If ``is_half`` is set, half of
    the next event follows. Then it says nothing for ``silent_s`` seconds, or
    until it is told to go on, and for ``turns`` of the event loop.
    The rest comes in one piece, or an event in each turn if ``is_piecewise`` is
    set; it ends with a reset after ``size`` events unless that is None.

    A run that ``wakes`` tells the other runs of its request to go on as it
    begins. With a ``status`` other than 200 the answer is short; 503 says that
    the request wasn't run.
    """

    before: int = 0
    has_head: bool = False
    is_half: bool = False
    silent_s: float = 0
    turns: int = 0
    is_piecewise: bool = False
    size: int | None = None
    wakes: bool = False
    status: int = OK


WHOLE = Script()


@define(eq=False)
class Run:
    """A run of a request; times are those of ``time.monotonic``.

    ``closed_at`` is when its connection was closed by the entry before the end
    of the answer, ``spoke_at`` when its first bytes were sent.
    """

    upstream: str
    request_id: str
    resumed_after: int
    began_at: float = field(factory=time.monotonic)
    spoke_at: float = math.inf
    closed_at: float = math.inf
    is_finished: bool = False
    _told: asyncio.Event = field(factory=asyncio.Event)

    def go_on(self):
        """End the silence of this run."""
        self._told.set()

    async def be_silent(self, silent_s):
        """Wait for a time or until the run is told to go on."""
        timeout_s = None if silent_s == FOREVER else silent_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._told.wait()

    @property
    def is_closed(self):
        return self.closed_at < math.inf

    @property
    def is_open(self):
        return not self.is_closed and not self.is_finished


def event(number):
    """Return an event of the stream."""
    return b'id: %d\ndata: %d\n\n' % (number, number * 11)


def stream(first=1, end=EVENTS):
    """Return the events of a stream from the first number to the last."""
    return b''.join(event(number) for number in range(first, end + 1))


def plain_body(upstream):
    """Return the body of an upstream's plain answer."""
    return b''.join(_plain_parts(upstream, 0))


def _plain_parts(upstream, after):
    numbers = range(after + 1, EVENTS + 1)
    return [b'%s says %d\n' % (upstream.encode(), each) for each in numbers]


@define(eq=False)
class SilentUpstreams:
    """Upstreams of one service that follow the scripts of each request's runs.

    A run without a script answers in full. Every answer has a connection of its
    own.
    """

    world: Any
    service: str
    scripts: dict[str, list[Script]] = field(factory=dict)
    runs: list[Run] = field(factory=list)
    servers: dict[str, asyncio.Server] = field(factory=dict)
    _open: dict[asyncio.StreamWriter, asyncio.Future[None]] = field(
        factory=dict
    )

    async def add(self, name):
        """Start an upstream and list it."""

        async def on_connection(reader, writer):
            ended = asyncio.get_running_loop().create_future()
            self._open[writer] = ended
            try:
                await self._serve(name, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()
                self._open.pop(writer)
                ended.set_result(None)

        server = await asyncio.start_server(on_connection, '127.0.0.1', 0)
        self.servers[name] = server
        port = server.sockets[0].getsockname()[1]
        model = 'm' if self.service == 'llm' else ''
        replica = FleetReplica(
            {
                '--id': name,
                '--slots': SLOTS,
                '--model': model,
                '--loaded': int(bool(model)),
            }
        )
        record = replica.entry(self.service, f'127.0.0.1:{port}', 'z')
        self.world.store.put(f'servers/{name}', json.dumps(record).encode())

    async def close(self):
        """End all upstreams and their connections."""
        for server in self.servers.values():
            server.close()
        for writer in self._open:
            writer.transport.abort()
        await asyncio.gather(*self._open.values())

    def runs_of(self, request_id):
        """Return the runs of a request in the order of their beginning."""
        return [run for run in self.runs if run.request_id == request_id]

    async def begun(self, request_id, count=1):
        """Wait until a request has had some runs, and return them."""
        await self.world.until(lambda: len(self.runs_of(request_id)) >= count)
        return self.runs_of(request_id)

    def other(self, run):
        """Return the name of an upstream other than that of a run."""
        return next(name for name in self.servers if name != run.upstream)

    async def _serve(self, name, reader, writer):
        fields = await read_request(reader)
        request_id = fields.get(REQUEST_ID, '')
        after = int(fields.get('last-event-id') or 0)
        run = Run(name, request_id, after)
        self.runs.append(run)
        scripts = self.scripts.get(request_id)
        script = scripts.pop(0) if scripts else WHOLE
        answer = asyncio.ensure_future(self._answer(run, script, writer))
        end = asyncio.ensure_future(_read_to_end(reader))
        try:
            await asyncio.wait(
                (answer, end), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            end.cancel()
            answer.cancel()
        if answer.done() and not answer.cancelled():
            answer.result()
            run.is_finished = True
        else:
            run.closed_at = time.monotonic()

    async def _answer(self, run, script, writer):
        if script.wakes:
            for each in self.runs_of(run.request_id):
                if each is not run:
                    each.go_on()
        head, parts, last = self._pieces(run, script)
        if script.before or script.has_head:
            _send(run, writer, head + b''.join(parts[: script.before]))
            head = b''
        parts = parts[script.before :]
        if script.is_half:
            middle = len(parts[0]) // 2
            _send(run, writer, parts[0][:middle])
            parts[0] = parts[0][middle:]
        if script.silent_s:
            await run.be_silent(script.silent_s)
        await wait_turns(script.turns)
        is_reset = script.size is not None
        parts = [head, *parts[: script.size], b'' if is_reset else last]
        if script.is_piecewise:
            for part in parts:
                _send(run, writer, part)
                await wait_turns(1)
        else:
            _send(run, writer, b''.join(parts))
        if is_reset:
            # A reset may discard bytes that nobody has read.
            await wait_turns(TURNS_TO_READ)
            # The entry may have closed the connection meanwhile.
            with contextlib.suppress(OSError):
                sock = writer.get_extra_info('socket')
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)

    def _pieces(self, run, script):
        """Return the head, the parts and the end of a whole answer."""
        common = (
            f'X-Attempt-Id: {run.request_id}\r\nX-Replica-Seal: x\r\n'
            'Connection: close\r\n'
        )
        if script.status != OK:
            not_run = (
                'X-Not-Executed: 1\r\n' if script.status == NOT_RUN else ''
            )
            line = f'HTTP/1.1 {script.status} {_REASONS[script.status]}\r\n'
            head = f'{line}{common}{not_run}Content-Length: 2\r\n\r\n'
            return head.encode(), [b'no'], b''
        if self.service == 'llm':
            fields = (
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n'
            )
            numbers = range(run.resumed_after + 1, EVENTS + 1)
            events = [event(number) for number in numbers]
            parts = [b'%x\r\n%s\r\n' % (len(each), each) for each in events]
            last = b'0\r\n\r\n'
        else:
            parts = _plain_parts(run.upstream, 0)
            fields = f'Content-Length: {len(b"".join(parts))}\r\n'
            last = b''
        head = f'HTTP/1.1 200 OK\r\n{common}{fields}\r\n'
        return head.encode(), parts, last


def _send(run, writer, piece):
    if piece:
        run.spoke_at = min(run.spoke_at, time.monotonic())
        writer.write(piece)


async def _read_to_end(reader):
    """Wait until the connection is closed by its other end."""
    with contextlib.suppress(ConnectionError):
        await reader.read()


@contextlib.asynccontextmanager
async def silent_upstreams(world, *, count=2, service='llm'):
    """Run upstreams of a service, and list them in the store of a fleet."""
    upstreams = SilentUpstreams(world, service)
    try:
        for number in range(count):
            await upstreams.add(f's{number}')
        yield upstreams
    finally:
        await upstreams.close()
