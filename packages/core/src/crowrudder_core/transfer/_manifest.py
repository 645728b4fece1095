"""The manifest of a version: digests of each chunk and of the whole."""

from __future__ import annotations

import hashlib

import msgspec
from attrs import frozen

from crowrudder_model import CrowrudderError


class ManifestError(CrowrudderError):
    """Manifest bytes that are not what the declared files name."""


@frozen(kw_only=True)
class Manifest:
    """Digests (SHA-256, hexadecimal) of a version; sizes in bytes."""

    version: str
    chunk_bytes: int
    size: int
    digest: str
    chunks: tuple[str, ...]


def decode_manifest(payload: bytes, *, declared: str, peer: str) -> Manifest:
    """Check manifest bytes against the declared digest and decode them.

    Raises
    ------
    ManifestError
        When the bytes have another digest or are no manifest.
    """
    if hashlib.sha256(payload).hexdigest() != declared:
        raise ManifestError(
            'the manifest has another digest than the files declare',
            step='manifest',
            peer=peer,
        )
    try:
        return msgspec.json.decode(payload, type=Manifest)
    except msgspec.MsgspecError as exc:
        raise ManifestError(
            f'not a manifest: {exc}',
            step='manifest',
            peer=peer,
        ) from exc
