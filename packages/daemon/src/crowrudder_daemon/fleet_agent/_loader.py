"""Load a version that the host holds into the engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import evolve

from crowrudder_core.orders import replacement_steps
from crowrudder_core.transfer import chunks_of_layers, full, indices
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_agent._goal import is_worth_loading, may_cut_off
from crowrudder_daemon.fleet_agent._load_schedule import load_delay_s
from crowrudder_daemon.fleet_agent._staged_orders import Load, StagedOrders
from crowrudder_model import InvariantError, UpstreamError
from crowrudder_model.fleet import LayerRange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from crowrudder_core.catalog import FleetView
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet.ports import EnginePort
    from crowrudder_daemon.fleet_agent._digests import NamedManifest
    from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
    from crowrudder_daemon.fleet_agent._goal import Goal
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node

ANNOUNCE_DELAY_S = 0.03
"""Time after which entries have received the announcement of a load."""

DRAIN_S = 0.7
"""How long running requests may continue before a load, see `_drain`."""

CLOSE_LEAD_S = 0.4
"""How long before the end of its version an engine receives the order after which
it starts no more requests. It covers staging (0.02 s at most), the interval of
engine checks (0.05 s) and a late event loop. Entries cancel requests that have
not started 0.3 s before the end; the engine's answer that a request was not
executed comes before that and is more useful to a caller."""

LEAVE_PIPELINES_S = 1.0
"""Time between the report that an engine drops its layer range and the load of
another version; entries rely on a report of a layer range for half of that."""

LOAD_TIMEOUT_S = 12.0
"""Timeout of a load: running requests may take the longest timeout of callers."""

WITHDRAWN_LAYERS = LayerRange(0, 1)
"""What an engine keeps of a withdrawn version: an order names some layers, and no
request runs on a single one."""

CHECK_INTERVAL_S = 0.05
EARLY_STAGE_INTERVAL_S = 0.25
"""Interval of checks for chunks to stage early."""


class Loader:
    """Sends load orders to the engine, one load at a time."""

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
        self._watch = watch
        self._load_lock = asyncio.Lock()
        self._orders = StagedOrders(runtime, engine=engine, watch=watch)

    @property
    def is_loading(self) -> bool:
        """Whether a load is in progress, including its drain."""
        return self._load_lock.locked()

    async def wait_for_schedule(
        self,
        goal: Goal,
        hosts: Iterable[str],
        is_outdated: Callable[[Goal], bool],
    ) -> None:
        """Wait for the host's scheduled load, unless the engine can't serve."""
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
            await asyncio.sleep(min(left_s, CHECK_INTERVAL_S))

    async def load(
        self, goal: Goal, named: NamedManifest, transfer: Transfer
    ) -> None:
        """Drain, stage and order a version, and wait until it is loaded.

        Raises
        ------
        InvariantError
            If the weights are not complete.
        OrderExpiredError
            If the engine takes the chunks too slowly; nothing was ordered.
        UpstreamError
            If the engine did not load them.
        """
        transfer.assert_complete()
        load = Load(goal.model, named.version, full(transfer.count))
        if self._orders.is_too_slow:
            # The engine serves meanwhile.
            chunks = load.chunks & ~self._chunks_kept(transfer)
            await self._orders.check_speed(
                evolve(load, chunks=chunks), transfer
            )
        async with self._load_lock:
            # Another load may have loaded it, or a layer range of a newer
            # version, while this one waited.
            if self.is_worth_loading(load.model, load.version):
                await self._load_all(load, transfer)

    def is_worth_loading(self, model: str, version: int) -> bool:
        """Return whether to load a version now, see `is_worth_loading`."""
        reading = self._watch.reading
        return is_worth_loading(
            version,
            whole=self._watch.whole,
            held=reading.weights if reading else 0,
            ends_at=self._view.releases.ends_at(model, version),
            now=clock_s(),
        )

    async def _load_all(self, load: Load, transfer: Transfer) -> None:
        if self._holds_part_of(load.version):
            await self._extend_or_replace(load, transfer)
            return
        self._watch.set_changing(is_changing=True)
        try:
            await self._drain(load.model)
            may_cut = may_cut_off(self._view, self._node)
            await self._execute(load, transfer, may_cut_off=may_cut)
        finally:
            self._watch.set_changing(is_changing=False)

    async def load_layers(
        self, load: Load, transfer: Transfer, layers: LayerRange
    ) -> None:
        """Load a layer range into an engine on which no request may start.

        Requests on another version finish first; layers of the version that
        the engine already holds are added while requests run.

        Raises
        ------
        InvariantError
            If a chunk of the layers is not held.
        UpstreamError
            If the engine did not load them.
        """
        # Each chunk is verified, so it does not matter if the transfer was
        # dropped for a newer version.
        if load.chunks & ~transfer.servable_chunks:
            raise InvariantError(
                f'a part of {transfer.manifest.version} is not held; it is '
                'not loaded',
                step='verify',
            )
        async with self._load_lock:
            # Another load may have loaded more while this one waited.
            if self._watch.whole >= load.version:
                return
            is_proved = self._watch.is_proved
            if self._holds_part_of(
                load.version, within=layers if is_proved else None
            ):
                await self._extend_or_replace(load, transfer, layers)
            else:
                await self._change_to(load, transfer, layers)

    async def withdraw(self, model: str, version: int) -> None:
        """Make the engine give up most layers of an expired version.

        From the order on, the engine starts no requests on it, and answers
        queued ones as not executed. No chunk is needed, so it works however
        late chunks of a newer version are. Running requests may finish.

        Raises
        ------
        UpstreamError
            If the engine did not accept the order.
        """
        async with self._load_lock:
            if self._watch.whole != version:
                return
            await self._orders.withdraw(
                Load(model, version, 0), WITHDRAWN_LAYERS
            )
            await self._until_idle()

    async def _until_idle(self) -> None:
        """Wait until the engine has executed its order."""
        began_at = clock_s()
        while clock_s() - began_at < LOAD_TIMEOUT_S:
            reading = await self._watch.read_now()
            if reading is None or not reading.is_busy:
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _extend_or_replace(
        self, load: Load, transfer: Transfer, layers: LayerRange | None = None
    ) -> None:
        """Load layers of a version of which the engine holds some."""
        if self._watch.is_proved:
            await self._extend(load, transfer, layers)
            return
        self._watch.set_changing(is_changing=True)
        try:
            await self._replace(load, transfer, layers)
        finally:
            self._watch.set_changing(is_changing=False)

    async def _replace(
        self, load: Load, transfer: Transfer, layers: LayerRange | None
    ) -> None:
        """Load layers anew in place of unproved ones of the same version.

        The engine keeps what it holds of the version, so it first has to give up
        all but one layer, and then that one.
        """
        total = self._watch.layers
        steps = replacement_steps(layers or LayerRange(0, total))
        if not steps:
            raise UpstreamError(
                'a single layer is not proved and stays until the next version',
                step='order',
            )
        self._runtime.log.warning(
            'unproved layers are replaced',
            extra={'step': 'order', 'version': load.version},
        )
        await self._until_idle()
        for step in steps:
            chunks = chunks_of_layers(step, layers=total, chunks=transfer.count)
            await self._execute(
                evolve(load, chunks=load.chunks & chunks),
                transfer,
                may_cut_off=False,
                layers=step,
            )
            await self._until_idle()

    async def _extend(
        self, load: Load, transfer: Transfer, layers: LayerRange | None
    ) -> None:
        """Add layers of the engine's version while its requests run."""
        self._watch.set_extending(is_extending=True)
        try:
            await self._execute(
                load, transfer, may_cut_off=False, layers=layers
            )
        finally:
            self._watch.set_extending(is_extending=False)

    async def _change_to(
        self, load: Load, transfer: Transfer, layers: LayerRange
    ) -> None:
        """Load layers instead of another version or another layer range."""
        self._watch.set_changing(is_changing=True)
        try:
            await self._leave_pipelines()
            await self._execute(
                load, transfer, may_cut_off=False, layers=layers
            )
        finally:
            self._watch.set_changing(is_changing=False)

    async def _execute(
        self,
        load: Load,
        transfer: Transfer,
        *,
        may_cut_off: bool,
        layers: LayerRange | None = None,
    ) -> None:
        await self._orders.execute(
            load,
            transfer,
            may_cut_off=may_cut_off,
            layers=layers,
        )
        await self._until_loaded(load.version, clock_s(), layers)

    def _holds_part_of(
        self, version: int, *, within: LayerRange | None = None
    ) -> bool:
        """Return whether the engine holds a version partially, within a range."""
        reading = self._watch.reading
        if reading is None or self._watch.whole:
            return False
        if reading.weights != version or not reading.layers:
            return False
        return within is None or within.covers(reading.layers)

    async def _leave_pipelines(self) -> None:
        """Wait for entries to remove the engine from their pipelines.

        Otherwise an entry may rely on a report that the engine holds some
        layers of one version, while it holds the same layers of another when
        the request arrives, and a token would be computed by two versions.
        """
        left_s = self._watch.offered_at + LEAVE_PIPELINES_S - clock_s()
        if left_s > 0:
            await asyncio.sleep(left_s)

    async def stage_early(self, goal: Goal, transfer: Transfer) -> None:
        """Stage chunks at the engine as they arrive, until cancelled.

        Chunks in an agent's memory are lost with the process; its next
        incarnation finds those at the engine. Staging loads nothing: a load
        stages all chunks again, and chunks that arrive meanwhile wait until
        its order is accepted; otherwise the engine would load chunks of two
        versions. The chunks that an engine takes again when its version is
        withdrawn stay those of that version.
        """
        staged: set[int] = set()
        engine_started_ms = self._engine_started_ms
        while True:
            if engine_started_ms != self._engine_started_ms:
                # Chunks staged before the engine's restart may be lost.
                engine_started_ms = self._engine_started_ms
                staged.clear()
            held = transfer.held & ~self._chunks_kept(transfer)
            for index in sorted(set(indices(held)) - staged):
                if not await self._stage_one(goal.model, index, transfer):
                    return
                staged.add(index)
            await asyncio.sleep(EARLY_STAGE_INTERVAL_S)

    def _chunks_kept(self, transfer: Transfer) -> int:
        """Return the chunks (bits) that the engine keeps of its version."""
        layers = self._watch.layers
        if not (self._watch.whole and layers):
            return 0
        return chunks_of_layers(
            WITHDRAWN_LAYERS, layers=layers, chunks=transfer.count
        )

    @property
    def _engine_started_ms(self) -> int:
        """The engine's start time, which identifies its incarnation."""
        reading = self._watch.reading
        return reading.started_ms if reading else 0

    async def _stage_one(
        self, model: str, index: int, transfer: Transfer
    ) -> bool:
        """Stage a chunk; return false if the engine did not accept it.

        Early staging then stops: a chunk that the engine accepts after the
        timeout must not end up among the chunks of another version.
        """
        if transfer.chunk(index) is None:
            return True
        try:
            await self._orders.stage_one(model, index, transfer)
        except UpstreamError as exc:
            # The load stages it again; it is lost only by a kill before that.
            self._runtime.log.info('chunk not staged early: %s', exc)
            return False
        return True

    async def _drain(self, model: str) -> None:
        """Let running requests finish, now that entries send no more.

        About half of them finish within the wait. The rest are cut off if
        they can be resumed elsewhere; waiting for the longest answer would
        leave the engine nearly idle for two seconds. The wait ends before the
        loaded version does, as queued requests would start on it afterwards.
        """
        await self._leave_pipelines()
        await asyncio.sleep(ANNOUNCE_DELAY_S)
        until = clock_s() + DRAIN_S
        if self._watch.whole:
            # An engine with a partial version gets no requests once a newer
            # version is announced, so only a complete one needs this limit.
            ends_at = self._view.releases.ends_at(model, self._watch.whole)
            until = min(until, ends_at - CLOSE_LEAD_S)
        while clock_s() < until:
            reading = await self._watch.read_now()
            if reading is None or not reading.running + reading.queued:
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _until_loaded(
        self, version: int, began_at: float, layers: LayerRange | None
    ) -> None:
        while clock_s() - began_at < LOAD_TIMEOUT_S:
            reading = await self._watch.read_now()
            if reading is not None and self._has_loaded(version, layers):
                self._log_loaded(version, clock_s() - began_at, layers)
                return
            if reading is not None and not reading.is_busy:
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        raise UpstreamError('the engine did not take the version', step='order')

    def _has_loaded(self, version: int, layers: LayerRange | None) -> bool:
        reading = self._watch.reading
        if layers is None or reading is None:
            return self._watch.whole >= version
        return reading.weights == version and reading.layers.covers(layers)

    def _log_loaded(
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
