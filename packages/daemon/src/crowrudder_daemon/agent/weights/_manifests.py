"""Get a manifest, from the origin only where no other agent has it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_core.transfer import ManifestError, decode_manifest
from crowrudder_daemon.chunks._sources import Asked
from crowrudder_model import PeerLostError, ranked

if TYPE_CHECKING:
    from random import Random

    from crowrudder_daemon.agent.weights._origin_source import OriginSource
    from crowrudder_daemon.chunks import Artifact, PeerSource

TRY_S = 0.25
OTHERS_ASKED = 2


class ManifestReader:
    """Read manifests; they are small, but 1,800 hosts want one at once.

    The first host in rendezvous order reads it from the origin, and each
    further one only after as many tries at other agents.
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
        """Give a manifest whose digest is the declared one.

        ``members`` gives the addresses of the hosts that want it, by name.
        """
        order = ranked(f'{artifact.name}/manifest', members)
        own = order.index(self._host) if self._host in order else len(order)
        tries = 0
        while own > tries:
            payload = await self._from_peers(artifact, members, order)
            if payload:
                return payload
            tries += 1
            await asyncio.sleep(TRY_S)
        return await self._origin.manifest(artifact.name)

    async def _from_peers(
        self,
        artifact: Artifact,
        members: dict[str, str],
        order: list[str],
    ) -> bytes:
        others = [host for host in order[1:] if host != self._host]
        count = min(OTHERS_ASKED, len(others))
        for host in (order[0], *self._random.sample(others, count)):
            payload = await self._from_peer(artifact, members[host])
            if payload:
                return payload
        return b''

    async def _from_peer(self, artifact: Artifact, address: str) -> bytes:
        declared = artifact.manifest
        asked = Asked(self._host, artifact.name, declared)
        try:
            payload = await self._peers.manifest(address, asked)
            if payload:
                decode_manifest(payload, declared=declared, peer=address)
        except (PeerLostError, ManifestError):
            return b''
        return payload
