"""The aggregate of one version's transfer to one host."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_model import InvariantError

if TYPE_CHECKING:
    from crowrudder_core.transfer._manifest import Manifest


class ChunkState(enum.Enum):
    """What this host has of a chunk."""

    MISSING = 'missing'
    READING = 'reading'
    HELD = 'held'


@define
class Transfer:
    """Chunks of one version, each verified before it counts.

    Invariant: `whole` gives bytes only when every chunk and the whole match
    the manifest of exactly this version.
    """

    manifest: Manifest
    held: dict[int, bytes] = field(factory=dict, init=False)
    reading: set[int] = field(factory=set, init=False)

    @property
    def share(self) -> float:
        """Share of chunks held and verified, 0 to 1."""
        return len(self.held) / max(len(self.manifest.chunks), 1)

    @property
    def complete(self) -> bool:
        """Whether every chunk is held."""
        return len(self.held) == len(self.manifest.chunks)

    def state(self, index: int) -> ChunkState:
        """Give a chunk's state."""
        if index in self.held:
            return ChunkState.HELD
        if index in self.reading:
            return ChunkState.READING
        return ChunkState.MISSING

    def missing(self) -> list[int]:
        """Give the indices that are neither held nor being read."""
        return [
            index
            for index in range(len(self.manifest.chunks))
            if self.state(index) is ChunkState.MISSING
        ]

    def on_started(self, index: int) -> None:
        """Note that a read has begun."""
        self.reading.add(index)

    def on_failed(self, index: int) -> None:
        """Note that a read failed; the chunk is missing again."""
        self.reading.discard(index)

    def on_chunk(self, index: int, payload: bytes) -> bool:
        """Take a chunk; false when it is corrupted."""
        self.reading.discard(index)
        if hashlib.sha256(payload).hexdigest() != self.manifest.chunks[index]:
            return False
        self.held[index] = payload
        return True

    def bitmap(self) -> bytes:
        """Give the held chunks as bits, chunk 0 lowest."""
        bits = sum(1 << index for index in self.held)
        return bits.to_bytes(len(self.manifest.chunks) // 8 + 1, 'little')

    def assert_whole(self) -> None:
        """Verify the whole before anything of it is loaded.

        Raises
        ------
        InvariantError
            When a chunk is missing or the whole has another digest.
        """
        whole = hashlib.sha256()
        for index, _ in enumerate(self.manifest.chunks):
            whole.update(self.held.get(index, b''))
        if not self.complete or whole.hexdigest() != self.manifest.digest:
            raise InvariantError(
                f'{self.manifest.version} is not whole; it is not loaded',
                step='verify',
            )
