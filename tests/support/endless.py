"""Peers whose bytes never end, and what is taken of them."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import time

from attrs import define, field
from tornado.iostream import IOStream

from crowrudder_daemon.http import HttpConnection

BLOCK_BYTES = 65_536
FLOOD_BYTES = 1 << 26
"""After how many bytes a flood is given up."""

TURN_S = 0.05
"""Longest turn of the loop, whatever one connection sends."""

TURN_FACTOR = 2
"""How much longer a turn may take on a busy machine with cold caches."""

HEAD = b'HTTP/1.1 200 OK\r\n'
LINE = b'x-more: ' + 56 * b'y' + b'\r\n'


def repeated(piece):
    """Return about one block of a piece."""
    return piece * (BLOCK_BYTES // len(piece))


ENDLESS_ANSWERS = {
    'head': (HEAD, repeated(LINE)),
    'head_line': (HEAD + b'x-more: ', BLOCK_BYTES * b'y'),
    'body_by_length': (
        HEAD + b'Content-Length: 999999999999\r\n\r\n',
        BLOCK_BYTES * b'y',
    ),
    'body_by_connection': (HEAD + b'\r\n', BLOCK_BYTES * b'y'),
    'body_in_chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK_BYTES * b'y' + b'\r\n',
    ),
    'chunk_size': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        BLOCK_BYTES * b'0',
    ),
    'trailer': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        repeated(LINE),
    ),
    'body_in_chunks_of_one_byte': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        repeated(b'1\r\ny\r\n'),
    ),
    'informational': (b'', repeated(b'HTTP/1.1 102 Processing\r\n\r\n')),
}
"""Beginning and endlessly repeated rest of an answer, by its kind."""


@define
class EndlessServer:
    """Answers each request with a beginning and a rest without end.

    Without ``awaits_request`` it sends them on each new connection.
    """

    beginning: bytes
    rest: bytes
    awaits_request: bool = True
    address: str = ''
    connections: int = 0
    _writers: list[asyncio.StreamWriter] = field(factory=list)

    async def on_connection(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if self.awaits_request:
                await reader.readuntil(b'\r\n\r\n')
            writer.write(self.beginning)
            while not writer.is_closing():
                writer.write(self.rest)
                await writer.drain()

    def end(self):
        for writer in self._writers:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def endless(beginning, rest, address='127.0.0.1:0'):
    """Run an endless server during a test."""
    peer = EndlessServer(beginning, rest)
    ip, _, port = address.rpartition(':')
    server = await asyncio.start_server(peer.on_connection, ip, int(port))
    peer.address = f'{ip}:{server.sockets[0].getsockname()[1]}'
    try:
        yield peer
    finally:
        peer.end()
        server.close()


@define
class Taken:
    """Bytes that were taken of the peer, and the longest turn of the loop.

    ``bytes_by_conn`` has an item for each connection. A turn is measured in
    processor time, so that other processes on the machine don't lengthen it.
    """

    bytes_by_conn: dict[int, int] = field(factory=dict)
    longest_turn_s: float = 0

    @property
    def most_bytes(self):
        """The most that was taken on one connection."""
        return max(self.bytes_by_conn.values(), default=0)

    def reset(self):
        self.bytes_by_conn.clear()
        self.longest_turn_s = 0

    def check(self, max_bytes):
        """Check the bytes of a connection and the turns of the loop."""
        assert self.most_bytes <= max_bytes
        self.check_turns()

    def check_turns(self):
        """Check the turns of the loop."""
        assert self.longest_turn_s <= TURN_S * TURN_FACTOR


@contextlib.contextmanager
def measured(monkeypatch):
    """Measure what is taken, without pauses of the garbage collector."""
    taken = Taken()
    receive = HttpConnection.data_received
    read = IOStream.read_from_fd
    turn = vars(asyncio.BaseEventLoop)['_run_once']

    def count(conn, size):
        before = taken.bytes_by_conn.get(id(conn), 0)
        taken.bytes_by_conn[id(conn)] = before + size

    def counted(conn, data):
        count(conn, len(data))
        receive(conn, data)

    def counted_read(stream, buf):
        size = read(stream, buf)
        count(stream, size or 0)
        return size

    def timed(loop):
        began_at = time.thread_time()
        turn(loop)
        took_s = time.thread_time() - began_at
        taken.longest_turn_s = max(taken.longest_turn_s, took_s)

    monkeypatch.setattr(HttpConnection, 'data_received', counted)
    monkeypatch.setattr(IOStream, 'read_from_fd', counted_read)
    monkeypatch.setattr(asyncio.BaseEventLoop, '_run_once', timed)
    gc.collect()
    gc.disable()
    try:
        yield taken
    finally:
        gc.enable()


async def flood(address, beginning, rest, *, max_bytes=FLOOD_BYTES):
    """Send a beginning and a rest without end; return what is received."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    received = asyncio.ensure_future(received_by(reader))
    with contextlib.suppress(ConnectionError):
        writer.write(beginning)
        for _ in range(max_bytes // len(rest)):
            if received.done():
                break
            writer.write(rest)
            await writer.drain()
    writer.transport.abort()
    return await received


async def received_by(reader):
    """Return all that is received until the end of a connection."""
    parts = []
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(BLOCK_BYTES):
            parts.append(part)
    return b''.join(parts)
