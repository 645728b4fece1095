"""Stage verified weights, wait for the turn, and have the engine load them."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from crowrudder_core.transfer import may_change, predecessors
from crowrudder_daemon.agent._orders import StagedWeights
from crowrudder_daemon.agent._run_messages import PauseRuns
from crowrudder_daemon.chunks._sources import Asked
from crowrudder_model import CrowrudderError

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.agent._orders import EngineOrderer
    from crowrudder_daemon.agent._runs import RunsTask
    from crowrudder_daemon.agent._upstream import EngineClient, EngineState
    from crowrudder_daemon.agent.weights._goal import Goal
    from crowrudder_daemon.chunks._sources import PeerSource
    from crowrudder_daemon.chunks._stock import EngineNote
    from crowrudder_daemon.knowledge import Snapshot

TURN_POLL_S = 0.2
EMPTY_DIGEST = hashlib.sha256(b'').hexdigest()


class Loader:
    """Brings whole weights into the engine.

    Parameters
    ----------
    say
        Takes the words on what is waited for.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
        orders: EngineOrderer,
        runs: RunsTask,
        peers: PeerSource,
        note: EngineNote,
        say: Callable[[str], None],
    ) -> None:
        self._engine = engine
        self._orders = orders
        self._runs = runs
        self._peers = peers
        self._note = note
        self._say = say

    async def load(
        self,
        goal: Goal,
        transfer: Transfer,
        snapshot: Callable[[], Snapshot],
    ) -> EngineState:
        """Verify, stage, wait for the turn, then order and read back.

        Raises
        ------
        InvariantError
            When the weights aren't whole.
        """
        await asyncio.to_thread(transfer.assert_whole)
        self._say('hands the weights to the engine')
        await self._stage(transfer, goal.version.name)
        self._say('waits for its turn in the rolling change')
        await self._await_turn(goal, transfer, snapshot)
        self._note.changing = True
        try:
            return await self._pause_and_order(goal, transfer)
        finally:
            self._note.changing = False

    async def load_adapter(
        self,
        goal: Goal,
        name: str,
        transfer: Transfer | None,
    ) -> EngineState:
        """Have the engine load an adapter beside its version, which answers on.

        An adapter without a transfer came with the version's own weights.
        """
        staged = StagedWeights(chunks=0, digest=EMPTY_DIGEST)
        if transfer is not None:
            await asyncio.to_thread(transfer.assert_whole)
            await self._stage(transfer, goal.version.name)
            staged = StagedWeights(
                chunks=transfer.count,
                digest=transfer.manifest.digest,
            )
        return await self._orders.load_adapter(goal.target, name, staged)

    async def _stage(self, transfer: Transfer, version: str) -> None:
        """Hand the verified chunks to the engine; it answers meanwhile."""
        for index in range(transfer.count):
            payload = transfer.chunk(index)
            if payload is not None:
                await self._engine.put_chunk(version, index, payload)

    async def _await_turn(
        self,
        goal: Goal,
        transfer: Transfer,
        snapshot: Callable[[], Snapshot],
    ) -> None:
        while True:
            if await self._is_turn(goal, snapshot(), transfer):
                return
            await asyncio.sleep(TURN_POLL_S)

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
        chain = predecessors(
            service=goal.service.name,
            version=goal.version.name,
            host=transfer.host,
            hosts=members,
            share=goal.service.rolling_share,
        )
        asked = Asked(
            transfer.host, goal.version.name, transfer.manifest_digest
        )
        loaded: dict[str, str] = {}
        for host in chain:
            answer = await self._loaded_of(members[host], asked)
            if answer is not None:
                loaded[host] = answer
                break
        return may_change(
            goal.version.name,
            chain,
            loaded,
            has_loaded=bool(self._note.loaded),
        )

    async def _loaded_of(self, address: str, asked: Asked) -> str | None:
        try:
            reply = await self._peers.stock(address, asked)
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
        self._say('waits for running answers to end')
        await idle
        self._say('the engine is loading')
        # The version may have been given up while the answers ended, and a
        # process may wake up here after a long pause.
        await asyncio.to_thread(transfer.assert_whole)
        manifest = transfer.manifest
        staged = StagedWeights(chunks=transfer.count, digest=manifest.digest)
        return await self._orders.load(goal.target, staged)
