"""The weights that a host holds, and its part in spreading them."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from crowrudder_core.transfer import LinkShare, Place
from crowrudder_daemon.agent.weights import (
    Artifact,
    ChunkService,
    Collector,
    EngineNote,
    NoSourceError,
    PeerSource,
    Shelf,
    UploadSlots,
    WeightsWatch,
    note_stock,
)
from crowrudder_daemon.fleet_agent._digests import (
    DigestReader,
    Named,
    version_name,
)
from crowrudder_daemon.fleet_agent._goals import model_of
from crowrudder_daemon.fleet_agent._turn import reads_at_once
from crowrudder_daemon.http import NotConnectedError
from crowrudder_daemon.settings import WeightsSection
from crowrudder_model import ranked
from crowrudder_model.messages import ChunkNews, StockReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.catalog import FleetView
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet import PeersTask, Tuning
    from crowrudder_daemon.fleet.ports import EnginePort, WeightsOriginPort
    from crowrudder_daemon.fleet_agent._goals import Goal
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_model.fleet import Node

MEMORY_PART = 0.25
"""Part of the process's memory that chunks may take: the rest is for the
interpreter, the libraries and what is on its way."""

NEWS_S = 0.08
"""Between two words to other agents on the chunks held, while they change.

A chunk takes about as long on a slow link (5 Mbit/s)."""

RANK_WAIT_S = 0.03
"""The agents ask the origin for a manifest one after the other, so far apart,
as long as no other agent has told that it has it."""

MOST_RANKS = 10
NEIGHBOURS = 12
PACE = {'starved_s': 0.6, 'origin_wait_s': 0.5}
"""What a transfer has otherwise than by the sizes and the link: a window of
some seconds leaves no time to wait for a host that doesn't bring its part.
With 0.3 s hosts were starved as a version began, before the first chunks came
round: by the model of `measure/_weights_fleet.py` a tenth of a copy was read
twice, and the origin needed 2.6 s for a whole one in place of 2.4 s.

