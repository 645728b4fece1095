"""The versions that this host holds, complete or partial."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from crowrudder_core.transfer import (
    ChunkStore,
    Manifest,
    ManifestError,
    Place,
    Transfer,
    decode_manifest,
    start_transfer,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_daemon.chunks._artifact import Artifact
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.settings import WeightsSection

MAX_SPARE_VERSIONS = 4
"""Number of unwanted versions whose chunks are still served to other hosts."""


class VersionStore:
    """Holds transfers and manifests by version, over one bounded store.

    The previous version is kept for other hosts while memory allows: a host
    that joins late, or a fleet that rolls back, then does not need the origin.

    Parameters
    ----------
    host
        This host's name towards other agents; by default that of the settings.
    pace
        Pacing settings that differ from those derived from sizes and the link.
    """

    def __init__(
        self,
        runtime: Runtime,
        weights: WeightsSection,
        *,
        host: str = '',
        pace: Mapping[str, Any] | None = None,
    ) -> None:
        process = runtime.cfg.process
        self.host = host or process.host
        self._pace = pace or {}
        self.store = ChunkStore(weights.memory_bytes)
        self.transfers: dict[str, Transfer] = {}
        self._link_bytes_per_s = weights.link_bytes_per_s
        self._place = Place(process.region, process.failure_domain)
        self._manifests: dict[str, bytes] = {}
        self._names: frozenset[str] = frozenset()
        self._random = random.Random(runtime.incarnation)

    def manifest(self, version: str, declared: str) -> bytes:
        """Return the bytes of the manifest of that digest, empty if unknown."""
        transfer = self.transfers.get(version)
        if transfer is None or transfer.manifest_digest != declared:
            return b''
        return self._manifests[version]

    def find(self, version: str, declared: str) -> Transfer | None:
        """Return the transfer of exactly this version, if there is one."""
        transfer = self.transfers.get(version)
        if transfer is None or transfer.manifest_digest != declared:
            return None
        return transfer

    def open(
        self,
        payload: bytes,
        artifact: Artifact,
        *,
        copies: int,
        changes: Mapping[str, Any] | None = None,
    ) -> Transfer:
        """Start or continue the transfer of a manifest's weights.

        ``changes`` are pacing settings for this version only.

        Raises
        ------
        NoRoomError
            If it does not fit into the memory that the settings allow.
        """
        declared = artifact.manifest
        manifest = decode_manifest(payload, declared=declared, peer=self.host)
        if manifest.version != artifact.name:
            raise ManifestError(
                f'the manifest is of {manifest.version}, not {artifact.name}; '
                'declare the digest of the right one',
                step='manifest',
            )
        known = self.find(artifact.name, declared)
        self.store.want([*self._wanted(artifact.name), manifest])
        if known is not None and known.is_sound:
            return known
        transfer = self._begin(manifest, declared, copies, changes or {})
        self._manifests[manifest.version] = payload
        self.transfers.pop(manifest.version, None)
        self.transfers[manifest.version] = transfer
        self._drop_oldest_spare()
        return transfer

    def drop_others(self, names: frozenset[str]) -> None:
        """Drop incomplete transfers of all weights but the wanted ones.

        Chunks of complete versions are still served to other hosts.
        """
        self._names = names
        for name, transfer in self.transfers.items():
            if name not in names and not transfer.complete:
                transfer.drop()

    def _wanted(self, excluded: str) -> list[Manifest]:
        return [
            transfer.manifest
            for name, transfer in self.transfers.items()
            if name in self._names and name != excluded
        ]

    def _begin(
        self,
        manifest: Manifest,
        declared: str,
        copies: int,
        changes: Mapping[str, Any],
    ) -> Transfer:
        return start_transfer(
            manifest,
            manifest_digest=declared,
            host=self.host,
            place=self._place,
            store=self.store,
            link_bytes_per_s=self._link_bytes_per_s,
            random=self._random,
            copies=copies,
            changes={**self._pace, **changes},
        )

    def _drop_oldest_spare(self) -> None:
        """Drop the oldest versions that are no longer wanted."""
        spare = [name for name in self.transfers if name not in self._names]
        for name in spare[:-MAX_SPARE_VERSIONS]:
            self.transfers.pop(name).drop()
            self._manifests.pop(name)
