"""Bring a version that is held into the engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.transfer import full, indices
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_agent._goal import is_of_use, may_cut_off
from crowrudder_daemon.fleet_agent._load_schedule import load_delay_s
from crowrudder_model import InvariantError, UpstreamError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from crowrudder_core.catalog import FleetView
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet.ports import EnginePort
    from crowrudder_daemon.fleet_agent._digests import Named
    from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
    from crowrudder_daemon.fleet_agent._goal import Goal
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import LayerRange, Node

ANNOUNCE_S = 0.03
"""Entries have heard by then that requests should stay away."""

DRAIN_S = 0.7
"""How long what runs may go on before a load, see `_drain`."""

CLOSING_S = 0.4
"""How long before the end of its version an engine takes the order after which
it begins nothing more. It covers staging (0.02 s at the most), a look at the
engine (0.05 s) and a loop that is late; and entries take away what hasn't begun
0.3 s before the end: by then they have been told that it hasn't run, which is
worth more to a caller."""

LEAVE_PATHS_S = 1.0
"""From an agent's word that its engine gives a part up until it loads another
version; entries believe a word on a part for half of that."""

LOADED_WITHIN_S = 12.0
"""Longest wait for a load: what runs may take the callers' longest time."""

LOOK_S = 0.05
EARLY_S = 0.25
"""Between two looks for chunks to hand over early."""


@frozen
class Load:
    """A version to load, and the chunks (bits) that it takes."""

    model: str
    version: int
    chunks: int


