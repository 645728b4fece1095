"""Read the chunk digests of a version and build its manifest."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

import msgspec
from attrs import frozen

from crowrudder_core.transfer import Manifest, ManifestError, decode_manifest
from crowrudder_daemon.chunks import Artifact, VersionRef
from crowrudder_model import CrowrudderError, UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.chunks import PeerSource
    from crowrudder_daemon.fleet.ports import (
        ChunkDigests,
        WeightsOriginPort,
    )

MIN_AGREEING_READS = 2
"""Number of reads that must return the same digests. The origin may return wrong
bytes, and with one wrong digest a version would never be complete."""

MAX_READS = 6
READ_RETRY_S = 0.1
_DIGEST_DIGITS = 64


@frozen
class NamedManifest:
    """An encoded manifest and the artifact name that other agents use for it."""

    artifact: Artifact
    payload: bytes
    version: int


def version_name(model: str, version: int) -> str:
    """Return the name that agents use for a version of a model's weights.

    >>> version_name('m', 3)
    'm@3'
    """
    return f'{model}@{version}'


def build_manifest(digests: ChunkDigests) -> NamedManifest:
    """Build the manifest; equal digests give equal bytes on every host."""
    payload = msgspec.json.encode(
        Manifest(
            version=version_name(digests.model, digests.version),
            chunk_bytes=digests.chunk_bytes,
            size=digests.chunk_bytes * len(digests.digests),
            digest='',
            chunks=digests.digests,
        ),
    )
    declared = hashlib.sha256(payload).hexdigest()
    name = version_name(digests.model, digests.version)
    return NamedManifest(Artifact(name, declared), payload, digests.version)


class DigestReader:
    """Reads manifests from the origin or from another agent.

    Parameters
    ----------
    origin_address
        Returns the origin's address, empty while it is unknown.
    """

    def __init__(
        self,
        host: str,
        origin: WeightsOriginPort,
        peers: PeerSource,
        origin_address: Callable[[], str],
    ) -> None:
        self._host = host
        self._origin = origin
        self._peers = peers
        self._origin_address = origin_address

    async def from_origin(self, model: str, version: int) -> NamedManifest:
        """Read from the origin until enough reads agree.

        ``version`` 0 stands for the newest.

        Raises
        ------
        UpstreamError
            If they do not agree within the maximum number of reads.
        """
        counts: dict[ChunkDigests, int] = {}
        last: Exception | None = None
        for _ in range(MAX_READS):
            try:
                digests = await self._read(model, version)
            except UpstreamError as exc:
                last = exc
                await asyncio.sleep(READ_RETRY_S)
                continue
            counts[digests] = counts.get(digests, 0) + 1
            if counts[digests] >= MIN_AGREEING_READS:
                return build_manifest(digests)
        raise UpstreamError(
            f'no two reads of the digests agree: {last}',
            step='digests',
            peer=self._origin_address(),
        )

    async def from_peer(
        self, address: str, artifact: Artifact
    ) -> NamedManifest | None:
        """Read from an agent; None if it has no manifest of that digest."""
        version_ref = VersionRef(self._host, artifact.name, artifact.manifest)
        try:
            payload = await self._peers.manifest(address, version_ref)
            decode_manifest(payload, declared=artifact.manifest, peer=address)
        except (CrowrudderError, ManifestError):
            return None
        version = int(artifact.name.rpartition('@')[2])
        return NamedManifest(artifact, payload, version)

    async def _read(self, model: str, version: int) -> ChunkDigests:
        address = self._origin_address()
        if version:
            digests = await self._origin.digests_of(address, model, version)
        else:
            digests = await self._origin.digests(address, model)
        wrong_version = version not in {0, digests.version}
        if wrong_version or not _is_valid(digests, model):
            raise UpstreamError(
                'not the digests asked for',
                step='digests',
                peer=address,
            )
        return digests


def _is_valid(digests: ChunkDigests, model: str) -> bool:
    lengths = {len(digest) for digest in digests.digests}
    return (
        digests.model == model
        and digests.chunk_bytes > 0
        and lengths == {_DIGEST_DIGITS}
    )
