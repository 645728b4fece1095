"""Serve chunks, manifests and the list of what is held to other agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_daemon.chunks._stock import note_stock, stock_of
from crowrudder_model.messages import (
    ChunkAsk,
    ChunkPiece,
    ManifestAsk,
    ManifestReply,
    StockAsk,
    StockReply,
)
from crowrudder_model.rpc import CHUNK, MANIFEST, STOCK

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from crowrudder_core.transfer import LinkShare, Transfer
    from crowrudder_daemon.chunks._shelf import Shelf
    from crowrudder_daemon.chunks._stock import EngineNote, UploadSlots
    from crowrudder_daemon.rpc import PeerServer

PIECE_BYTES = 256 * 1024
"""Bytes of a chunk that go out at once, where the link is a fast one."""

PIECE_S = 0.025
"""Longest time for which one piece takes the link.

An answer's event waits for the piece before it, and each piece wakes both
processes. On a slow link (5 Mbit/s) a whole chunk of 48 KB would hold the event
up by 80 ms; a piece is then some 16 KB.
"""

LEAST_PIECE_BYTES = 2048


class ChunkService:
    """The calls by which other agents read weights from this one."""

    def __init__(
        self,
        shelf: Shelf,
        note: EngineNote,
        slots: UploadSlots,
        uplink: LinkShare,
        on_sent: Callable[[int], None],
    ) -> None:
        self._shelf = shelf
        self._note = note
        self._slots = slots
        self._uplink = uplink
        self._on_sent = on_sent

    def serve(self, server: PeerServer) -> None:
        """Add the calls to the server."""
        server.add(STOCK, self.on_stock)
        server.add(MANIFEST, self.on_manifest)
        server.add(CHUNK, self.on_chunk)

    async def on_stock(self, ask: StockAsk, _context: object) -> StockReply:
        """Tell what is held of a version."""
        transfer = self._shelf.find(ask.version, ask.manifest)
        return self.stock(ask.version, transfer)

    async def on_manifest(
        self,
        ask: ManifestAsk,
        _context: object,
    ) -> ManifestReply:
        """Give a manifest."""
        payload = self._shelf.manifest(ask.version, ask.manifest)
        return ManifestReply(payload=payload)

    async def on_chunk(
        self,
        ask: ChunkAsk,
        _context: object,
    ) -> AsyncIterator[ChunkPiece]:
        """Send a chunk; its slot is held until the last piece is out."""
        transfer = self._shelf.find(ask.version, ask.manifest)
        if transfer is not None and ask.stock is not None:
            now = asyncio.get_running_loop().time()
            note_stock(transfer, ask.stock, now=now)
        payload = transfer.chunk(ask.index) if transfer else None
        stock = self.stock(ask.version, transfer)
        if payload is None:
            yield ChunkPiece(absent=True, stock=stock)
            return
        if not self._slots.take():
            yield ChunkPiece(busy=True, stock=stock)
            return
        try:
            async for piece in self._paced(payload, stock):
                yield piece
        finally:
            self._slots.release()

    async def _paced(
        self,
        payload: bytes,
        stock: StockReply,
    ) -> AsyncIterator[ChunkPiece]:
        """Cut a chunk into pieces, at the rate that the uplink has left.

        The link is reserved for the whole chunk at once: one that isn't
        taken off by its reader must not hold up those behind it.
        """
        yield ChunkPiece(stock=stock)
        loop = asyncio.get_running_loop()
        rate = self._uplink.weights_rate
        wait_s = self._uplink.reserve(len(payload), now=loop.time())
        starts_at = loop.time() + wait_s - len(payload) / rate
        size = _piece_bytes(self._uplink.rate)
        for start in range(0, len(payload), size):
            piece = payload[start : start + size]
            due_at = starts_at + (start + len(piece)) / rate
            await asyncio.sleep(max(due_at - loop.time(), 0))
            yield ChunkPiece(payload=piece)
        self._on_sent(len(payload))

    def stock(self, version: str, transfer: Transfer | None) -> StockReply:
        """Tell what is held of a version."""
        return stock_of(
            self._shelf.host,
            version,
            transfer,
            slots=self._slots,
            note=self._note,
        )


def _piece_bytes(link_bytes_per_s: float) -> int:
    fitting = int(PIECE_S * link_bytes_per_s)
    return min(max(fitting, LEAST_PIECE_BYTES), PIECE_BYTES)
