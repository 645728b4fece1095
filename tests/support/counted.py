"""A link between two processes that counts what goes over it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LINK_IP = '127.0.0.30'
PIECE_BYTES = 65_536


@define(eq=False)
class CountedLink:
    """Bytes in each direction, seen from the process that called."""

    address: str = ''
    up_bytes: int = 0
    down_bytes: int = 0

    async def up(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry what the caller sends."""
        while piece := await reader.read(PIECE_BYTES):
            self.up_bytes += len(piece)
            writer.write(piece)
        writer.close()

    async def down(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry what the caller gets."""
        while piece := await reader.read(PIECE_BYTES):
            self.down_bytes += len(piece)
            writer.write(piece)
        writer.close()


@contextlib.asynccontextmanager
async def counted(target: str) -> AsyncIterator[CountedLink]:
    """Stand before a process, so that its bytes are counted.

    It listens on the process's port, at another loopback address.
    """
    link = CountedLink()
    jobs: list[asyncio.Future[None]] = []
    ip, _, port = target.rpartition(':')

    async def carry(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        onward, back = await asyncio.open_connection(ip, int(port))
        with contextlib.suppress(OSError):
            await asyncio.gather(
                link.up(reader, back), link.down(onward, writer)
            )

    def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        jobs.append(asyncio.ensure_future(carry(reader, writer)))

    server = await asyncio.start_server(on_connection, LINK_IP, int(port))
    link.address = f'{LINK_IP}:{port}'
    try:
        yield link
    finally:
        server.close()
        for job in jobs:
            job.cancel()
        await asyncio.gather(*jobs, return_exceptions=True)
