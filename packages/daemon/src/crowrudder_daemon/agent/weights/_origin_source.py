"""Read chunks and manifests from the store and the origin."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_daemon.chunks import NoSourceError
from crowrudder_daemon.fetch import Fetcher
from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.settings import WeightsSection

HTTP_OK = 200
SOURCE_TIMEOUT_S = 3600.0
"""Longest read of a chunk that moves; one that stalls is ended earlier."""

STORE_CLOSED_S = 10.0


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
