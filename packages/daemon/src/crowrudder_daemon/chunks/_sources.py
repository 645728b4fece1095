"""Read chunks and manifests from other agents, the store and the origin."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from crowrudder_daemon.http import Fetcher
from crowrudder_model import CrowrudderError, UpstreamError
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
    from crowrudder_daemon.settings import WeightsSection

HTTP_OK = 200
SOURCE_TIMEOUT_S = 3600.0
"""Longest read of a chunk that moves; one that stalls is ended earlier."""

STOCK_TIMEOUT_S = 1.0
STORE_CLOSED_S = 10.0


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


class OriginSource:
    """Weights from the store, or from the origin where it has nothing."""

    def __init__(self, weights: WeightsSection) -> None:
        self._origin = Fetcher(weights.origin)
        self._store = Fetcher(weights.store) if weights.store else None
        self._store_opens_at = 0.0

    def distrust_store(self) -> None:
        """Leave the store alone for a while: down, lacking or corrupted."""
        now = asyncio.get_running_loop().time()
        self._store_opens_at = now + STORE_CLOSED_S

    async def manifest(self, version: str) -> bytes:
        """Read a manifest."""
        return await self._read(f'/v1/weights/{version}/manifest', _ignore)

    async def chunk(
        self,
        version: str,
        index: int,
        on_piece: Callable[[int], None],
    ) -> bytes:
        """Read a chunk; ``on_piece`` gets the bytes of each piece.

        Raises
        ------
        NoSourceError
            When no byte of it can have been sent.
        UpstreamError
            When the source was lost on the way.
        """
        path = f'/v1/weights/{version}/chunks/{index}'
        return await self._read(path, on_piece)

    async def _read(
        self,
        path: str,
        on_piece: Callable[[int], None],
    ) -> bytes:
        now = asyncio.get_running_loop().time()
        if self._store is not None and now >= self._store_opens_at:
            try:
                return await _fetch(self._store, path, on_piece)
            except NoSourceError:
                self.distrust_store()
            except UpstreamError:
                self.distrust_store()
                raise
        return await _fetch(self._origin, path, on_piece)


async def _fetch(
    source: Fetcher,
    path: str,
    on_piece: Callable[[int], None],
) -> bytes:
    pieces: list[bytes] = []

    def take(piece: bytes) -> None:
        pieces.append(piece)
        on_piece(len(piece))

    try:
        answer = await source.fetch(
            path,
            timeout_s=SOURCE_TIMEOUT_S,
            on_piece=take,
        )
    except UpstreamError as exc:
        if isinstance(exc.__cause__, ConnectionRefusedError):
            raise _nothing(source, path, 'refuses connections') from exc
        raise
    if answer.status != HTTP_OK:
        raise _nothing(source, path, f'answered {answer.status}')
    return b''.join(pieces)


def _nothing(source: Fetcher, path: str, reason: str) -> NoSourceError:
    return NoSourceError(reason, step=path, peer=source.address)


def _ignore(_size: int) -> None:
    """Take no note of a manifest's pieces."""
