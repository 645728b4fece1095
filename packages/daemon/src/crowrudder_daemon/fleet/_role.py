"""The base class of a fleet's roles."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_daemon.fleet._catalog_task import CatalogTask
from crowrudder_daemon.fleet._peers_task import PeersTask
from crowrudder_daemon.fleet._settings_watch import SettingsWatch
from crowrudder_daemon.rpc import PeerClient, PeerServer

if TYPE_CHECKING:
    from crowrudder_daemon.fleet._settings_watch import SettingsSource
    from crowrudder_daemon.fleet.ports import PublishedSource
    from crowrudder_daemon.process import Runtime
    from crowrudder_model import Member, StorePosition
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import (
        ChunkInventory,
        EngineLoad,
        LoadBatch,
        SuspicionUpdate,
    )
    from crowrudder_model.statements import LeavingUpdate, LimitUpdate

RPC_GRACE_S = 0.2

MAX_REQUEST_BYTES = 65_536
"""Longest request of another process: that of a chunk, with an inventory."""

MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Longest reply of another process: the records of the whole fleet. Chunks come
in pieces of 256 KB."""


class FleetRole:
    """Owns the peers, the published records and the calls of a process.

    Parameters
    ----------
    source
        The store of published records.
    """

    settings: SettingsSource | None = None
    """The source of the process's settings; None if they never change."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        source: PublishedSource,
    ) -> None:
        self.runtime = runtime
        self.node = node
        self.client = PeerClient(max_reply_bytes=MAX_REPLY_BYTES)
        self.rpc = PeerServer(
            f'{node.ip}:{node.rpc_port}', max_request_bytes=MAX_REQUEST_BYTES
        )
        self.peers = PeersTask(runtime, node, self)
        self.catalog = CatalogTask(
            runtime,
            node,
            source=source,
            peers=self.peers,
            client=self.client,
            on_change=self.on_change,
        )

    async def begin(self) -> None:
        """Listen for other processes and start to receive records."""
        self.catalog.serve(self.rpc)
        await self.rpc.start()
        await self.peers.open()
        self.catalog.start()
        if self.settings is not None:
            watch = SettingsWatch(
                self.runtime, self.node, self.settings, self.on_settings
            )
            self.runtime.spawn(watch.watch(), step='watch settings')

    def on_settings(self, node: Node) -> None:
        """Apply changed settings."""
        self.peers.set_seeds(node.seeds)

    async def stop(self) -> None:
        """Close everything."""
        await self.rpc.stop(RPC_GRACE_S)
        await self.catalog.stop()
        await self.peers.stop()
        await self.client.close()

    def members(self) -> tuple[Member, ...]:
        """Return nothing: a fleet's processes have no published member list."""
        return ()

    def bundle(self) -> bytes:
        """Return nothing: a fleet's configuration isn't one bundle."""
        return b''

    def on_change(self) -> None:
        """Apply changes of the published records."""
        raise NotImplementedError

    def peer_report_received(
        self, ip: str, position: StorePosition, confirmed_at: float | None
    ) -> None:
        """Forward a peer's position and confirmation age to the catalog."""
        self.catalog.peer_report_received(ip, position, confirmed_at)

    def load_received(self, load: EngineLoad) -> None:
        """Ignore load reports on engines."""

    def loads_received(self, batch: LoadBatch) -> None:
        """Ignore load reports on engines."""

    def chunks_received(self, ip: str, inventory: ChunkInventory) -> None:
        """Ignore inventories of chunks."""

    def suspects_received(self, ip: str, update: SuspicionUpdate) -> None:
        """Ignore reports on suspected requests."""

    def limits_received(self, ip: str, update: LimitUpdate) -> None:
        """Ignore reports on upstreams' limits."""

    def leaving_received(self, ip: str, update: LeavingUpdate) -> None:
        """Ignore reports on upstreams that leave."""
