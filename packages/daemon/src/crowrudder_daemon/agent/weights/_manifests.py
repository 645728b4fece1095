"""Read a manifest from other agents, or else from the origin."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_core.transfer import ManifestError, decode_manifest
from crowrudder_daemon.chunks._sources import VersionRef
from crowrudder_model import PeerLostError, ranked

if TYPE_CHECKING:
    from random import Random

    from crowrudder_daemon.agent.weights._origin_source import OriginSource
    from crowrudder_daemon.chunks import Artifact, PeerSource

RETRY_INTERVAL_S = 0.25
SAMPLED_PEERS = 2


class ManifestReader:
    """Reads manifests with a bounded load on the origin.

    Manifests are small, but 1,800 hosts request one at once. The host of rank
    0 in rendezvous order reads from the origin immediately; a host of rank N
    does so only after N failed rounds of requests to other agents.
    """

    def __init__(
        self,
        host: str,
        peers: PeerSource,
        origin: OriginSource,
        random: Random,
    ) -> None:
        self._host = host
        self._peers = peers
        self._origin = origin
        self._random = random

    async def read(
        self,
        artifact: Artifact,
        members: dict[str, str],
    ) -> bytes:
        """Return the manifest that has the declared digest.

        ``members`` holds the addresses of the hosts that need it, by name.
        """
        order = ranked(f'{artifact.name}/manifest', members)
        rank = order.index(self._host) if self._host in order else len(order)
        tries = 0
        while rank > tries:
            payload = await self._read_from_peers(artifact, members, order)
            if payload:
                return payload
            tries += 1
            await asyncio.sleep(RETRY_INTERVAL_S)
        return await self._origin.manifest(artifact.name)

    async def _read_from_peers(
        self,
        artifact: Artifact,
        members: dict[str, str],
        order: list[str],
    ) -> bytes:
        others = [host for host in order[1:] if host != self._host]
        count = min(SAMPLED_PEERS, len(others))
        for host in (order[0], *self._random.sample(others, count)):
            payload = await self._read_from_peer(artifact, members[host])
            if payload:
                return payload
        return b''

    async def _read_from_peer(self, artifact: Artifact, address: str) -> bytes:
        declared = artifact.manifest
        version_ref = VersionRef(self._host, artifact.name, declared)
        try:
            payload = await self._peers.manifest(address, version_ref)
            if payload:
                decode_manifest(payload, declared=declared, peer=address)
        except (PeerLostError, ManifestError):
            return b''
        return payload
