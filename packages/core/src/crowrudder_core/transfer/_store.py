"""Verified chunks by digest, shared by versions, within a bound."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_model import CrowrudderError, InvariantError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_core.transfer._manifest import Manifest


class NoRoomError(CrowrudderError):
    """The wanted versions need more memory than the settings allow."""


@define
class ChunkStore:
    """Chunks of all versions of a host, each held once.

    Invariants: a chunk is held only under its own SHA-256, and the held
    bytes never pass ``limit``. Chunks that no wanted version needs stay
    while there is room, for a version that goes back and for other hosts.

    Parameters
    ----------
    limit
        Most bytes held.
    """

    limit: int
    held_bytes: int = field(default=0, init=False)
    _payloads: dict[str, bytes] = field(factory=dict, init=False)
    _wanted: frozenset[str] = field(default=frozenset(), init=False)

    def __contains__(self, digest: str) -> bool:
        return digest in self._payloads

    def get(self, digest: str) -> bytes | None:
        """Give a chunk's bytes, if they are held."""
        return self._payloads.get(digest)

    def want(self, manifests: Iterable[Manifest]) -> None:
        """Say which versions shall be held; the others' chunks may go.

        Raises
        ------
        NoRoomError
            When they don't fit together; what was wanted before stays.
        """
        sizes: dict[str, int] = {}
        for manifest in manifests:
            sizes.update(manifest.sizes())
        needed = sum(sizes.values())
        if needed > self.limit:
            raise NoRoomError(
                f'the wanted versions have {needed} bytes, memory_bytes is '
                f'{self.limit}; raise it in [weights] or place fewer here',
                step='memory',
            )
        self._wanted = frozenset(sizes)

    def put(self, digest: str, payload: bytes) -> bool:
        """Hold a chunk; false when the bytes are corrupted.

        Raises
        ------
        InvariantError
            When no version wants it, or when it would pass the limit.
        """
        if hashlib.sha256(payload).hexdigest() != digest:
            return False
        if digest in self._payloads:
            return True
        if digest not in self._wanted:
            raise InvariantError('a chunk that nobody wants', step='store')
        self._make_room(len(payload))
        self._payloads[digest] = payload
        self.held_bytes += len(payload)
        return True

    def _make_room(self, size: int) -> None:
        """Drop what nobody wants, oldest first, until the chunk fits."""
        spare = [each for each in self._payloads if each not in self._wanted]
        for digest in spare:
            if self.held_bytes + size <= self.limit:
                return
            self.held_bytes -= len(self._payloads.pop(digest))
        if self.held_bytes + size > self.limit:
            raise InvariantError('more bytes than memory_bytes', step='store')
