"""Serve chunks, manifests and inventories to other agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_daemon.chunks._stock import apply_inventory, build_inventory
from crowrudder_model.messages import (
    ChunkPiece,
    ChunkRequest,
    InventoryReply,
    InventoryRequest,
    ManifestReply,
    ManifestRequest,
)
from crowrudder_model.rpc import CHUNK, MANIFEST, STOCK

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from crowrudder_core.transfer import LinkShare, Transfer
    from crowrudder_daemon.chunks._stock import EngineStatus, UploadSlots
    from crowrudder_daemon.chunks._version_store import VersionStore
    from crowrudder_daemon.rpc import PeerServer

PIECE_BYTES = 256 * 1024
"""Largest piece of a chunk that is sent at once on a fast link."""

MAX_PIECE_S = 0.025
"""Longest time that one piece occupies the link.

An event of an answer waits for the piece before it, and each piece wakes both
processes. On a slow link (5 Mbit/s) a complete chunk of 48 KB would delay the
event by 80 ms; a piece is then about 16 KB.
"""

MIN_PIECE_BYTES = 2048


class ChunkService:
    """Serves the calls by which other agents read weights."""

    def __init__(
        self,
        versions: VersionStore,
        engine_status: EngineStatus,
        slots: UploadSlots,
        uplink: LinkShare,
        on_sent: Callable[[int], None],
    ) -> None:
        self._versions = versions
        self._engine_status = engine_status
        self._slots = slots
        self._uplink = uplink
        self._on_sent = on_sent

    def serve(self, server: PeerServer) -> None:
        """Register the calls with the server."""
        server.add(STOCK, self.on_inventory)
        server.add(MANIFEST, self.on_manifest)
        server.add(CHUNK, self.on_chunk)

    async def on_inventory(
        self, request: InventoryRequest, _context: object
    ) -> InventoryReply:
        """Return the inventory of a version."""
        transfer = self._versions.find(request.version, request.manifest)
        return self.stock(request.version, transfer)

    async def on_manifest(
        self,
        request: ManifestRequest,
        _context: object,
    ) -> ManifestReply:
        """Return a manifest."""
        payload = self._versions.manifest(request.version, request.manifest)
        return ManifestReply(payload=payload)

    async def on_chunk(
        self,
        request: ChunkRequest,
        _context: object,
    ) -> AsyncIterator[ChunkPiece]:
        """Send a chunk; its slot is held until the last piece is sent."""
        transfer = self._versions.find(request.version, request.manifest)
        if transfer is not None and request.stock is not None:
            now = asyncio.get_running_loop().time()
            apply_inventory(transfer, request.stock, now=now)
        payload = transfer.chunk(request.index) if transfer else None
        inventory = self.stock(request.version, transfer)
        if payload is None:
            yield ChunkPiece(absent=True, stock=inventory)
            return
        if self._uplink.adaptive.is_draining or not self._slots.take():
            yield ChunkPiece(busy=True, stock=inventory)
            return
        try:
            async for piece in self._paced(
                payload, inventory, request.bytes_per_s
            ):
                yield piece
        finally:
            self._slots.release()

    async def _paced(
        self,
        payload: bytes,
        inventory: InventoryReply,
        max_rate: int,
    ) -> AsyncIterator[ChunkPiece]:
        """Yield a chunk in pieces, at the rate that both hosts' links allow.

        The link is reserved for the complete chunk at once, so a slow reader
        does not delay the chunks behind it.
        """
        yield ChunkPiece(stock=inventory)
        loop = asyncio.get_running_loop()
        rate = self._uplink.weights_rate
        wait_s = self._uplink.reserve(len(payload), now=loop.time())
        due_at = loop.time() + wait_s - len(payload) / rate
        start = 0
        while start < len(payload):
            # The rate may change while the chunk is sent.
            rate = self._uplink.weights_rate
            rate = min(rate, max_rate) if max_rate > 0 else rate
            piece = payload[start : start + _piece_bytes(rate)]
            start += len(piece)
            due_at += len(piece) / rate
            await asyncio.sleep(max(due_at - loop.time(), 0))
            yield ChunkPiece(payload=piece)
            self._uplink.adaptive.on_carried(len(piece), now=loop.time())
        self._on_sent(len(payload))

    def stock(self, version: str, transfer: Transfer | None) -> InventoryReply:
        """Return the inventory of a version."""
        return build_inventory(
            self._versions.host,
            version,
            transfer,
            slots=self._slots,
            engine_status=self._engine_status,
        )


def _piece_bytes(link_bytes_per_s: float) -> int:
    piece_bytes = int(MAX_PIECE_S * link_bytes_per_s)
    return min(max(piece_bytes, MIN_PIECE_BYTES), PIECE_BYTES)
