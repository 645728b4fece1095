"""The task that keeps the engine at the version that was named."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.transfer import FromOrigin, LinkShare, Place
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.agent.weights import (
    Artifact,
    ChunkService,
    Collector,
    EngineNote,
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
from crowrudder_daemon.fleet_agent._turn import load_delay_s
from crowrudder_daemon.settings import WeightsSection
from crowrudder_model import CrowrudderError, UpstreamError
from crowrudder_model.messages import ChunkNews, StockReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.catalog import FleetView
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet import PeersTask, Tuning
    from crowrudder_daemon.fleet.ports import EnginePort, WeightsOriginPort
    from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_model.fleet import Node

MEMORY_PART = 0.25
"""Part of the process's memory that chunks may take: the rest is for the
interpreter, the libraries and what is on its way."""

NEWS_S = 0.08
"""Between two words to other agents on the chunks held, while they change."""

RETRY_S = 0.2
IDLE_S = 0.25
ANNOUNCE_S = 0.03
"""Entries have heard by then that requests should stay away."""

LOADED_WITHIN_S = 12.0
"""Longest wait for a load: what runs may take the callers' longest time."""

DIGEST_WAIT_S = 0.15
"""How long an agent waits for another's manifest before it asks the origin."""

NEIGHBOURS = 12
BURST_S = 0.02


@frozen
class Goal:
    """The version that the engine is to have; 0 for the origin's newest."""

    model: str
    version: int
    published_at: float


