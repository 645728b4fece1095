"""Read chunks and manifests from other agents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from crowrudder_model import CrowrudderError
from crowrudder_model.messages import (
    ChunkAsk,
    ManifestAsk,
    StockAsk,
    StockReply,
)
from crowrudder_model.rpc import CHUNK, MANIFEST, STOCK

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from crowrudder_daemon.rpc import PeerClient

STOCK_TIMEOUT_S = 1.0


class NoSourceError(CrowrudderError):
    """A source surely sent nothing of the chunk."""


@frozen
class PeerAnswer:
    """What a peer sent: the chunk, or that it was busy; and what it holds."""

    payload: bytes
    stock: StockReply | None
    refused: bool


@frozen
class Asked:
    """A version as it is named towards other agents."""

    host: str
    version: str
    manifest: str


class PeerSource:
    """Weights from other agents."""

    def __init__(self, peers: PeerClient) -> None:
        self._peers = peers

    async def stock(self, address: str, asked: Asked) -> StockReply:
        """Ask what an agent holds."""
        ask = StockAsk(
            host=asked.host,
            version=asked.version,
            manifest=asked.manifest,
        )
        return await self._peers.call(
            address,
            STOCK,
            ask,
            timeout_s=STOCK_TIMEOUT_S,
        )

    async def manifest(self, address: str, asked: Asked) -> bytes:
        """Ask for a manifest; empty when the agent has none."""
        ask = ManifestAsk(version=asked.version, manifest=asked.manifest)
        reply = await self._peers.call(address, MANIFEST, ask)
        return reply.payload

    async def chunk(
        self,
        address: str,
        ask: ChunkAsk,
        on_piece: Callable[[int], Awaitable[None]],
    ) -> PeerAnswer:
        """Read a chunk piece by piece.

        ``on_piece`` gets the bytes of each piece, and holds up the next one
        as long as the link has no room.
        """
        stream = self._peers.open(address, CHUNK, ask)
        pieces: list[bytes] = []
        stock = None
        refused = False
        try:
            async for piece in stream:
                await on_piece(len(piece.payload))
                pieces.append(piece.payload)
                stock = piece.stock or stock
                refused = refused or piece.busy or piece.absent
        finally:
            stream.cancel()
        return PeerAnswer(b''.join(pieces), stock, refused)


class ChunkOrigin(Protocol):
    """Where chunks are read that no other agent has."""

    async def chunk(
        self,
        version: str,
        index: int,
        on_piece: Callable[[int], None],
    ) -> bytes:
        """Read a chunk; ``on_piece`` gets the bytes of each piece."""

    def distrust_store(self) -> None:
        """Leave a copy of the origin alone that gave wrong bytes."""
