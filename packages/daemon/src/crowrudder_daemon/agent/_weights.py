"""The task that brings the declared version to this host's engine."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.orders import Target
from crowrudder_core.transfer import (
    FromOrigin,
    FromPeer,
    Manifest,
    ManifestError,
    Transfer,
    decode_manifest,
    may_change,
    plan_reads,
)
from crowrudder_daemon._task import Task
from crowrudder_daemon.agent._orders import EngineOrderer, StagedWeights
from crowrudder_daemon.agent._required import required
from crowrudder_daemon.agent._runs import PauseRuns, ResumeRuns
from crowrudder_daemon.http import Fetcher
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model import (
    CrowrudderError,
    Member,
    PeerLostError,
    UpstreamError,
)
from crowrudder_model.messages import (
    ChunkAsk,
    ChunkReply,
    ManifestAsk,
    ManifestReply,
    StockAsk,
    StockReply,
)
from crowrudder_model.rpc import CHUNK, MANIFEST, STOCK

if TYPE_CHECKING:
    from crowrudder_daemon.agent._runs import RunsTask
    from crowrudder_daemon.agent._upstream import EngineClient, EngineState
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_model.declared import Service, Version

READS_AT_ONCE = 4
ROUND_S = 0.05
RETRY_S = 0.5
HTTP_OK = 200


@frozen
class SnapshotCame:
    """Configuration or members changed."""

    snapshot: Snapshot


@frozen
class _Goal:
    """What this host's engine shall answer with."""

    service: Service
    version: Version
    order: tuple[int, str]

    @property
    def target(self) -> Target:
        """What the engine is ordered."""
        generation, digest = self.order
        return Target(
            generation=generation,
            digest=digest,
            model=self.service.model,
            version=self.version.name,
        )


