"""Upstreams of which one sends answers without end, of several kinds."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from attrs import define, field

from crowrudder_standins.fleet_replica import FleetReplica
from support.scripted_engine import REQUEST_ID, read_request

EVENTS = 3
PIECE_BYTES = 16_384
EVENT_STREAM = 'Content-Type: text/event-stream\r\n'
CHUNKED = f'{EVENT_STREAM}Transfer-Encoding: chunked\r\n'


def event(number):
    return b'id: %d\ndata: %d\n\n' % (number, number * 11)


WHOLE_STREAM = b''.join(event(number + 1) for number in range(EVENTS))
PLAIN_BODY = b'all is well\n'


def _chunk(text):
    return b'%x\r\n%s\r\n' % (len(text), text)


def _piece(text):
    return text * (PIECE_BYTES // len(text))


@define(frozen=True)
class Endless:
    """What one answer begins with, and what follows without end.

    ``fields`` is None for an answer whose head doesn't end; ``start`` is what
    follows the head.
    """

    fields: str | None
    start: bytes
    piece: bytes


KINDS = {
    'informational answers': Endless(
        None, b'', _piece(b'HTTP/1.1 102 Processing\r\n\r\n')
    ),
    'body without an event': Endless(EVENT_STREAM, b'', _piece(b'x')),
    'chunks without an event': Endless(CHUNKED, b'', _chunk(_piece(b'x'))),
    'small chunks': Endless(CHUNKED, b'', _piece(_chunk(b'x'))),
    'comments': Endless(CHUNKED, b'', _chunk(_piece(b': wait\n\n'))),
    'head': Endless(None, b'HTTP/1.1 200 OK\r\n', _piece(b'X-A: a\r\n')),
    'chunk size': Endless(CHUNKED, b'1;', _piece(b'a')),
    'trailers': Endless(
        CHUNKED, _chunk(b'data: a\n') + b'0\r\n', _piece(b'X-A: a\r\n')
    ),
}
"""Answers without end and without an event."""

AFTER_WHOLE = Endless(
    CHUNKED, _chunk(WHOLE_STREAM) + b'0\r\n\r\n', _piece(b'x')
)
STRAY = Endless(
    None,
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Seal: x\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n',
    _chunk(_piece(b'x')),
)
BEGUN = {
    'an event': Endless(CHUNKED, _chunk(event(1)), _chunk(_piece(b'x'))),
    'comments': Endless(
        CHUNKED, _chunk(event(1)), _chunk(_piece(b': wait\n\n'))
    ),
}
"""What follows the first event without end."""

REFUSED = Endless('X-Not-Executed: 1\r\n', b'', _piece(b'x'))
REFUSED_AND_SILENT = Endless(
    'X-Not-Executed: 1\r\nContent-Length: 9\r\n', b'', b''
)


@define(eq=False)
class EndlessUpstreams:
    """Upstreams of a service; the answers of the first have no end.

    ``kind`` None lets it answer as the others do.
    """

    world: Any
    service: str
    kind: Endless | None = None
    runs: list[str] = field(factory=list)
    _servers: list[asyncio.Server] = field(factory=list)

    async def add(self, name):
        """Start an upstream and list it."""

        async def on_connection(reader, writer):
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                await self._serve(name, reader, writer)
            writer.close()

        server = await asyncio.start_server(on_connection, '127.0.0.1', 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        replica = FleetReplica(
            {
                '--id': name,
                '--slots': 100,
                '--model': 'm' if self.service == 'llm' else '',
                '--loaded': 1,
            }
        )
        record = replica.entry(self.service, f'127.0.0.1:{port}', 'z')
        self.world.store.put(f'servers/{name}', json.dumps(record).encode())

    async def close(self):
        for server in self._servers:
            server.close()

    async def _serve(self, name, reader, writer):
        fields = await read_request(reader)
        self.runs.append(name)
        after = int(fields.get('last-event-id') or 0)
        kind = self.kind if name == 's0' else None
        common = (
            f'X-Attempt-Id: {fields.get(REQUEST_ID, "")}\r\n'
            'X-Replica-Seal: x\r\nConnection: close\r\n'
        )
        if kind is None:
            writer.write(self._whole(common, after))
            return
        if kind.fields is not None:
            is_refusal = 'X-Not-Executed' in kind.fields
            line = '503 Service Unavailable' if is_refusal else '200 OK'
            head = f'HTTP/1.1 {line}\r\n{common}{kind.fields}\r\n'
            writer.write(head.encode())
        writer.write(kind.start)
        while kind.piece:
            writer.write(kind.piece)
            await writer.drain()
            await asyncio.sleep(0)
        await reader.read()

    def _whole(self, common, after):
        if self.service == 'llm':
            numbers = range(after + 1, EVENTS + 1)
            events = b''.join(_chunk(event(number)) for number in numbers)
            head = f'HTTP/1.1 200 OK\r\n{common}{CHUNKED}\r\n'
            return head.encode() + events + b'0\r\n\r\n'
        length = f'Content-Length: {len(PLAIN_BODY)}\r\n'
        return f'HTTP/1.1 200 OK\r\n{common}{length}\r\n'.encode() + PLAIN_BODY


@contextlib.asynccontextmanager
async def endless_upstreams(world, *, service='llm', count=3):
    """Run upstreams of a service, and list them in the store of a fleet."""
    upstreams = EndlessUpstreams(world, service)
    try:
        for number in range(count):
            await upstreams.add(f's{number}')
        yield upstreams
    finally:
        await upstreams.close()
