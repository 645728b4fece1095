"""Read chunks and manifests from other agents."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from crowrudder_model import CrowrudderError
from crowrudder_model.messages import (
    ChunkRequest,
    InventoryReply,
    InventoryRequest,
    ManifestRequest,
)
from crowrudder_model.rpc import CHUNK, MANIFEST, STOCK

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from crowrudder_daemon.rpc import PeerClient

STOCK_TIMEOUT_S = 1.0


class NoSourceError(CrowrudderError):
    """The source certainly sent no bytes of the chunk."""


@frozen
class PeerAnswer:
    """A peer's answer: the chunk or a refusal, and the peer's inventory."""

    payload: bytes
    stock: InventoryReply | None
    refused: bool


@frozen
class VersionRef:
    """The identification of a version in requests to other agents."""

    host: str
    version: str
    manifest: str


class PeerSource:
    """Reads weights from other agents."""

    def __init__(self, peers: PeerClient) -> None:
        self._peers = peers

    async def stock(
        self, address: str, version_ref: VersionRef
    ) -> InventoryReply:
        """Request an agent's inventory of a version."""
        request = InventoryRequest(
            host=version_ref.host,
            version=version_ref.version,
            manifest=version_ref.manifest,
        )
        return await self._peers.call(
            address,
            STOCK,
            request,
            timeout_s=STOCK_TIMEOUT_S,
        )

    async def manifest(self, address: str, version_ref: VersionRef) -> bytes:
        """Request a manifest; empty if the agent does not have it."""
        request = ManifestRequest(
            version=version_ref.version, manifest=version_ref.manifest
        )
        reply = await self._peers.call(address, MANIFEST, request)
        return reply.payload

    async def chunk(
        self,
        address: str,
        request: ChunkRequest,
        on_piece: Callable[[int], Awaitable[None]],
    ) -> PeerAnswer:
        """Read a chunk piece by piece.

        ``on_piece`` receives the size of each piece and delays the next one
        while the link is busy.
        """
        stream = self._peers.open(address, CHUNK, request)
        pieces: list[bytes] = []
        inventory = None
        refused = False
        try:
            async for piece in stream:
                await on_piece(len(piece.payload))
                pieces.append(piece.payload)
                inventory = piece.stock or inventory
                refused = refused or piece.busy or piece.absent
        finally:
            stream.cancel()
        return PeerAnswer(b''.join(pieces), inventory, refused)


class ChunkOrigin(Protocol):
    """Source of chunks that no other agent has."""

    async def chunk(
        self,
        version: str,
        index: int,
        on_piece: Callable[[int], None],
    ) -> bytes:
        """Read a chunk; ``on_piece`` receives the size of each piece."""

    def on_bad_store_chunk(self) -> None:
        """Stop reading from a store whose copy returned wrong bytes."""