class WeightsTask(Task):
    """Owns the transfers of a host and the orders to its engine."""

    def __init__(
        self,
        runtime: Runtime,
        engine: EngineClient,
        runs: RunsTask,
        peers: PeerClient,
    ) -> None:
        super().__init__(runtime.log)
        weights = required(runtime.cfg.weights, 'weights')
        self._upload_slots = weights.upload_slots
        self._runtime = runtime
        self._engine = engine
        self._runs = runs
        self._peers = peers
        self._origin = Fetcher(weights.origin)
        self._store = Fetcher(weights.store) if weights.store else None
        self._host = runtime.cfg.process.host
        self._snapshot = Snapshot()
        self._goal: _Goal | None = None
        self._job: asyncio.Task[Any] | None = None
        self._transfer: Transfer | None = None
        self._manifests: dict[str, bytes] = {}
        self._stocks: dict[str, StockReply] = {}
        self._orders = EngineOrderer(engine)
        self._loaded = ''
        self._changing = False
        self._uploads = 0
        self._random = random.Random(runtime.incarnation)
        self.hinders = ''

    def serve(self, server: PeerServer) -> None:
        """Answer the calls of other agents."""
        server.add(STOCK, self._on_stock)
        server.add(MANIFEST, self._on_manifest)
        server.add(CHUNK, self._on_chunk)

    @property
    def loaded(self) -> str:
        """The version that the engine was last read back with."""
        return self._loaded

    @property
    def declared(self) -> str:
        """The version that this host shall have."""
        return self._goal.version.name if self._goal else ''

    @property
    def progress(self) -> float:
        """Share of the declared version's chunks held, 0 to 1."""
        if self._goal and self._loaded == self._goal.version.name:
            return 1
        return self._transfer.share if self._transfer else 0

    def on_snapshot_came(self, message: SnapshotCame) -> None:
        """Pursue the goal that the declared files give this host."""
        self._snapshot = message.snapshot
        goal = self._goal_of(message.snapshot)
        same = (
            goal is not None
            and self._goal is not None
            and goal.version == self._goal.version
            and goal.service.name == self._goal.service.name
        )
        self._goal = goal
        if same and self._job is not None and not self._job.done():
            return
        if self._job is not None:
            self._job.cancel()
        if goal is not None:
            self._job = self.spawn(self._pursue(goal))

    def _goal_of(self, snapshot: Snapshot) -> _Goal | None:
        service = snapshot.placement.get(self._host)
        if service is None or snapshot.bundle is None:
            return None
        declaration = snapshot.bundle.declaration
        version = declaration.version(service.version)
        if version is None:
            return None
        return _Goal(service, version, snapshot.order)

    async def _pursue(self, goal: _Goal) -> None:
        """Bring the engine to the goal's version, and keep it there."""
        while True:
            goal = self._goal or goal
            try:
                await self._reach(goal)
            except CrowrudderError as exc:
                self.hinders = str(exc)
                self._log.warning('not loaded yet: %s', exc)
                await asyncio.sleep(RETRY_S)
                continue
            self.hinders = ''
            await self._keep(goal)

    async def _keep(self, goal: _Goal) -> None:
        """Wait until the engine has something else, then stop the runs."""
        try:
            await self._orders.until_changed(goal.target)
        except CrowrudderError as exc:
            self._log.warning('the engine was not read: %s', exc)
            return
        self.hinders = 'the engine no longer shows the declared version'
        idle = asyncio.get_running_loop().create_future()
        self._runs.post(PauseRuns(idle))

    async def _reach(self, goal: _Goal) -> None:
        state = await self._orders.loaded(goal.target)
        if state is not None:
            self._note_loaded(goal, state)
            return
        transfer = await self._collect(goal)
        transfer.assert_whole()
        await self._stage(transfer)
        await self._await_turn(goal)
        await self._load(goal, transfer)

    async def _collect(self, goal: _Goal) -> Transfer:
        """Read chunks until all are held."""
        manifest = await self._manifest(goal)
        if self._transfer is None or self._transfer.manifest != manifest:
            self._transfer = Transfer(manifest)
        transfer = self._transfer
        transfer.reading.clear()
        reads: set[asyncio.Task[None]] = set()
        while not transfer.complete:
            self.hinders = 'weights are on their way'
            await self._ask_stocks(goal)
            for read in self._plan(goal, transfer, READS_AT_ONCE - len(reads)):
                transfer.on_started(read.index)
                reads.add(self.spawn(self._read(goal, transfer, read)))
            if not reads:
                await asyncio.sleep(ROUND_S)
                continue
            _, reads = await asyncio.wait(
                reads,
                timeout=ROUND_S * 4,
                return_when=asyncio.FIRST_COMPLETED,
            )
        return transfer

    def _plan(
        self,
        goal: _Goal,
        transfer: Transfer,
        room: int,
    ) -> list[FromPeer | FromOrigin]:
        peers = {
            host: _indices(stock.chunks)
            for host, stock in self._stocks.items()
            if stock.version == goal.version.name
        }
        idle = [
            host
            for host, stock in self._stocks.items()
            if stock.busy < stock.slots
        ]
        return plan_reads(
            version=goal.version.name,
            host=self._host,
            missing=transfer.missing(),
            peers=peers,
            idle_peers=idle,
            room=room,
            random=self._random,
        )

    async def _read(
        self,
        goal: _Goal,
        transfer: Transfer,
        read: FromPeer | FromOrigin,
    ) -> None:
        try:
            payload = await self._payload(goal, read)
        except CrowrudderError as exc:
            self._log.info('chunk %d not read: %s', read.index, exc)
            payload = b''
        if not payload or not transfer.on_chunk(read.index, payload):
            transfer.on_failed(read.index)

    async def _payload(
        self,
        goal: _Goal,
        read: FromPeer | FromOrigin,
    ) -> bytes:
        match read:
            case FromPeer(index=index, host=host):
                return await self._from_peer(goal, index, host)
            case FromOrigin(index=index):
                return await self._from_source(
                    f'/v1/weights/{goal.version.name}/chunks/{index}',
                )

    async def _from_peer(self, goal: _Goal, index: int, host: str) -> bytes:
        member = self._snapshot.member(host)
        if member is None:
            return b''
        ask = ChunkAsk(
            host=self._host,
            version=goal.version.name,
            manifest=goal.version.manifest,
            index=index,
        )
        reply = await self._peers.call(
            member.rpc_address,
            CHUNK,
            ask,
            timeout_s=30,
        )
        return reply.payload

    async def _from_source(self, path: str) -> bytes:
        """Read from the store, or from the origin where it has nothing."""
        if self._store is not None:
            answer = await self._store.fetch(path, timeout_s=60)
            if answer.status == HTTP_OK:
                return answer.body
        answer = await self._origin.fetch(path, timeout_s=60)
        if answer.status != HTTP_OK:
            raise UpstreamError(
                f'answered {answer.status}',
                step=path,
                peer=self._origin.address,
            )
        return answer.body

    async def _manifest(self, goal: _Goal) -> Manifest:
        version = goal.version
        known = self._manifests.get(version.name)
        if known is None:
            known = await self._manifest_from_peers(goal)
        if known is None:
            path = f'/v1/weights/{version.name}/manifest'
            known = await self._from_source(path)
        manifest = decode_manifest(
            known,
            declared=version.manifest,
            peer=self._origin.address,
        )
        self._manifests = {version.name: known}
        return manifest

    async def _manifest_from_peers(self, goal: _Goal) -> bytes | None:
        ask = ManifestAsk(
            version=goal.version.name,
            manifest=goal.version.manifest,
        )
        for member in self._peers_of(goal)[:2]:
            try:
                reply = await self._peers.call(
                    member.rpc_address,
                    MANIFEST,
                    ask,
                )
                decode_manifest(
                    reply.payload,
                    declared=goal.version.manifest,
                    peer=member.host,
                )
            except (PeerLostError, ManifestError):
                continue
            return reply.payload
        return None

    def _peers_of(self, goal: _Goal) -> list[Member]:
        peers = [
            member
            for member in self._snapshot.hosts_of(goal.service.name)
            if member.host != self._host
        ]
        self._random.shuffle(peers)
        return peers

    async def _ask_stocks(self, goal: _Goal) -> None:
        """Learn which chunks the other hosts hold."""
        replies = await asyncio.gather(
            *(self._ask_stock(goal, member) for member in self._peers_of(goal)),
        )
        self._stocks = {
            reply.host: reply for reply in replies if reply is not None
        }

    async def _ask_stock(
        self,
        goal: _Goal,
        member: Member,
    ) -> StockReply | None:
        ask = StockAsk(
            host=self._host,
            version=goal.version.name,
            manifest=goal.version.manifest,
        )
        try:
            return await self._peers.call(
                member.rpc_address,
                STOCK,
                ask,
                timeout_s=1,
            )
        except PeerLostError:
            return None

    async def _stage(self, transfer: Transfer) -> None:
        """Hand the verified chunks to the engine; it answers meanwhile."""
        version = transfer.manifest.version
        for index, payload in sorted(transfer.held.items()):
            await self._engine.put_chunk(version, index, payload)

    async def _await_turn(self, goal: _Goal) -> None:
        """Wait until this host may take its replica out of service."""
        while True:
            await self._ask_stocks(goal)
            loaded = {host: st.loaded for host, st in self._stocks.items()}
            loaded[self._host] = self._loaded
            if may_change(
                service=goal.service.name,
                version=goal.version.name,
                host=self._host,
                loaded=loaded,
                share=goal.service.rolling_share,
            ):
                return
            self.hinders = 'waits for its turn in the rolling change'
            await asyncio.sleep(ROUND_S * 4)

    async def _load(self, goal: _Goal, transfer: Transfer) -> None:
        """Let running answers end, then load and read the version back."""
        self._changing = True
        try:
            state = await self._pause_and_load(goal, transfer)
        finally:
            self._changing = False
        self._note_loaded(goal, state)

    async def _pause_and_load(
        self,
        goal: _Goal,
        transfer: Transfer,
    ) -> EngineState:
        idle = asyncio.get_running_loop().create_future()
        self._runs.post(PauseRuns(idle))
        self.hinders = 'waits for running answers to end'
        await idle
        self.hinders = 'the engine is loading'
        manifest = transfer.manifest
        staged = StagedWeights(
            chunks=len(manifest.chunks),
            digest=manifest.digest,
        )
        return await self._orders.load(goal.target, staged)

    def _note_loaded(self, goal: _Goal, state: EngineState) -> None:
        before = self._loaded
        self._loaded = state.version
        self._runs.post(
            ResumeRuns(goal.service.name, state.version, state.adapters),
        )
        if before != state.version:
            self._runtime.audit.note(
                kind='loaded_version',
                teller=self._engine.address,
                subject=goal.service.name,
                before=before,
                after=state.version,
            )

    async def _on_stock(self, ask: StockAsk, _context: object) -> StockReply:
        transfer = self._transfer
        same = transfer is not None and transfer.manifest.version == ask.version
        return StockReply(
            host=self._host,
            version=ask.version,
            chunks=transfer.bitmap() if same and transfer else b'',
            loaded=self._loaded,
            busy=self._uploads,
            slots=self._upload_slots,
            changing=self._changing,
        )

    async def _on_manifest(
        self,
        ask: ManifestAsk,
        _context: object,
    ) -> ManifestReply:
        return ManifestReply(payload=self._manifests.get(ask.version, b''))

    async def _on_chunk(self, ask: ChunkAsk, _context: object) -> ChunkReply:
        transfer = self._transfer
        if transfer is None or transfer.manifest.version != ask.version:
            return ChunkReply(payload=b'')
        if self._uploads >= self._upload_slots:
            return ChunkReply(payload=b'', busy=True)
        return ChunkReply(payload=transfer.held.get(ask.index, b''))


def _indices(bits: bytes) -> frozenset[int]:
    number = int.from_bytes(bits, 'little')
    return frozenset(
        index for index in range(number.bit_length()) if number >> index & 1
    )
