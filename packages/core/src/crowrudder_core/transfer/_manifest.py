"""The manifest of a version: digests of each chunk and of all its bytes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec
from attrs import frozen

from crowrudder_model import CrowrudderError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class ManifestError(CrowrudderError):
    """Manifest bytes that are invalid or differ from the declared digest."""


@frozen(kw_only=True)
class Manifest:
    """Digests (SHA-256, hexadecimal) of a version; sizes in bytes.

    ``digest`` covers the complete version; it is empty if the source states
    only the digests of the chunks.
    """

    version: str
    chunk_bytes: int
    size: int
    digest: str
    chunks: tuple[str, ...]

    def chunk_size(self, index: int) -> int:
        """Return the size of a chunk; the last one may be shorter."""
        return min(self.chunk_bytes, self.size - index * self.chunk_bytes)

    def size_of(self, chunks: Iterable[int]) -> int:
        """Return the total size of the chunks."""
        return sum(self.chunk_size(index) for index in chunks)

    def is_verified(self, chunk: Callable[[int], bytes | None]) -> bool:
        """Return whether all chunks and the complete version match.

        ``chunk`` returns a chunk's bytes by index. Hashing takes seconds for a
        large version.
        """
        version_hash = hashlib.sha256()
        for index, digest in enumerate(self.chunks):
            payload = chunk(index) or b''
            version_hash.update(payload)
            if hashlib.sha256(payload).hexdigest() != digest:
                return False
        return self.digest in {'', version_hash.hexdigest()}

    def sizes(self) -> dict[str, int]:
        """Return the size of each distinct chunk by its digest."""
        return {
            digest: self.chunk_size(index)
            for index, digest in enumerate(self.chunks)
        }


def decode_manifest(payload: bytes, *, declared: str, peer: str) -> Manifest:
    """Check manifest bytes against the declared digest and decode them.

    Raises
    ------
    ManifestError
        If the bytes have another digest or are not a manifest, or if the
        number of chunks does not match the sizes.
    """
    if hashlib.sha256(payload).hexdigest() != declared:
        raise ManifestError(
            'the manifest has another digest than the files declare',
            step='manifest',
            peer=peer,
        )
    try:
        manifest = msgspec.json.decode(payload, type=Manifest)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ManifestError(
            f'not a manifest: {exc}',
            step='manifest',
            peer=peer,
        ) from exc
    if not _fits(manifest):
        raise ManifestError(
            f'{len(manifest.chunks)} chunks of {manifest.chunk_bytes} bytes '
            f'are not {manifest.size} bytes; publish the version again',
            step='manifest',
            peer=peer,
        )
    return manifest


def _fits(manifest: Manifest) -> bool:
    if manifest.chunk_bytes <= 0 or manifest.size <= 0:
        return False
    return -(-manifest.size // manifest.chunk_bytes) == len(manifest.chunks)
