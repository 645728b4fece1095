"""The weights that a host holds, and their exchange with other agents."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.membership import sample_ips
from crowrudder_core.transfer import (
    LinkShare,
    Place,
    ServiceHosts,
    chunks_of_layers,
    layers_of_range,
)
from crowrudder_daemon._ticks import until_tick_s
from crowrudder_daemon.chunks import (
    ChunkService,
    Collector,
    EngineStatus,
    PeerSource,
    TransferMetrics,
    UploadSlots,
    VersionStore,
    apply_inventory,
)
from crowrudder_daemon.fleet_agent._digests import (
    DigestReader,
    version_name,
)
from crowrudder_daemon.fleet_agent._goal import figures_of, model_of
from crowrudder_daemon.fleet_agent._load_schedule import reads_at_once
from crowrudder_daemon.fleet_agent._manifest_cache import ManifestCache
from crowrudder_daemon.fleet_agent._origin_chunks import OriginChunks
from crowrudder_daemon.settings import WeightsSection
from crowrudder_model.fleet import NO_LAYERS, LayerRange
from crowrudder_model.messages import ChunkInventory, InventoryReply

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_core.catalog import FleetView
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet import PeersTask, Tuning
    from crowrudder_daemon.fleet.ports import EnginePort, WeightsOriginPort
    from crowrudder_daemon.fleet_agent._digests import NamedManifest
    from crowrudder_daemon.fleet_agent._goal import Goal
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_model.fleet import Node

CHUNK_MEMORY_SHARE = 0.25
"""Share of the process's memory for chunks: the rest is for the interpreter, the
libraries and data in transit."""

INVENTORY_INTERVAL_S = 0.08
"""Interval of inventory messages to other agents while chunks are fetched.

A chunk takes about as long on a slow link (5 Mbit/s)."""

IDLE_INVENTORY_INTERVAL_S = 0.4
"""Interval of inventory messages while nothing is fetched."""

MAX_NEIGHBOURS = 12
"""Number of other agents that receive the chunk inventory."""

MAX_REMOTE_NEIGHBOURS = 4
"""How many of these are in other regions, if the own region has enough agents:
most chunks come from the own region, and traffic between regions is scarce and
costs money."""

MAX_UNUSED_VERSIONS = 16
"""Versions that this host doesn't read and whose inventories are kept: one of a
new version may arrive before the version itself."""

MAX_REPORTING_HOSTS = 1024
"""Hosts whose inventory of one version is kept."""

TRANSFER_PACING: dict[str, Any] = {
    'poll_s': 1.0,
    'starved_s': 0.6,
    'origin_wait_s': 0.5,
    'even_turns': True,
    'gap_share': 0.5,
    'spare_origin': True,
    'narrow_share': 0.25,
}
"""Transfer settings that differ from those derived from sizes and the link.

