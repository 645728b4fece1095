"""The task that keeps this host's engine at the declared version."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.transfer import LinkShare
from crowrudder_daemon._task import Task
from crowrudder_daemon.agent._orders import EngineOrderer
from crowrudder_daemon.agent._required import required
from crowrudder_daemon.agent._run_messages import PauseRuns, ResumeRuns
from crowrudder_daemon.agent.weights._goal import (
    Goal,
    goal_of,
    is_withdrawn,
    places_of,
)
from crowrudder_daemon.agent.weights._loading import Loader
from crowrudder_daemon.agent.weights._manifests import ManifestReader
from crowrudder_daemon.agent.weights._origin_source import OriginSource
from crowrudder_daemon.agent.weights._progress_line import progress_line
from crowrudder_daemon.chunks import Artifact
from crowrudder_daemon.chunks._collect import Collector
from crowrudder_daemon.chunks._metrics import TransferMetrics
from crowrudder_daemon.chunks._sources import PeerSource
from crowrudder_daemon.chunks._stock import EngineStatus, UploadSlots
from crowrudder_daemon.chunks._uploads import ChunkService
from crowrudder_daemon.chunks._version_store import VersionStore
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model import CrowrudderError, InvariantError

if TYPE_CHECKING:
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.agent._runs import RunsTask
    from crowrudder_daemon.agent._upstream import EngineClient, EngineState
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_daemon.settings import WeightsSection

RETRY_INTERVAL_S = 0.5
LIVE_LOAD_INTERVAL_S = 0.2
LINK_BURST_S = 0.05
WITHDRAW_AFTER_S = 5.0
"""How long a host must be without a service before it stops serving."""


@frozen
class SnapshotReceived:
    """The configuration or the members changed."""

    snapshot: Snapshot


class WeightsTask(Task):
    """Owns the transfers of a host and brings its engine to the goal."""

    def __init__(
        self,
        runtime: Runtime,
        engine: EngineClient,
        runs: RunsTask,
        peers: PeerClient,
    ) -> None:
        super().__init__(runtime.log)
        weights = required(runtime.cfg.weights, 'weights')
        self._blocking_reason = ''
        self._active_transfer: Transfer | None = None
        self._runtime = runtime
        self._engine = engine
        self._runs = runs
        self._host = runtime.cfg.process.host
        self._snapshot = Snapshot()
        self._goal: Goal | None = None
        self._job: asyncio.Task[Any] | None = None
        self._engine_status = EngineStatus()
        self._versions = VersionStore(runtime, weights)
        self._watch = TransferMetrics(runtime, self._versions)
        self._downlink = _link_share(weights)
        self._uplink = _link_share(weights)
        self._peers = PeerSource(peers)
        self._origin = OriginSource(weights)
        self._manifests = ManifestReader(
            self._host,
            self._peers,
            self._origin,
            random.Random(runtime.incarnation),
        )
        self._orders = EngineOrderer(engine)
        self._loader = Loader(
            engine=engine,
            orders=self._orders,
            runs=runs,
            peers=self._peers,
            engine_status=self._engine_status,
            on_progress=self._set_blocking_reason,
        )
        self._service = ChunkService(
            self._versions,
            self._engine_status,
            UploadSlots(weights.upload_slots),
            self._uplink,
            self._watch.sent,
        )

    def serve(self, server: PeerServer) -> None:
        """Register the calls of other agents on the server."""
        self._service.serve(server)

    def start(self) -> None:
        """Start the loop and the reporting of live load to the link shares."""
        super().start()
        self.spawn(self._report_live_load())

    @property
    def blocking_reason(self) -> str:
        """Why the engine lacks the declared version; empty if it has it."""
        if self._active_transfer is None:
            return self._blocking_reason
        now = asyncio.get_running_loop().time()
        return progress_line(self._active_transfer, now=now)

    @property
    def loaded(self) -> str:
        """The version that the engine last reported."""
        return self._engine_status.loaded

    @property
    def declared(self) -> str:
        """The version that is declared for this host."""
        return self._goal.version.name if self._goal else ''

    @property
    def progress(self) -> float:
        """Share of the declared version's chunks held, 0 to 1."""
        if self._goal and self.loaded == self.declared:
            return 1
        transfer = self._versions.transfers.get(self.declared)
        return transfer.share if transfer else 0

    def status(self) -> list[dict[str, Any]]:
        """Return the progress and wait reasons of each transfer."""
        now = asyncio.get_running_loop().time()
        return [
            {
                'version': name,
                'share': transfer.share,
                'bytes_per_s': transfer.progress.rate(now),
                'waits_for': transfer.waits_for(),
                'ends_in_s': transfer.progress.left_s(now),
                'origin_chunks': transfer.origin.spent,
                'origin_reasons': dict(transfer.origin.reasons),
                'dropped': transfer.dropped,
            }
            for name, transfer in self._versions.transfers.items()
        ]

    def on_snapshot_received(self, message: SnapshotReceived) -> None:
        """Update the goal and start or keep the job that reaches it."""
        self._snapshot = message.snapshot
        goal = goal_of(message.snapshot, self._host)
        if goal is None and not is_withdrawn(message.snapshot, self._host):
            return
        before, self._goal = self._goal, goal
        self._engine_status.wanted = goal.names if goal else frozenset()
        self._update_hosts()
        if not self._is_job_current(before):
            self._start_job()

    def _is_job_current(self, before: Goal | None) -> bool:
        """Return whether the running job still fits the goal."""
        if self._job is None:
            return False
        if self._goal is None:
            return before is None
        return self._goal.has_same_weights(before) and not self._job.done()

    def _start_job(self) -> None:
        """Replace the previous job by one for the current goal."""
        if self._job is not None:
            self._job.cancel()
            self._job = None
        self._versions.drop_others(self._engine_status.wanted)
        goal = self._goal
        coroutine = self._reconcile(goal) if goal else self._withdraw()
        self._job = self.spawn(coroutine)

    async def _withdraw(self) -> None:
        """Stop serving on a host on which no service is placed any more.

        Without this the host would keep answering with a version that no file
        declares. The delay keeps a flapping member list from stopping a
        replica.
        """
        await asyncio.sleep(WITHDRAW_AFTER_S)
        idle = asyncio.get_running_loop().create_future()
        self._runs.post(PauseRuns(idle))
        await idle
        before, self._engine_status.loaded = self._engine_status.loaded, ''
        self._blocking_reason = ''
        if before:
            self._runtime.audit.note(
                kind='loaded_version',
                teller='configuration',
                subject='withdrawn',
                before=before,
                after='',
            )

    def _update_hosts(self) -> None:
        """Update the hosts and their places in the active transfers."""
        if self._goal is None:
            return
        places = places_of(self._snapshot, self._goal.service.name)
        for name in self._goal.names & self._versions.transfers.keys():
            self._versions.transfers[name].on_hosts(places)

    async def _reconcile(self, goal: Goal) -> None:
        """Load the goal's version, and reload it whenever the engine loses it."""
        while True:
            goal = self._goal or goal
            try:
                await self._load_goal(goal)
            except CrowrudderError as exc:
                self._on_failure(exc)
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._blocking_reason = ''
            await self._watch_engine(goal)

    def _on_failure(self, exc: CrowrudderError) -> None:
        self._blocking_reason = str(exc)
        if isinstance(exc, InvariantError):
            self._watch.refused(exc)
        self._log.warning('not loaded yet: %s', exc)

    async def _watch_engine(self, goal: Goal) -> None:
        """Wait until the engine leaves the target version, then pause the runs."""
        try:
            await self._orders.wait_until_changed(goal.target)
        except CrowrudderError as exc:
            self._log.warning('the engine was not read: %s', exc)
            return
        self._engine_status.loaded = ''
        self._blocking_reason = (
            'the engine no longer shows the declared version'
        )
        idle = asyncio.get_running_loop().create_future()
        self._runs.post(PauseRuns(idle))

    async def _load_goal(self, goal: Goal) -> None:
        state = await self._orders.loaded(goal.target)
        if state is None:
            transfer = await self._collect(goal, goal.artifact)
            state = await self._loader.load(
                goal, transfer, lambda: self._snapshot
            )
        self._record_loaded(goal, state)
        for adapter in goal.adapters:
            if adapter.name not in state.adapters:
                await self._add_adapter(goal, adapter)

    async def _add_adapter(self, goal: Goal, adapter: Artifact) -> None:
        """Load an adapter into the engine, which keeps serving meanwhile."""
        transfer = None
        if adapter.manifest:
            transfer = await self._collect(goal, adapter)
        self._set_blocking_reason(f'the engine is loading {adapter.name}')
        state = await self._loader.load_adapter(goal, adapter.name, transfer)
        self._record_loaded(goal, state)

    async def _collect(self, goal: Goal, artifact: Artifact) -> Transfer:
        """Collect all chunks of a version or an adapter."""
        self._set_blocking_reason('waits for the manifest')
        payload = self._versions.manifest(artifact.name, artifact.manifest)
        if not payload:
            members = {
                member.host: member.rpc_address
                for member in self._snapshot.hosts_of(goal.service.name)
            }
            payload = await self._manifests.read(artifact, members)
        transfer = self._versions.open(
            payload,
            artifact,
            copies=goal.service.origin_copies,
        )
        self._update_hosts()
        collector = Collector(
            transfer,
            peers=self._peers,
            origin=self._origin,
            downlink=self._downlink,
            address_of=self._address_of,
            watch=self._watch,
            own_inventory=lambda: self._service.stock(artifact.name, transfer),
        )
        self._active_transfer = transfer
        try:
            await collector.run()
        finally:
            self._active_transfer = None
        return transfer

    def _record_loaded(self, goal: Goal, state: EngineState) -> None:
        before = self._engine_status.loaded
        self._engine_status.loaded = state.version
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

    async def _report_live_load(self) -> None:
        """Periodically report the traffic of live requests to the link shares."""
        seen = 0
        while True:
            await asyncio.sleep(LIVE_LOAD_INTERVAL_S)
            state = self._runs.state
            now = asyncio.get_running_loop().time()
            for link in (self._downlink, self._uplink):
                link.on_live_traffic(
                    state.sent_bytes - seen, state.running, now=now
                )
            seen = state.sent_bytes

    def _address_of(self, host: str) -> str | None:
        member = self._snapshot.member(host)
        return member.rpc_address if member else None

    def _set_blocking_reason(self, reason: str) -> None:
        self._blocking_reason = reason


def _link_share(weights: WeightsSection) -> LinkShare:
    rate = float(weights.link_bytes_per_s)
    return LinkShare(
        rate=rate,
        burst=LINK_BURST_S * rate,
        live_share=weights.live_share,
    )
