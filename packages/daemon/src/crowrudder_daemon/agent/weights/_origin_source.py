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
"""Longest read of a chunk that makes progress; a stalled one ends earlier."""

STORE_BACKOFF_S = 10.0


class OriginSource:
    """Reads weights from the store, with the origin as fallback."""

    def __init__(self, weights: WeightsSection) -> None:
        self._origin = Fetcher(weights.origin)
        self._store = Fetcher(weights.store) if weights.store else None
        self._store_retry_at = 0.0

    def on_bad_store_chunk(self) -> None:
        """Skip the store temporarily: it is down, incomplete or corrupt."""
        now = asyncio.get_running_loop().time()
        self._store_retry_at = now + STORE_BACKOFF_S

    async def manifest(self, version: str) -> bytes:
        """Read a manifest."""
        return await self._read(f'/v1/weights/{version}/manifest', _ignore_size)

    async def chunk(
        self,
        version: str,
        index: int,
        on_piece: Callable[[int], None],
    ) -> bytes:
        """Read a chunk; ``on_piece`` receives the size of each piece in bytes.

        Raises
        ------
        NoSourceError
            If the source can't have sent any byte of it.
        UpstreamError
            If the source failed during the transfer.
        """
        path = f'/v1/weights/{version}/chunks/{index}'
        return await self._read(path, on_piece)

    async def _read(
        self,
        path: str,
        on_piece: Callable[[int], None],
    ) -> bytes:
        now = asyncio.get_running_loop().time()
        if self._store is not None and now >= self._store_retry_at:
            try:
                return await _fetch(self._store, path, on_piece)
            except NoSourceError:
                self.on_bad_store_chunk()
            except UpstreamError:
                self.on_bad_store_chunk()
                raise
        return await _fetch(self._origin, path, on_piece)


async def _fetch(
    source: Fetcher,
    path: str,
    on_piece: Callable[[int], None],
) -> bytes:
    try:
        answer = await source.fetch(
            path, timeout_s=SOURCE_TIMEOUT_S, on_bytes=on_piece
        )
    except UpstreamError as exc:
        if isinstance(exc.__cause__, ConnectionRefusedError):
            raise _no_source(source, path, 'refuses connections') from exc
        raise
    if answer.status != HTTP_OK:
        raise _no_source(source, path, f'answered {answer.status}')
    return answer.body


def _no_source(source: Fetcher, path: str, reason: str) -> NoSourceError:
    return NoSourceError(reason, step=path, peer=source.address)


def _ignore_size(_size: int) -> None:
    """Ignore the size of a manifest's pieces."""
