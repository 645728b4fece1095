"""Engines that answer with streams byte by byte as scripts say."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from itertools import pairwise

from attrs import define, field, frozen

from crowrudder_standins.fleet_replica import FleetReplica
from support.wire import NO_LINGER

EVENTS = 3
TURNS_TO_READ = 4
"""Turns of the event loop in which the entry surely reads a piece."""

FRAMINGS = ('chunks', 'length', 'connection')
REQUEST_ID = 'x-attempt-id'


@frozen(kw_only=True)
class Script:
    """How one answer is delimited, in which pieces it comes, where it ends.

    ``size`` is the number of bytes after the head that are sent, None for all;
    the connection then ends with a reset if ``is_reset`` is set. A negative
    number ends within the head. An answer that is whole isn't reset. The body comes in pieces that end at ``cuts``.
    If ``stalls`` is set, nothing follows and the connection stays open.
    ``turns`` of the event loop pass after each piece; an end by FIN may then
    arrive together with bytes.
    """

    framing: str = 'chunks'
    size: int | None = None
    is_reset: bool = False
    cuts: tuple[int, ...] = ()
    stalls: bool = False
    turns: int = TURNS_TO_READ


WHOLE = Script()


@define
class Run:
    """A run at one of the engines."""

    request_id: str
    resumed_after: int


@define
class Plan:
    """The scripts of each request's runs, and the runs that there were."""

    scripts: dict[str, list[Script]] = field(factory=dict)
    runs: list[Run] = field(factory=list)
    line_end: bytes = b'\n'

    def stream(self, after=0):
        """Return the events of a stream after one of them."""
        return b''.join(self.event(n) for n in range(after + 1, EVENTS + 1))

    def first(self, count):
        """Return the first events of a stream."""
        return b''.join(self.event(n) for n in range(1, count + 1))

    def event(self, number):
        lines = (b'id: %d' % number, b'data: %d' % (number * 11), b'', b'')
        return self.line_end.join(lines)

    def body(self, framing, after=0):
        """Return what follows the head of an answer that is whole."""
        if framing != 'chunks':
            return self.stream(after)
        events = (self.event(n) for n in range(after + 1, EVENTS + 1))
        chunks = (b'%x\r\n%s\r\n' % (len(each), each) for each in events)
        return b''.join((*chunks, b'0\r\n\r\n'))

    def resumed(self, request_id):
        """Return after which events the runs of a request began."""
        return [
            run.resumed_after
            for run in self.runs
            if run.request_id == request_id
        ]


@define(eq=False)
class ScriptedEngine:
    """An engine that follows a plan; without a script it answers in full."""

    name: str
    plan: Plan

    async def on_connection(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            is_kept = True
            while is_kept:
                is_kept = await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        """Answer one request; return whether the connection stays open."""
        fields = await read_request(reader)
        request_id = fields.get(REQUEST_ID, '')
        after = int(fields.get('last-event-id') or 0)
        self.plan.runs.append(Run(request_id, after))
        scripts = self.plan.scripts.get(request_id)
        script = scripts.pop(0) if scripts else WHOLE
        head = self._head(request_id, script.framing, after)
        body = self.plan.body(script.framing, after)
        size = len(body) if script.size is None else script.size
        sent = head + body[: max(size, 0)]
        sent = sent[: len(head) + size]
        cuts = {len(head) + cut for cut in script.cuts}
        inner = sorted(cut for cut in cuts if cut < len(sent))
        for first, end in pairwise((0, *inner, len(sent))):
            writer.write(sent[first:end])
            await wait_turns(script.turns)
        if script.is_reset:
            # A reset may discard bytes that nobody has read.
            await wait_turns(TURNS_TO_READ)
        if script.stalls:
            await reader.read()
        if script.is_reset and script.size is not None:
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        return script.size is None and script.framing != 'connection'

    def _head(self, request_id, framing, after):
        fields = {
            'chunks': 'Transfer-Encoding: chunked\r\n',
            'length': f'Content-Length: {len(self.plan.stream(after))}\r\n',
            'connection': 'Connection: close\r\n',
        }
        return (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'X-Attempt-Id: {request_id}\r\nX-Replica-Seal: x\r\n'
            f'{fields[framing]}\r\n'
        ).encode()


async def read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    fields = {}
    for line in head.decode().splitlines()[1:]:
        name, _, text = line.partition(':')
        fields[name.lower()] = text.strip()
    await reader.readexactly(int(fields.get('content-length', 0)))
    return fields


async def wait_turns(turns):
    for _ in range(turns):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def scripted_engines(world, count=2):
    """Run engines with one plan, and list them in the store of a fleet."""
    plan = Plan()
    servers = []
    for number in range(count):
        name = f's{number}'
        engine = ScriptedEngine(name, plan)
        server = await asyncio.start_server(
            engine.on_connection, '127.0.0.1', 0
        )
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        replica = FleetReplica(
            {'--id': name, '--slots': 8, '--model': 'm', '--loaded': 1}
        )
        record = replica.entry('llm', f'127.0.0.1:{port}', 'z')
        world.store.put(f'servers/{name}', json.dumps(record).encode())
    await world.ready()
    try:
        yield plan
    finally:
        for server in servers:
            server.close()
