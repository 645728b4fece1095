"""A relay whose open connections can go silent for good."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, field


@define(eq=False)
class SeverableRelay:
    """Relays connections to a target until they are severed.

    A severed connection stays open, and takes bytes that go nowhere; its ends
    get neither an error nor an answer. New connections work.
    """

    target: str
    address: str = ''
    connections: int = 0
    _severed: int = 0
    _jobs: set[asyncio.Task[None]] = field(factory=set)

    def sever(self):
        """Let all connections go silent that are open now."""
        self._severed = self.connections

    async def on_connection(self, reader, writer):
        self.connections += 1
        number = self.connections
        ip, _, port = self.target.rpartition(':')
        ends = await asyncio.open_connection(ip, int(port))
        self._jobs = {
            asyncio.create_task(self._pump(reader, ends[1], number)),
            asyncio.create_task(self._pump(ends[0], writer, number)),
            *self._jobs,
        }

    async def _pump(self, reader, writer, number):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if number > self._severed:
                    writer.write(data)
            if number > self._severed:
                writer.close()

    def close(self):
        for job in self._jobs:
            job.cancel()


@contextlib.asynccontextmanager
async def severable(target):
    """Run a relay during a test."""
    relay = SeverableRelay(target)
    server = await asyncio.start_server(relay.on_connection, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    relay.address = f'127.0.0.1:{port}'
    try:
        yield relay
    finally:
        relay.close()
        server.close()
