"""Manifests that a host uses, and the sources it reads them from."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_daemon.chunks import Artifact
from crowrudder_daemon.fleet_agent._digests import version_name

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from crowrudder_daemon.fleet_agent._digests import (
        DigestReader,
        NamedManifest,
    )
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.messages import ChunkInventory

    ReceivedInventories = Callable[[], Mapping[str, ChunkInventory]]

RANK_WAIT_S = 0.03
"""Agents ask the origin for a manifest one after the other, at this interval, as
long as no other agent has reported that it holds it."""

MAX_RANKS = 10


class ManifestCache:
    """Holds manifests by version and the digests of distrusted ones.

    Parameters
    ----------
    digests
        Reads manifests from the origin or from another agent.
    address_of
        Returns the address of a host's agent.
    """

    def __init__(
        self,
        runtime: Runtime,
        digests: DigestReader,
        address_of: Callable[[str], str],
    ) -> None:
        self._runtime = runtime
        self._digests = digests
        self._address_of = address_of
        self._named: dict[str, NamedManifest] = {}
        self._distrusted: set[str] = set()

    async def read(
        self,
        model: str,
        version: int,
        *,
        rank: int,
        inventories: ReceivedInventories,
    ) -> NamedManifest:
        """Return a version's manifest: a known one, a peer's or the origin's.

        Parameters
        ----------
        rank
            The host's position among those that may ask the origin.
        inventories
            Returns the inventories received for the version, by host.

        Raises
        ------
        UpstreamError
            If no source returned a valid manifest.
        """
        known = self.known(model, version)
        if known is not None:
            return known
        named = await self._from_peers(version, rank, inventories)
        if named is None:
            named = await self._digests.from_origin(model, version)
            # A new read gave the same manifest: the chunks were corrupted.
            self._distrusted.discard(named.artifact.manifest)
        self._named[named.artifact.name] = named
        self._runtime.log.info(
            'manifest taken',
            extra={'step': 'digests', 'version': named.artifact.name},
        )
        return named

    def known(self, model: str, version: int) -> NamedManifest | None:
        """Return a manifest read earlier; version 0 stands for the newest."""
        if version:
            return self._named.get(version_name(model, version))
        of_model = [
            named
            for name, named in self._named.items()
            if name.startswith(f'{model}@')
        ]
        return max(of_model, key=lambda named: named.version, default=None)

    def distrust(self, named: NamedManifest) -> None:
        """Discard a manifest that contradicts the origin's chunks.

        If the origin returns a wrong digest to all readers for a while, the
        version would otherwise remain incomplete on every host long after the
        origin has recovered. The next manifest is read from the origin, not
        from agents that received the same wrong one.
        """
        self._distrusted.add(named.artifact.manifest)
        self._named.pop(named.artifact.name, None)
        self._runtime.log.warning(
            'manifest doubted',
            extra={'step': 'digests', 'version': named.artifact.name},
        )

    async def _from_peers(
        self, version: int, rank: int, inventories: ReceivedInventories
    ) -> NamedManifest | None:
        """Read from an agent that reports the version, waiting up to the rank."""
        if not version:
            return None
        for _ in range(min(rank, MAX_RANKS)):
            for ip, inventory in list(inventories().items()):
                if inventory.manifest in self._distrusted:
                    continue
                named = await self._digests.from_peer(
                    self._address_of(ip),
                    Artifact(inventory.version, inventory.manifest),
                )
                if named is not None:
                    return named
            await asyncio.sleep(RANK_WAIT_S)
        return None