class WeightsKeeper:
    """Owns the chunks of a host and the orders to its engine."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        tuning: Tuning,
        *,
        view: FleetView,
        watch: EngineWatch,
        engine: EnginePort,
        origin: WeightsOriginPort,
        peers: PeersTask,
        client: PeerClient,
    ) -> None:
        self._runtime = runtime
        self._node = node
        self._tuning = tuning
        self._view = view
        self._watch = watch
        self._engine = engine
        self._origin = origin
        self._peers = peers
        self._random = random.Random(runtime.incarnation)
        self._named: Named | None = None
        self._hinders = ''
        section = WeightsSection(
            memory_bytes=int(MEMORY_PART * node.memory_bytes),
            link_bytes_per_s=int(node.link_bytes_per_s),
            upload_slots=tuning.uploads_at_once,
            live_share=tuning.upload_share,
        )
        self._shelf = Shelf(runtime, section, host=node.ip)
        self._note = EngineNote()
        self._slots = UploadSlots(section.upload_slots)
        self._uplink = _link(section)
        # Requests to the engine are short; its answers go the other way.
        self._downlink = _link(section, live_share=1)
        self._weights_watch = WeightsWatch(runtime, self._shelf)
        self._source = PeerSource(client)
        self._digests = DigestReader(
            node.ip, origin, self._source, self._origin_address
        )
        self._service = ChunkService(
            self._shelf,
            self._note,
            self._slots,
            self._uplink,
            self._weights_watch.sent,
        )
        self._heard: dict[str, dict[str, ChunkNews]] = {}
        self._orders = runtime.metrics.counter(
            'engine_orders',
            'Orders to load weights, by outcome.',
            labels=('outcome',),
        )

    def serve(self, server: PeerServer) -> None:
        """Answer other agents."""
        self._service.serve(server)

    @property
    def hinders(self) -> str:
        """What keeps the engine from the named version; empty for none."""
        return self._hinders

    def chunks_heard(self, ip: str, news: ChunkNews) -> None:
        """Take another agent's word on the chunks that it holds."""
        self._heard.setdefault(news.version, {})[ip] = news
        transfer = self._shelf.find(news.version, news.manifest)
        if transfer is not None:
            self._take_news(transfer, ip, news)

    def on_change(self) -> None:
        """Follow the published records."""
        goal = self._goal()
        if goal is None:
            return
        places = self._places(goal.model)
        for transfer in self._shelf.transfers.values():
            transfer.on_hosts(places)

    async def keep(self) -> None:
        """Pursue the goal for ever."""
        while True:
            goal = self._goal()
            if goal is None or self._watch.reading is None:
                await asyncio.sleep(IDLE_S)
                continue
            try:
                await self._pursue(goal)
            except CrowrudderError as exc:
                self._on_hindrance(exc)
                await asyncio.sleep(RETRY_S)

    async def tell_news(self) -> None:
        """Tell neighbours which chunks are held, whenever that changes."""
        told: dict[str, ChunkNews] = {}
        while True:
            await asyncio.sleep(NEWS_S)
            for news in self._news():
                if told.get(news.version) != news:
                    told[news.version] = news
                    self._peers.tell(news, self._neighbours())

    async def yield_to_live(self) -> None:
        """Tell the uplink whether answers run."""
        while True:
            await asyncio.sleep(NEWS_S)
            reading = self._watch.reading
            running = reading.running if reading else 0
            now = asyncio.get_running_loop().time()
            self._uplink.on_live(0, running, now=now)

    def status(self) -> dict[str, Any]:
        """Tell how far the versions on the shelf are."""
        goal = self._goal()
        return {
            'goal': goal.version if goal else 0,
            'hinders': self._hinders,
            'shares': {
                name: round(transfer.share, 3)
                for name, transfer in self._shelf.transfers.items()
            },
        }

    def _goal(self) -> Goal | None:
        config = self._view.config
        service = config.service(self._node.service) if config else None
        if service is None or service.engine is None:
            return None
        release = self._view.releases.newest(service.engine.model)
        if release is None:
            return Goal(service.engine.model, 0, clock_s())
        return Goal(service.engine.model, release.version, release.published_at)

    async def _pursue(self, goal: Goal) -> None:
        """Go one round: collect what the goal needs, then load it."""
        named = await self._manifest(goal)
        transfer = self._open(named)
        self.on_change()
        if not transfer.complete:
            await self._take_staged(goal.model, transfer)
        if not transfer.complete:
            await self._collect(goal, named, transfer)
            return
        reading = self._watch.reading
        if reading is not None and reading.weights < named.version:
            await self._load(goal, named, transfer)
            return
        self._hinders = ''
        await asyncio.sleep(IDLE_S)

    async def _manifest(self, goal: Goal) -> Named:
        known = self._named
        same = known is not None and known.artifact.name.startswith(
            f'{goal.model}@'
        )
        if known is not None and same and goal.version in {0, known.version}:
            return known
        named = await self._manifest_of_peer(goal)
        if named is None:
            named = await self._digests.from_origin(goal.model, goal.version)
        self._named = named
        self._runtime.log.info(
            'manifest taken',
            extra={'step': 'digests', 'version': named.artifact.name},
        )
        return named

    async def _manifest_of_peer(self, goal: Goal) -> Named | None:
        """Ask an agent that was heard to have it, if it comes soon."""
        if not goal.version:
            return None
        name = version_name(goal.model, goal.version)
        for _ in range(2):
            for ip, news in list(self._heard.get(name, {}).items()):
                named = await self._digests.from_peer(
                    self._address_of(ip),
                    Artifact(news.version, news.manifest),
                )
                if named is not None:
                    return named
            await asyncio.sleep(
                self._random.uniform(0, DIGEST_WAIT_S),
            )
        return None

    def _open(self, named: Named) -> Transfer:
        self._note.wanted = frozenset((named.artifact.name,))
        self._shelf.drop_others(self._note.wanted)
        transfer = self._shelf.open(
            named.payload,
            named.artifact,
            copies=self._tuning.origin_copies,
        )
        for ip, news in self._heard.get(named.artifact.name, {}).items():
            if news.manifest == named.artifact.manifest:
                self._take_news(transfer, ip, news)
        return transfer

    async def _take_staged(self, model: str, transfer: Transfer) -> None:
        """Take what lies at the engine already, after verifying it."""
        now = asyncio.get_running_loop().time
        for index in range(transfer.count):
            if transfer.held >> index & 1:
                continue
            payload = await self._engine.get_chunk(model, index)
            if payload is None:
                return
            if not transfer.on_chunk(FromOrigin(index), payload, now=now()):
                # Other weights lie there: the rest is read from elsewhere.
                return

    async def _collect(
        self,
        goal: Goal,
        named: Named,
        transfer: Transfer,
    ) -> None:
        self._hinders = f'collects {named.artifact.name}'
        collector = Collector(
            transfer,
            peers=self._source,
            origin=_OriginChunks(
                self._origin, self._origin_address, goal.model, named.version
            ),
            downlink=self._downlink,
            address_of=self._address_of,
            watch=self._weights_watch,
            own_stock=lambda: self._service.stock(
                named.artifact.name, transfer
            ),
        )
        began_at = clock_s()
        job = asyncio.ensure_future(collector.run())
        try:
            while not job.done():
                await asyncio.wait((job,), timeout=NEWS_S)
                if self._is_outdated(goal):
                    return
            await job
        finally:
            job.cancel()
        self._runtime.log.info(
            'version held',
            extra={
                'step': 'collect',
                'version': named.artifact.name,
                'took_s': round(clock_s() - began_at, 3),
                'origin_chunks': transfer.origin.spent,
            },
        )

    def _is_outdated(self, goal: Goal) -> bool:
        newest = self._goal()
        return newest is not None and newest.version > goal.version

    async def _load(
        self,
        goal: Goal,
        named: Named,
        transfer: Transfer,
    ) -> None:
        """Wait for the turn, stage, and order; then wait until it is loaded."""
        await self._await_turn(goal)
        if self._is_outdated(goal):
            return
        transfer.assert_whole()
        await self._stage(goal.model, transfer)
        self._watch.set_changing(is_changing=True)
        try:
            await asyncio.sleep(ANNOUNCE_S)
            await self._order(goal.model, named.version)
        finally:
            self._watch.set_changing(is_changing=False)

    async def _await_turn(self, goal: Goal) -> None:
        reading = self._watch.reading
        if reading is None or not reading.weights:
            return
        hosts = self._places(goal.model)
        due_at = goal.published_at + load_delay_s(
            version=f'{goal.model}@{goal.version}',
            host=self._node.ip,
            hosts=hosts,
            window_s=self._node.bounds.version_s,
        )
        while not self._is_outdated(goal):
            left_s = due_at - clock_s()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, NEWS_S))

    async def _stage(self, model: str, transfer: Transfer) -> None:
        """Hand over all chunks anew directly before the order.

        What was staged earlier may have become corrupted there, and a load
        takes what lies there unseen.
        """
        began_at = clock_s()
        for index in range(transfer.count):
            payload = transfer.chunk(index)
            if payload is None:
                raise UpstreamError('a chunk is missing', step='stage')
            await self._engine.put_chunk(model, index, payload)
        self._runtime.log.info(
            'version staged',
            extra={'step': 'stage', 'took_s': round(clock_s() - began_at, 3)},
        )

    async def _order(self, model: str, version: int) -> None:
        began_at = clock_s()
        taken = await self._engine.load(model, version)
        self._orders.add(outcome='taken' if taken else 'refused')
        if not taken:
            raise UpstreamError('the engine refused the order', step='order')
        while clock_s() - began_at < LOADED_WITHIN_S:
            reading = await self._watch.read_now()
            if reading is not None and reading.weights >= version:
                self._runtime.log.info(
                    'version loaded',
                    extra={
                        'step': 'order',
                        'version': version,
                        'took_s': round(clock_s() - began_at, 3),
                    },
                )
                return
            if reading is not None and not reading.is_busy:
                break
            await asyncio.sleep(NEWS_S / 2)
        raise UpstreamError('the engine did not take the version', step='order')

    def _on_hindrance(self, exc: CrowrudderError) -> None:
        self._hinders = str(exc)
        self._runtime.log.warning(
            'version not loaded yet',
            extra={'step': exc.step, 'reason': str(exc)},
        )

    def _news(self) -> list[ChunkNews]:
        found = []
        for name, transfer in self._shelf.transfers.items():
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

    def _take_news(self, transfer: Transfer, ip: str, news: ChunkNews) -> None:
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

    def _places(self, model: str) -> dict[str, Place]:
        place = self._node.place
        places = {
            ip: Place(
                place.region_of(upstream.failure_domain),
                upstream.failure_domain,
            )
            for ip, upstream in self._view.engine_hosts(model).items()
        }
        places[self._node.ip] = Place(place.region, place.failure_domain)
        return places

    def _neighbours(self) -> list[str]:
        goal = self._goal()
        places = self._places(goal.model) if goal else {}
        others = [ip for ip in places if ip != self._node.ip]
        return self._random.sample(others, min(len(others), NEIGHBOURS))

    def _address_of(self, host: str) -> str:
        return f'{host}:{self._node.rpc_port}'

    def _origin_address(self) -> str:
        config = self._view.config
        origin = config.origin if config else None
        return origin.origin if origin else ''


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
        payload = await self._origin.chunk(
            self._address(), self._model, self._version, index
        )
        on_piece(len(payload))
        return payload

    def distrust_store(self) -> None:
        """There is no store beside the origin."""


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
