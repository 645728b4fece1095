"""A server that sends exactly the bytes that a test specifies."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from attrs import define, field

NO_LINGER = struct.pack('ii', 1, 0)


@define
class WireServer:
    """Answers the n-th request with the n-th item of ``texts``."""

    texts: list[bytes]
    close: bool = False
    reset: bool = False
    read_head_only: bool = False
    address: str = ''
    connections: int = 0
    heads: list[bytes] = field(factory=list)
    _writers: list[asyncio.StreamWriter] = field(factory=list)

    def say(self, text: bytes) -> None:
        """Send unsolicited bytes on the last connection."""
        self._writers[-1].write(text)

    async def on_connection(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while self.texts:
                self.heads.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(self.texts.pop(0))
                await writer.drain()
                if self.close or self.reset:
                    self._close(writer)
                    return
                if self.read_head_only:
                    return
            await reader.read()

    def _close(self, writer):
        if self.reset:
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.close()

    def end_all(self):
        for writer in self._writers:
            writer.close()


@contextlib.asynccontextmanager
async def serving(texts, **more):
    """Run a server during a test."""
    wire = WireServer(list(texts), **more)
    server = await asyncio.start_server(wire.on_connection, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    wire.address = f'127.0.0.1:{port}'
    try:
        yield wire
    finally:
        wire.end_all()
        server.close()