A window of a few seconds leaves no time to wait for a host that does not deliver
its chunks. Agents send inventories by datagram, so only silent ones are polled.
"""

BURST_S = 0.02


@frozen(kw_only=True)
class LayerPart:
    """Layers that a host fetches first, and their chunks (bits)."""

    layers: LayerRange = NO_LAYERS
    chunks: int = 0
    is_whole: bool = True


class Library:
    """Holds the chunks of a host, reports them to other agents and serves them."""

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
        self._hosts = ServiceHosts(host=node.ip)
        self._hosts.on_hosts(self._listed_places())
        self._changed = asyncio.Event()
        self._received: dict[str, dict[str, ChunkInventory]] = {}
        section = WeightsSection(
            memory_bytes=int(CHUNK_MEMORY_SHARE * node.memory_bytes),
            link_bytes_per_s=int(node.link_bytes_per_s),
            upload_slots=tuning.uploads_at_once,
            live_share=tuning.upload_share,
        )
        self.versions = VersionStore(
            runtime, section, host=node.ip, pace=TRANSFER_PACING
        )
        self._engine_status = EngineStatus()
        self._uplink = _link(section)
        # Inference requests are short, and their answers use the uplink.
        self._downlink = _link(section, live_share=1)
        self._watch = TransferMetrics(runtime, self.versions)
        self._source = PeerSource(client)
        self.manifests = ManifestCache(
            runtime,
            DigestReader(node.ip, origin, self._source, self.origin_address),
            self._address_of,
        )
        self._service = ChunkService(
            self.versions,
            self._engine_status,
            UploadSlots(section.upload_slots),
            self._uplink,
            self._watch.sent,
        )

    def serve(self, server: PeerServer) -> None:
        """Register the calls by which other agents read chunks."""
        self._service.serve(server)

    def chunks_received(self, ip: str, inventory: ChunkInventory) -> None:
        """Apply another agent's chunk inventory."""
        of_version = self._received.setdefault(inventory.version, {})
        if ip in of_version or len(of_version) < MAX_REPORTING_HOSTS:
            of_version[ip] = inventory
        self._drop_unused_versions()
        transfer = self.versions.find(inventory.version, inventory.manifest)
        if transfer is not None:
            _apply_inventory(transfer, ip, inventory)

    def _drop_unused_versions(self) -> None:
        """Drop the inventories of the oldest versions that nobody reads here."""
        unused = [
            name
            for name in self._received
            if name not in self.versions.transfers
        ]
        for name in unused[: max(len(unused) - MAX_UNUSED_VERSIONS, 0)]:
            del self._received[name]

    def on_change(self) -> None:
        """Apply a change of the published records."""
        self._hosts.on_hosts(self._listed_places())
        for name, transfer in self.versions.transfers.items():
            transfer.on_hosts(self._hosts.places)
            if not transfer.complete:
                transfer.preferred = self.part(name, transfer).chunks

    def on_live_traffic(self, running: int, *, link_delay_s: float = 0) -> None:
        """Make weights yield to streamed answers, and on a slow link to all.

        Parameters
        ----------
        running
            Number of running requests.
        link_delay_s
            Queueing delay of the host's link, in seconds.
        """
        now = asyncio.get_running_loop().time()
        self._uplink.on_live_traffic(0, running, now=now)
        rates = (self._uplink.adaptive, self._downlink.adaptive)
        is_full = any(each.is_fully_used(now) for each in rates)
        for rate in rates:
            rate.on_delay(link_delay_s, now=now, is_full=is_full)
        self._leave_origin_to_others(
            is_slow=any(each.is_limited for each in rates)
        )

    def _leave_origin_to_others(self, *, is_slow: bool) -> None:
        """Set whether other hosts are to read all chunks from the origin."""
        for transfer in self.versions.transfers.values():
            if transfer.origin.is_slow != is_slow:
                transfer.origin.is_slow = is_slow
                self._changed.set()

    def uses_link(self) -> bool:
        """Return whether chunks are fetched, or were sent of late."""
        now = asyncio.get_running_loop().time()
        return self._uplink.adaptive.is_in_use(now) or any(
            not (transfer.complete or transfer.dropped)
            for transfer in self.versions.transfers.values()
        )

    async def manifest(
        self, goal: Goal, *, is_urgent: bool = False
    ) -> NamedManifest:
        """Return a version's manifest, see `ManifestCache`.

        Parameters
        ----------
        is_urgent
            Whether the engine holds nothing: then the origin is asked at once.
            Otherwise, after a power cut, hosts wait up to 0.27 s for each
            other's inventories, while a manifest is only a five-hundredth of
            the size of a copy.
        """
        name = version_name(goal.model, goal.version)
        return await self.manifests.read(
            goal.model,
            goal.version,
            rank=0 if is_urgent else self._hosts.rank(name),
            inventories=lambda: self._received.get(name, {}),
        )

    def is_started(self, goal: Goal) -> bool:
        """Return whether any host has started to fetch a version."""
        name = version_name(goal.model, goal.version)
        known = self.manifests.known(goal.model, goal.version)
        return known is not None or bool(self._received.get(name))

    def holds_part_of(self, named: NamedManifest) -> bool:
        """Return whether any chunk of a version is held."""
        artifact = named.artifact
        transfer = self.versions.find(artifact.name, artifact.manifest)
        return transfer is not None and bool(transfer.held)

    def open(self, *wanted: NamedManifest) -> list[Transfer]:
        """Start or continue to fetch versions; drop all other transfers."""
        names = frozenset(named.artifact.name for named in wanted)
        if names != self._engine_status.wanted:
            self._engine_status.wanted = names
            self._changed.set()
        self.versions.drop_others(names)
        return [self._open(named) for named in wanted]

    async def import_staged(
        self,
        engine: EnginePort,
        model: str,
        transfer: Transfer,
    ) -> None:
        """Read back chunks already staged at the engine and verify them.

        Each chunk is verified on its own: an agent that was killed while it
        fetched a version leaves chunks of it among those of the previous one.
        """
        now = asyncio.get_running_loop().time
        for index in sorted(await engine.staged(model)):
            if index < transfer.count and not transfer.held >> index & 1:
                payload = await engine.get_chunk(model, index) or b''
                transfer.on_local_chunk(index, payload, now=now())

    def collector(self, named: NamedManifest, transfer: Transfer) -> Collector:
        """Return a collector that reads the missing chunks of a version."""
        model = named.artifact.name.rpartition('@')[0]
        return Collector(
            transfer,
            peers=self._source,
            origin=OriginChunks(
                self._origin, self.origin_address, model, named.version
            ),
            downlink=self._downlink,
            address_of=self._address_of,
            watch=self._watch,
            own_inventory=lambda: self._service.stock(
                named.artifact.name, transfer
            ),
        )

    async def send_inventories(self) -> None:
        """Send the chunk inventory to neighbours whenever it changes."""
        last_sent: dict[str, ChunkInventory] = {}
        while True:
            await self._wait_for_change()
            for inventory in self._inventories():
                if last_sent.get(inventory.version) != inventory:
                    last_sent[inventory.version] = inventory
                    self._peers.send(inventory, self._neighbours())

    def places(self) -> Mapping[str, Place]:
        """Return the places of the service's hosts by IP address."""
        return self._hosts.places

    def part(self, version: str, transfer: Transfer) -> LayerPart:
        """Return the layers of a version that this host fetches first."""
        figures = figures_of(self._view, self._node)
        layers = figures.layers if figures else 0
        if not layers:
            return LayerPart()
        number = self._hosts.layer_range(version)
        held = layers_of_range(number, self._hosts.layer_range_count, layers)
        return LayerPart(
            layers=held,
            chunks=chunks_of_layers(held, layers=layers, chunks=transfer.count),
            is_whole=held.is_complete(layers),
        )

    def origin_address(self) -> str:
        """Return the origin's address; empty while it is unknown."""
        config = self._view.config
        origin = config.origin if config else None
        return origin.origin if origin else ''

    def _listed_places(self) -> dict[str, Place]:
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

    def _open(self, named: NamedManifest) -> Transfer:
        artifact = named.artifact
        known = self.versions.find(artifact.name, artifact.manifest)
        is_new = known is None or not known.is_sound
        transfer = self.versions.open(
            named.payload,
            artifact,
            copies=self._tuning.origin_copies,
            changes=self._pacing_changes(artifact.name) if is_new else None,
        )
        if is_new:
            self._init_transfer(transfer)
        return transfer

    def _pacing_changes(self, version: str) -> dict[str, int]:
        hosts = self._hosts
        reads = reads_at_once(version, hosts.host, hosts.places)
        return {'reads_at_once': reads}

    def _init_transfer(self, transfer: Transfer) -> None:
        """Initialise a new transfer with known hosts and their inventories."""
        version = transfer.manifest.version
        self._changed.set()
        transfer.on_hosts(self._hosts.places)
        transfer.preferred = self.part(version, transfer).chunks
        for ip, inventory in self._received.get(version, {}).items():
            if inventory.manifest == transfer.manifest_digest:
                _apply_inventory(transfer, ip, inventory)

    async def _wait_for_change(self) -> None:
        """Wait for the next interval, or for a newly opened version."""
        is_collecting = any(
            not (transfer.complete or transfer.dropped)
            for transfer in self.versions.transfers.values()
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                INVENTORY_INTERVAL_S
                if is_collecting
                else until_tick_s(IDLE_INVENTORY_INTERVAL_S)
            ):
                await self._changed.wait()
        self._changed.clear()

    def _inventories(self) -> list[ChunkInventory]:
        found = []
        for name, transfer in self.versions.transfers.items():
            inventory = self._service.stock(name, transfer)
            found.append(
                ChunkInventory(
                    version=name,
                    manifest=transfer.manifest_digest,
                    chunks=inventory.chunks,
                    passes=inventory.passes,
                    wanted=inventory.wants,
                    slots=inventory.slots,
                ),
            )
        return found

    def _neighbours(self) -> list[str]:
        near, far = self._hosts.others_by_region
        chosen = sample_ips(
            near, MAX_NEIGHBOURS - MAX_REMOTE_NEIGHBOURS, self._random
        )
        return chosen + sample_ips(
            far, MAX_NEIGHBOURS - len(chosen), self._random
        )

    def _address_of(self, host: str) -> str:
        return f'{host}:{self._node.rpc_port}'


def _apply_inventory(
    transfer: Transfer, ip: str, inventory: ChunkInventory
) -> None:
    apply_inventory(
        transfer,
        InventoryReply(
            host=ip,
            version=inventory.version,
            chunks=inventory.chunks,
            loaded='',
            busy=inventory.busy,
            slots=inventory.slots,
            passes=inventory.passes,
            wants=inventory.wanted,
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
