"""What the roles of a fleet have in common."""

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
    from crowrudder_model import Member
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import (
        ChunkNews,
        EngineLoad,
        LimitNews,
        LoadBatch,
        SuspectNews,
    )

RPC_GRACE_S = 0.2


class FleetRole:
    """Peers, published records and calls between processes.

    Parameters
    ----------
    source
        The store of published records.
    """

    settings: SettingsSource | None = None
    """Where the process's settings stand; None where they never change."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        source: PublishedSource,
    ) -> None:
        self.runtime = runtime
        self.node = node
        self.client = PeerClient()
        self.rpc = PeerServer(f'{node.ip}:{node.rpc_port}')
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
        """Listen for other processes and begin to learn."""
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
        """Follow settings that changed."""
        self.peers.set_seeds(node.seeds)

    async def stop(self) -> None:
        """Close everything."""
        await self.rpc.stop(RPC_GRACE_S)
        await self.catalog.stop()
        await self.peers.stop()
        await self.client.close()

    def members(self) -> tuple[Member, ...]:
        """List nothing: a fleet's processes have no published list."""
        return ()

    def bundle(self) -> bytes:
        """Give nothing: a fleet's configuration isn't one bundle."""
        return b''

    def on_change(self) -> None:
        """Follow the published records."""
        raise NotImplementedError

    def peer_heard(self, ip: str, revision: int, confirmed_s: float) -> None:
        """Pass a peer's word on the records on."""
        self.catalog.peer_heard(ip, revision, confirmed_s)

    def load_heard(self, load: EngineLoad) -> None:
        """Take no interest in engines."""

    def loads_heard(self, batch: LoadBatch) -> None:
        """Take no interest in engines."""

    def chunks_heard(self, ip: str, news: ChunkNews) -> None:
        """Take no interest in chunks."""

    def suspects_heard(self, ip: str, news: SuspectNews) -> None:
        """Take no interest in requests."""

    def limits_heard(self, ip: str, news: LimitNews) -> None:
        """Take no interest in limits."""