class Loader:
    """Orders the engine; one load at a time."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        *,
        view: FleetView,
        engine: EnginePort,
        watch: EngineWatch,
    ) -> None:
        self._runtime = runtime
        self._node = node
        self._view = view
        self._engine = engine
        self._watch = watch
        self._staging = asyncio.Lock()
        self._at_work = asyncio.Lock()
        self._orders = runtime.metrics.counter(
            'engine_orders',
            'Orders to load weights, by outcome.',
            labels=('outcome',),
        )

    @property
    def is_at_work(self) -> bool:
        """Whether a load is under way, its drain included."""
        return self._at_work.locked()

    async def await_turn(
        self,
        goal: Goal,
        hosts: Iterable[str],
        is_outdated: Callable[[Goal], bool],
    ) -> None:
        """Wait for the host's turn, unless the engine has nothing to lose."""
        if not self._watch.whole:
            return
        due_at = goal.published_at + load_delay_s(
            version=f'{goal.model}@{goal.version}',
            host=self._node.ip,
            hosts=hosts,
            window_s=self._node.bounds.version_s,
            held_s=clock_s() - goal.published_at,
        )
        while not is_outdated(goal):
            left_s = due_at - clock_s()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, LOOK_S))

    async def load(self, goal: Goal, named: Named, transfer: Transfer) -> None:
        """Keep requests away, stage, order, and wait until it is loaded.

        Raises
        ------
        InvariantError
            When the weights aren't whole.
        UpstreamError
            When the engine didn't take them.
        """
        transfer.assert_whole()
        load = Load(goal.model, named.version, full(transfer.count))
        async with self._at_work:
            # Another load may have brought it, or a part of a newer version,
            # while this one waited.
            if self.is_of_use(load.model, load.version):
                await self._load_all(load, transfer)

    def is_of_use(self, model: str, version: int) -> bool:
        """Whether the engine gains by a version now, see `is_of_use`."""
        reading = self._watch.reading
        return is_of_use(
            version,
            whole=self._watch.whole,
            held=reading.weights if reading else 0,
            ends_at=self._view.releases.ends_at(model, version),
            now=clock_s(),
        )

    async def _load_all(self, load: Load, transfer: Transfer) -> None:
        if self._holds_part_of(load.version):
            await self._extend(load, transfer)
            return
        self._watch.set_changing(is_changing=True)
        try:
            await self._drain(load.model)
            may_cut = may_cut_off(self._view, self._node)
            await self._carry_out(load, transfer, may_cut_off=may_cut)
        finally:
            self._watch.set_changing(is_changing=False)

    async def load_layers(
        self, load: Load, transfer: Transfer, layers: LayerRange
    ) -> None:
        """Load some layers into an engine that nothing may begin on.

        What still runs on the version before ends first; to layers of the
        same version they are added beside the work.

        Raises
        ------
        InvariantError
            When a chunk of them isn't held.
        UpstreamError
            When the engine didn't take them.
        """
        # Each chunk is verified; that the rest was given up for a newer
        # version doesn't matter.
        if load.chunks & ~transfer.at_hand:
            raise InvariantError(
                f'a part of {transfer.manifest.version} is not held; it is '
                'not loaded',
                step='verify',
            )
        async with self._at_work:
            # Another load may have brought more while this one waited.
            if self._watch.whole >= load.version:
                return
            if self._holds_part_of(load.version, within=layers):
                await self._extend(load, transfer, layers)
            else:
                await self._change_to(load, transfer, layers)

    async def _extend(
        self, load: Load, transfer: Transfer, layers: LayerRange | None = None
    ) -> None:
        """Add layers of the engine's version, which it does beside its work."""
        self._watch.set_extending(is_extending=True)
        try:
            await self._carry_out(
                load, transfer, may_cut_off=False, layers=layers
            )
        finally:
            self._watch.set_extending(is_extending=False)

    async def _change_to(
        self, load: Load, transfer: Transfer, layers: LayerRange
    ) -> None:
        """Load layers in place of another version, or of too few others."""
        self._watch.set_changing(is_changing=True)
        try:
            await self._leave_paths()
            await self._carry_out(
                load, transfer, may_cut_off=False, layers=layers
            )
        finally:
            self._watch.set_changing(is_changing=False)

    async def _carry_out(
        self,
        load: Load,
        transfer: Transfer,
        *,
        may_cut_off: bool,
        layers: LayerRange | None = None,
    ) -> None:
        async with self._staging:
            await self._stage(load, transfer)
            began_at = clock_s()
            await self._order(load, may_cut_off=may_cut_off, layers=layers)
        await self._until_loaded(load.version, began_at, layers)

    def _holds_part_of(
        self, version: int, *, within: LayerRange | None = None
    ) -> bool:
        """Whether it holds some layers of a version, all within a range."""
        reading = self._watch.reading
        if reading is None or self._watch.whole:
            return False
        if reading.weights != version or not reading.layers:
            return False
        return within is None or within.covers(reading.layers)

    async def _leave_paths(self) -> None:
        """Give entries time to take the engine off their paths.

        What goes wrong without it: an entry goes by a word that the engine
        holds some layers of one version, and by the time that the request
        comes it holds the same layers of another: a token would be made by
        two versions.
        """
        reading = self._watch.reading
        if reading is not None and reading.layers and not self._watch.whole:
            await asyncio.sleep(LEAVE_PATHS_S)

    async def stage_early(self, goal: Goal, transfer: Transfer) -> None:
        """Hand chunks over as they come, until cancelled.

        Chunks that an agent holds are lost with it; at the engine its next
        life finds them. Nothing is loaded by that: a load stages all anew,
        and what comes here meanwhile waits for its order to be accepted, or
        the engine would take chunks of two versions.
        """
        done: set[int] = set()
        life = self._life
        while True:
            if life != self._life:
                # What was handed to the life before may be lost with it.
                life = self._life
                done.clear()
            held = {
                index
                for index in range(transfer.count)
                if transfer.held >> index & 1
            }
            for index in sorted(held - done):
                if not await self._stage_one(goal.model, index, transfer):
                    return
                done.add(index)
            await asyncio.sleep(EARLY_S)

    @property
    def _life(self) -> int:
        """The start of the engine's life, 0 where it isn't known."""
        reading = self._watch.reading
        return reading.started_ms if reading else 0

    async def _stage_one(
        self, model: str, index: int, transfer: Transfer
    ) -> bool:
        """Hand a chunk over; false where the engine didn't take it.

        Nothing more is handed over early then: what an engine has taken too
        late to say so must not come between the chunks of another version.
        """
        payload = transfer.chunk(index)
        if payload is None:
            return True
        try:
            async with self._staging:
                await self._engine.put_chunk(model, index, payload)
        except UpstreamError as exc:
            # The load stages it again; only a kill before then loses it.
            self._runtime.log.info('chunk not staged early: %s', exc)
            return False
        return True

    async def _drain(self, model: str) -> None:
        """Let what runs end, now that entries send nothing more.

        About half of it ends within the wait. The rest is cut off where it
        can go on elsewhere; waiting for the longest answer would leave the
        engine all but idle for two seconds. The wait ends before the loaded
        version does: what is queued would begin on it afterwards.
        """
        await self._leave_paths()
        await asyncio.sleep(ANNOUNCE_S)
        until = clock_s() + DRAIN_S
        if self._watch.whole:
            # Nothing is sent to a part once a newer version is named.
            ends_at = self._view.releases.ends_at(model, self._watch.whole)
            until = min(until, ends_at - CLOSING_S)
        while clock_s() < until:
            reading = await self._watch.read_now()
            if reading is None or not reading.running + reading.queued:
                return
            await asyncio.sleep(LOOK_S)

    async def _stage(self, load: Load, transfer: Transfer) -> None:
        """Hand over the chunks of a load anew directly before its order.

        What was staged earlier may have become corrupted there, and a load
        takes what lies there unseen.
        """
        began_at = clock_s()
        for index in indices(load.chunks):
            payload = transfer.chunk(index)
            if payload is None:
                raise UpstreamError('a chunk is missing', step='stage')
            await self._engine.put_chunk(load.model, index, payload)
        self._runtime.log.info(
            'version staged',
            extra={
                'step': 'stage',
                'version': load.version,
                'took_s': round(clock_s() - began_at, 3),
            },
        )

    async def _order(
        self, load: Load, *, may_cut_off: bool, layers: LayerRange | None
    ) -> None:
        taken = await self._engine.load(
            load.model,
            load.version,
            may_cut_off=may_cut_off,
            layers=layers,
        )
        self._orders.add(outcome='taken' if taken else 'refused')
        if not taken:
            raise UpstreamError('the engine refused the order', step='order')

    async def _until_loaded(
        self, version: int, began_at: float, layers: LayerRange | None
    ) -> None:
        while clock_s() - began_at < LOADED_WITHIN_S:
            reading = await self._watch.read_now()
            if reading is not None and self._has_taken(version, layers):
                self._note_loaded(version, clock_s() - began_at, layers)
                return
            if reading is not None and not reading.is_busy:
                break
            await asyncio.sleep(LOOK_S)
        raise UpstreamError('the engine did not take the version', step='order')

    def _has_taken(self, version: int, layers: LayerRange | None) -> bool:
        reading = self._watch.reading
        if layers is None or reading is None:
            return self._watch.whole >= version
        return reading.weights == version and reading.layers.covers(layers)

    def _note_loaded(
        self, version: int, took_s: float, layers: LayerRange | None
    ) -> None:
        self._runtime.log.info(
            'version loaded',
            extra={
                'step': 'order',
                'version': version,
                'layers': [layers.first, layers.end] if layers else 'all',
                'took_s': round(took_s, 3),
            },
        )