More reads at once than the usual three, and two at the origin, made a sixth of
the streams late that ran as a transfer began: the links between regions filled.
"""

BURST_S = 0.02


class Library:
    """Owns the chunks of a host; tells other agents of them, and serves them."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        tuning: Tuning,
        *,
        view: FleetView,
        origin: WeightsOriginPort,
        peers: PeersTask,
        client: PeerClient,
    ) -> None:
        self._runtime = runtime
        self._node = node
        self._tuning = tuning
        self._view = view
        self._origin = origin
        self._peers = peers
        self._random = random.Random(runtime.incarnation)
        self._named: dict[str, Named] = {}
        self._doubted: set[str] = set()
        self._changed = asyncio.Event()
        self._heard: dict[str, dict[str, ChunkNews]] = {}
        section = WeightsSection(
            memory_bytes=int(MEMORY_PART * node.memory_bytes),
            link_bytes_per_s=int(node.link_bytes_per_s),
            upload_slots=tuning.uploads_at_once,
            live_share=tuning.upload_share,
        )
        self.shelf = Shelf(runtime, section, host=node.ip, pace=PACE)
        self._note = EngineNote()
        self._uplink = _link(section)
        # Requests to the engine are short; its answers go the other way.
        self._downlink = _link(section, live_share=1)
        self._watch = WeightsWatch(runtime, self.shelf)
        self._source = PeerSource(client)
        self._digests = DigestReader(
            node.ip, origin, self._source, self.origin_address
        )
        self._service = ChunkService(
            self.shelf,
            self._note,
            UploadSlots(section.upload_slots),
            self._uplink,
            self._watch.sent,
        )

    def serve(self, server: PeerServer) -> None:
        """Answer other agents."""
        self._service.serve(server)

    def chunks_heard(self, ip: str, news: ChunkNews) -> None:
        """Take another agent's word on the chunks that it holds."""
        self._heard.setdefault(news.version, {})[ip] = news
        transfer = self.shelf.find(news.version, news.manifest)
        if transfer is not None:
            _take_news(transfer, ip, news)

    def on_change(self) -> None:
        """Follow the published records."""
        places = self.places()
        for transfer in self.shelf.transfers.values():
            transfer.on_hosts(places)

    def on_live(self, running: int) -> None:
        """Let the uplink yield to answers that run."""
        now = asyncio.get_running_loop().time()
        self._uplink.on_live(0, running, now=now)

    async def manifest(self, goal: Goal) -> Named:
        """Give a version's manifest, the own one, a peer's or the origin's.

        Raises
        ------
        UpstreamError
            When nobody gave a sound one.
        """
        known = self.known(goal.model, goal.version)
        if known is not None:
            return known
        named = await self._from_peers(goal)
        if named is None:
            named = await self._digests.from_origin(goal.model, goal.version)
            # Read anew and the same: then its chunks come spoilt.
            self._doubted.discard(named.artifact.manifest)
        self._named[named.artifact.name] = named
        self._runtime.log.info(
            'manifest taken',
            extra={'step': 'digests', 'version': named.artifact.name},
        )
        return named

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

    def open(self, *wanted: Named) -> list[Transfer]:
        """Begin or go on with versions; all others are given up."""
        self._note.wanted = frozenset(named.artifact.name for named in wanted)
        self.shelf.drop_others(self._note.wanted)
        found = [self._open(named) for named in wanted]
        self._changed.set()
        return found

    async def take_staged(
        self,
        engine: EnginePort,
        model: str,
        transfer: Transfer,
    ) -> None:
        """Take what lies at the engine already, after verifying it.

        Each chunk by itself: an agent that was killed in the middle of a
        version has left some of it there, between those of the one before.
        """
        now = asyncio.get_running_loop().time
        for index in sorted(await engine.staged(model)):
            if index < transfer.count and not transfer.held >> index & 1:
                payload = await engine.get_chunk(model, index) or b''
                transfer.on_found(index, payload, now=now())

    def collector(self, named: Named, transfer: Transfer) -> Collector:
        """Give what reads the chunks that a version lacks."""
        model = named.artifact.name.rpartition('@')[0]
        return Collector(
            transfer,
            peers=self._source,
            origin=_OriginChunks(
                self._origin, self.origin_address, model, named.version
            ),
            downlink=self._downlink,
            address_of=self._address_of,
            watch=self._watch,
            own_stock=lambda: self._service.stock(
                named.artifact.name, transfer
            ),
        )

    async def tell_news(self) -> None:
        """Tell neighbours which chunks are held, whenever that changes."""
        told: dict[str, ChunkNews] = {}
        while True:
            await self._news_pause()
            for news in self._news():
                if told.get(news.version) != news:
                    told[news.version] = news
                    self._peers.tell(news, self._neighbours())

    def places(self) -> dict[str, Place]:
        """Give where the hosts of the service stand, by IP number."""
        place = self._node.place
        hosts = self._view.engine_hosts(model_of(self._view, self._node))
        places = {
            ip: Place(
                place.region_of(upstream.failure_domain),
                upstream.failure_domain,
            )
            for ip, upstream in hosts.items()
        }
        places[self._node.ip] = Place(place.region, place.failure_domain)
        return places

    def origin_address(self) -> str:
        """Give the origin's address; empty while it isn't known."""
        config = self._view.config
        origin = config.origin if config else None
        return origin.origin if origin else ''

    async def _from_peers(self, goal: Goal) -> Named | None:
        """Ask an agent that was heard to have it, if it comes soon."""
        if not goal.version:
            return None
        name = version_name(goal.model, goal.version)
        order = ranked(name, self.places())
        for _ in range(min(order.index(self._node.ip), MOST_RANKS)):
            for ip, news in list(self._heard.get(name, {}).items()):
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

    def _open(self, named: Named) -> Transfer:
        places = self.places()
        version = named.artifact.name
        transfer = self.shelf.open(
            named.payload,
            named.artifact,
            copies=self._tuning.origin_copies,
            changes={
                'reads_at_once': reads_at_once(version, self._node.ip, places)
            },
        )
        transfer.on_hosts(places)
        for ip, news in self._heard.get(named.artifact.name, {}).items():
            if news.manifest == named.artifact.manifest:
                _take_news(transfer, ip, news)
        return transfer

    async def _news_pause(self) -> None:
        """Wait for the next word; a version that has just come is told now."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NEWS_S):
                await self._changed.wait()
        self._changed.clear()

    def _news(self) -> list[ChunkNews]:
        found = []
        for name, transfer in self.shelf.transfers.items():
            stock = self._service.stock(name, transfer)
            found.append(
                ChunkNews(
                    version=name,
                    manifest=transfer.manifest_digest,
                    chunks=stock.chunks,
                    passes=stock.passes,
                    wanted=stock.wants,
                    slots=stock.slots,
                ),
            )
        return found

    def _neighbours(self) -> list[str]:
        others = [ip for ip in self.places() if ip != self._node.ip]
        return self._random.sample(others, min(len(others), NEIGHBOURS))

    def _address_of(self, host: str) -> str:
        return f'{host}:{self._node.rpc_port}'


class _OriginChunks:
    """The origin as the collector wants it: one version's chunks."""

    def __init__(
        self,
        origin: WeightsOriginPort,
        address: Callable[[], str],
        model: str,
        version: int,
    ) -> None:
        self._origin = origin
        self._address = address
        self._model = model
        self._version = version

    async def chunk(
        self,
        version: str,
        index: int,
        on_piece: Callable[[int], None],
    ) -> bytes:
        try:
            return await self._origin.chunk(
                self._address(),
                self._model,
                self._version,
                index,
                on_bytes=on_piece,
            )
        except NotConnectedError as exc:
            raise NoSourceError(
                exc.message, step=exc.step, peer=exc.peer
            ) from exc

    def distrust_store(self) -> None:
        """There is no store beside the origin."""


def _take_news(transfer: Transfer, ip: str, news: ChunkNews) -> None:
    note_stock(
        transfer,
        StockReply(
            host=ip,
            version=news.version,
            chunks=news.chunks,
            loaded='',
            busy=news.busy,
            slots=news.slots,
            passes=news.passes,
            wants=news.wanted,
        ),
        now=asyncio.get_running_loop().time(),
    )


def _link(
    section: WeightsSection,
    *,
    live_share: float | None = None,
) -> LinkShare:
    rate = float(section.link_bytes_per_s)
    return LinkShare(
        rate=rate,
        burst=BURST_S * rate,
        live_share=live_share or section.live_share,
    )
