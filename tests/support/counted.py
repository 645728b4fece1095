"""A relay between two processes that counts the bytes it forwards."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LINK_IP = '127.0.0.30'
MAX_READ_BYTES = 65_536


@define(eq=False)
class CountedLink:
    """Byte counts in each direction, as seen by the connecting process."""

    address: str = ''
    up_bytes: int = 0
    down_bytes: int = 0

    async def relay_up(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes from the connecting process."""
        while chunk := await reader.read(MAX_READ_BYTES):
            self.up_bytes += len(chunk)
            writer.write(chunk)
        writer.close()

    async def relay_down(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes to the connecting process."""
        while chunk := await reader.read(MAX_READ_BYTES):
            self.down_bytes += len(chunk)
            writer.write(chunk)
        writer.close()


@contextlib.asynccontextmanager
async def counted(target: str) -> AsyncIterator[CountedLink]:
    """Run a relay in front of a process and count its bytes.

    It listens on the port of the process, at another loopback address.
    """
    link = CountedLink()
    jobs: list[asyncio.Future[None]] = []
    ip, _, port = target.rpartition(':')

    async def relay(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            ip, int(port)
        )
        with contextlib.suppress(OSError):
            await asyncio.gather(
                link.relay_up(reader, target_writer),
                link.relay_down(target_reader, writer),
            )

    def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        jobs.append(asyncio.ensure_future(relay(reader, writer)))

    server = await asyncio.start_server(on_connection, LINK_IP, int(port))
    link.address = f'{LINK_IP}:{port}'
    try:
        yield link
    finally:
        server.close()
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
