"""Stage verified weights and load them in the order of the rolling change."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from crowrudder_core.transfer import may_load, predecessors
from crowrudder_daemon.agent._orders import StagedWeights
from crowrudder_daemon.agent._run_messages import PauseRuns
from crowrudder_daemon.chunks._sources import VersionRef
from crowrudder_model import CrowrudderError

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.agent._orders import EngineOrderer
    from crowrudder_daemon.agent._runs import RunsTask
    from crowrudder_daemon.agent._upstream import EngineClient, EngineState
    from crowrudder_daemon.agent.weights._goal import Goal
    from crowrudder_daemon.chunks._sources import PeerSource
    from crowrudder_daemon.chunks._stock import EngineStatus
    from crowrudder_daemon.knowledge import Snapshot

TURN_POLL_INTERVAL_S = 0.2
EMPTY_DIGEST = hashlib.sha256(b'').hexdigest()


class Loader:
    """Loads complete weights into the engine.

    Parameters
    ----------
    on_progress
        Called with a description of the current step.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        orders: EngineOrderer,
        runs: RunsTask,
        peers: PeerSource,
        engine_status: EngineStatus,
        on_progress: Callable[[str], None],
    ) -> None:
        self._engine = engine
        self._orders = orders
        self._runs = runs
        self._peers = peers
        self._engine_status = engine_status
        self._set_blocking_reason = on_progress

    async def load(
        self,
        goal: Goal,
        transfer: Transfer,
        snapshot: Callable[[], Snapshot],
    ) -> EngineState:
        """Verify and stage the weights, wait for their turn, and load them.

        Raises
        ------
        InvariantError
            If the weights aren't complete.
        """
        await asyncio.to_thread(transfer.assert_complete)
        self._set_blocking_reason('hands the weights to the engine')
        await self._stage(transfer, goal.version.name)
        self._set_blocking_reason('waits for its turn in the rolling change')
        await self._wait_for_turn(goal, transfer, snapshot)
        self._engine_status.changing = True
        try:
            return await self._pause_and_order(goal, transfer)
        finally:
            self._engine_status.changing = False

    async def load_adapter(
        self,
        goal: Goal,
        name: str,
        transfer: Transfer | None,
    ) -> EngineState:
        """Load an adapter into the engine, which keeps serving its version.

        An adapter without a transfer is part of the version's own weights.
        """
        staged = StagedWeights(chunks=0, digest=EMPTY_DIGEST)
        if transfer is not None:
            await asyncio.to_thread(transfer.assert_complete)
            await self._stage(transfer, goal.version.name)
            staged = StagedWeights(
                chunks=transfer.count,
                digest=transfer.manifest.digest,
            )
        return await self._orders.load_adapter(goal.target, name, staged)

    async def _stage(self, transfer: Transfer, version: str) -> None:
        """Send the verified chunks to the engine, which keeps serving."""
        for index in range(transfer.count):
            payload = transfer.chunk(index)
            if payload is not None:
                await self._engine.put_chunk(version, index, payload)

    async def _wait_for_turn(
        self,
        goal: Goal,
        transfer: Transfer,
        snapshot: Callable[[], Snapshot],
    ) -> None:
        while True:
            if await self._is_turn(goal, snapshot(), transfer):
                return
            await asyncio.sleep(TURN_POLL_INTERVAL_S)

    async def _is_turn(
        self,
        goal: Goal,
        snapshot: Snapshot,
        transfer: Transfer,
    ) -> bool:
        members = {
            member.host: member.rpc_address
            for member in snapshot.hosts_of(goal.service.name)
        }
        preceding_hosts = predecessors(
            service=goal.service.name,
            version=goal.version.name,
            host=transfer.host,
            hosts=members,
            share=goal.service.rolling_share,
        )
        version_ref = VersionRef(
            transfer.host, goal.version.name, transfer.manifest_digest
        )
        loaded: dict[str, str] = {}
        for host in preceding_hosts:
            answer = await self._read_loaded_version(members[host], version_ref)
            if answer is not None:
                loaded[host] = answer
                break
        return may_load(
            goal.version.name,
            preceding_hosts,
            loaded,
            has_loaded=bool(self._engine_status.loaded),
        )

    async def _read_loaded_version(
        self, address: str, version_ref: VersionRef
    ) -> str | None:
        try:
            reply = await self._peers.stock(address, version_ref)
        except CrowrudderError:
            return None
        return '' if reply.changing else reply.loaded

    async def _pause_and_order(
        self,
        goal: Goal,
        transfer: Transfer,
    ) -> EngineState:
        idle = asyncio.get_running_loop().create_future()
        self._runs.post(PauseRuns(idle))
        self._set_blocking_reason('waits for running answers to end')
        await idle
        self._set_blocking_reason('the engine is loading')
        # The version may have been dropped while the answers ended, and the
        # process may resume here after a long pause.
        await asyncio.to_thread(transfer.assert_complete)
        manifest = transfer.manifest
        staged = StagedWeights(chunks=transfer.count, digest=manifest.digest)
        return await self._orders.load(goal.target, staged)
