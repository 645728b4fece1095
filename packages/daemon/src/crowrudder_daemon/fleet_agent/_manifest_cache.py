"""The manifests that a host goes by, and from whom it takes them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_daemon.chunks import Artifact
from crowrudder_daemon.fleet_agent._digests import version_name

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from crowrudder_daemon.fleet_agent._digests import DigestReader, Named
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.messages import ChunkNews

    Heard = Callable[[], Mapping[str, ChunkNews]]

RANK_WAIT_S = 0.03
"""The agents ask the origin for a manifest one after the other, so far apart,
as long as no other agent has told that it has it."""

MOST_RANKS = 10


class ManifestBook:
    """Owns the manifests by version, and those that are doubted.

    Parameters
    ----------
    digests
        Reads them from the origin or from another agent.
    address_of
        Gives the address of a host's agent.
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
        self._named: dict[str, Named] = {}
        self._doubted: set[str] = set()

    async def read(
        self, model: str, version: int, *, rank: int, heard: Heard
    ) -> Named:
        """Give a version's manifest, the own one, a peer's or the origin's.

        Parameters
        ----------
        rank
            The host's place among those that may ask the origin.
        heard
            Gives what other agents have told of the version, by host.

        Raises
        ------
        UpstreamError
            When nobody gave a sound one.
        """
        known = self.known(model, version)
        if known is not None:
            return known
        named = await self._from_peers(version, rank, heard)
        if named is None:
            named = await self._digests.from_origin(model, version)
            # Read anew and the same: then its chunks come spoilt.
            self._doubted.discard(named.artifact.manifest)
        self._named[named.artifact.name] = named
        self._runtime.log.info(
            'manifest taken',
            extra={'step': 'digests', 'version': named.artifact.name},
        )
        return named

    def known(self, model: str, version: int) -> Named | None:
        """Give a manifest that was read before; 0 for the newest."""
        if version:
            return self._named.get(version_name(model, version))
        of_model = [
            named
            for name, named in self._named.items()
            if name.startswith(f'{model}@')
        ]
        return max(of_model, key=lambda named: named.version, default=None)

    def doubt(self, named: Named) -> None:
        """Give a manifest up that the origin's chunks contradict.

        What goes wrong without it: the origin hands out a wrong digest to all
        who ask for a while; the version is whole nowhere, long after the
        origin is sound again. The next manifest comes from the origin, not
        from those who were given the same.
        """
        self._doubted.add(named.artifact.manifest)
        self._named.pop(named.artifact.name, None)
        self._runtime.log.warning(
            'manifest doubted',
            extra={'step': 'digests', 'version': named.artifact.name},
        )

    async def _from_peers(
        self, version: int, rank: int, heard: Heard
    ) -> Named | None:
        """Ask an agent that was heard to have it, if it comes soon."""
        if not version:
            return None
        for _ in range(min(rank, MOST_RANKS)):
            for ip, news in list(heard().items()):
                if news.manifest in self._doubted:
                    continue
                named = await self._digests.from_peer(
                    self._address_of(ip),
                    Artifact(news.version, news.manifest),
                )
                if named is not None:
                    return named
            await asyncio.sleep(RANK_WAIT_S)
        return None
