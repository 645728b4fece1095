"""The versions that this host holds, whole or in part."""

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
    transfer_of,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_daemon.chunks._artifact import Artifact
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.settings import WeightsSection

MOST_SPARE = 4
"""Versions no longer wanted of which chunks are still given to others."""


class Shelf:
    """Transfers and manifests by version, over one bounded store.

    The version before stays for others while there is room: a host that
    joins late, or a fleet that goes back, then needs no origin.

    Parameters
    ----------
    host
        The name by which other agents know this host; by default that of the
        settings.
    pace
        What the transfers' pace has otherwise than by the sizes and the link.
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
        """Give the bytes of a manifest of that digest, empty for none."""
        transfer = self.transfers.get(version)
        if transfer is None or transfer.manifest_digest != declared:
            return b''
        return self._manifests[version]

    def find(self, version: str, declared: str) -> Transfer | None:
        """Give the transfer of exactly this version, if there is one."""
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
        """Begin or go on with the weights of a manifest.

        ``changes`` are those of the pace for this version alone.

        Raises
        ------
        NoRoomError
            When it doesn't fit into the memory that the settings allow.
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
        self._forget_oldest()
        return transfer

    def drop_others(self, names: frozenset[str]) -> None:
        """Give up what is on its way for others than the wanted weights.

        Of a version that is whole the chunks are still given to others.
        """
        self._names = names
        for name, transfer in self.transfers.items():
            if name not in names and not transfer.complete:
                transfer.drop()

    def _wanted(self, but: str) -> list[Manifest]:
        return [
            transfer.manifest
            for name, transfer in self.transfers.items()
            if name in self._names and name != but
        ]

    def _begin(
        self,
        manifest: Manifest,
        declared: str,
        copies: int,
        changes: Mapping[str, Any],
    ) -> Transfer:
        return transfer_of(
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

    def _forget_oldest(self) -> None:
        """Drop the oldest of what is no longer wanted."""
        spare = [name for name in self.transfers if name not in self._names]
        for name in spare[:-MOST_SPARE]:
            self.transfers.pop(name).drop()
            self._manifests.pop(name)
