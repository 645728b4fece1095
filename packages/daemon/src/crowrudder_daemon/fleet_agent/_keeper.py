"""The task that keeps the engine at the version that was named."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from attrs import evolve

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import until_tick_s
from crowrudder_daemon.fleet_agent._active_transfer import Collecting
from crowrudder_daemon.fleet_agent._goal import (
    LEAST_USE_S,
    Goal,
    newest_goal,
)
from crowrudder_daemon.fleet_agent._loader import Load
from crowrudder_model import CrowrudderError, UpstreamError

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet.ports import EnginePort
    from crowrudder_daemon.fleet_agent._digests import Named
    from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
    from crowrudder_daemon.fleet_agent._library import Library
    from crowrudder_daemon.fleet_agent._loader import Loader
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node

RETRY_S = 0.2
IDLE_S = 0.2
LOOK_S = 0.08
MOST_ABLE = 0.5
"""Engines load parts while requests may begin at less than this share of them:
with more, those that serve are better off without hosts that lag behind."""


class WeightsKeeper:
    """Pursues the newest named version, and the one before where that stalls."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        *,
        view: FleetView,
        watch: EngineWatch,
        engine: EnginePort,
        library: Library,
        loader: Loader,
    ) -> None:
        self._runtime = runtime
        self._node = node
        self._view = view
        self._watch = watch
        self._engine = engine
        self._library = library
        self._loader = loader
        self._hinders = ''
        self._has_looked = False
        self._changed = asyncio.Event()

    def on_change(self) -> None:
        """Look at once, as the published records have changed.

        A version that is noticed a quarter of a second late is that much
        later on every host: the first reads its manifest for all.
        """
        self._changed.set()

    @property
    def hinders(self) -> str:
        """What keeps the engine from the named version; empty for none."""
        return self._hinders

    async def keep(self) -> None:
        """Pursue the goal for ever."""
        while True:
            goal = newest_goal(self._view, self._node, now=clock_s())
            if goal is None or self._watch.reading is None:
                await self._idle()
                continue
            try:
                await self._pursue(goal)
            except CrowrudderError as exc:
                self._on_hindrance(exc)
                await asyncio.sleep(RETRY_S)

    def status(self) -> dict[str, Any]:
        """Tell how far the versions are."""
        goal = newest_goal(self._view, self._node, now=clock_s())
        return {
            'goal': goal.version if goal else 0,
            'hinders': self._hinders,
            'shares': {
                name: round(transfer.share, 3)
                for name, transfer in self._library.shelf.transfers.items()
            },
        }

    async def _pursue(self, goal: Goal) -> None:
        """Go one round: collect what the goal needs, then load it."""
        goal, named = await self._reachable(goal)
        if self._is_outdated(goal):
            # Named while the manifest was waited for: nothing is begun with.
            return
        (transfer,) = self._library.open(named)
        if not (transfer.complete or self._has_looked):
            # Once in a life: what is staged later is held here as well.
            await self._library.take_staged(self._engine, goal.model, transfer)
            self._has_looked = True
        ahead = asyncio.ensure_future(self._begin_ahead(goal, named, transfer))
        try:
            await self._bring(goal, named, transfer)
        finally:
            ahead.cancel()

    async def _bring(
        self, goal: Goal, named: Named, transfer: Transfer
    ) -> None:
        """Collect a version, and load it if the engine gains by it."""
        if not transfer.complete:
            await self._collect(Collecting(goal, named, transfer))
        if not transfer.complete or self._is_outdated(goal):
            return
        if self._loaded < named.version:
            await self._load(goal, named, transfer)
            return
        self._hinders = ''
        await self._idle()

    async def _begin_ahead(
        self, goal: Goal, before: Named, older: Transfer
    ) -> None:
        """Begin with the newest version beside the one before it.

        What goes wrong without: the origin is back, all hosts complete the
        one before and load it, and nobody has asked for a chunk of the newest
        until then, though the origin's link carries little else. While the
        older one lacks chunks it goes first.
        """
        if goal.version in {0, goal.newest}:
            return
        newest = evolve(goal, version=goal.newest)
        while True:
            try:
                named = await self._library.manifest(newest)
                _, transfer = self._library.open(before, named)
            except CrowrudderError as exc:
                self._on_hindrance(exc)
                await asyncio.sleep(RETRY_S)
                continue
            transfer.goes_behind = older
            await self._library.collector(named, transfer).run()
            return

    async def _idle(self) -> None:
        """Wait for a change, or a while."""
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(until_tick_s(IDLE_S)):
                await self._changed.wait()

    async def _reachable(self, goal: Goal) -> tuple[Goal, Named]:
        """Give the goal, or the one before while nobody has its manifest."""
        reading = asyncio.ensure_future(
            self._library.manifest(goal, is_urgent=not self._loaded)
        )
        try:
            is_held = await self._go_on_meanwhile(goal, reading)
            older = await self._before(goal) if is_held else None
            return older or (goal, await reading)
        except UpstreamError:
            older = await self._before(goal, only_if_out=True)
            if older is None:
                raise
            return older
        finally:
            reading.cancel()

    async def _go_on_meanwhile(
        self, goal: Goal, reading: asyncio.Future[Named]
    ) -> bool:
        """Go on with the version before until a manifest is read.

        Gives whether that version was held before.

        What goes wrong when it is given up as soon as a newer one is named:
        the source of weights is away, nobody has the newer manifest, and all
        hosts stop exchanging chunks of the one before for as long as they ask
        for it, a second of the eight that the version before them has left.
        """
        release = self._view.releases.before(goal.model, goal.version)
        if release is None or self._loaded >= release.version:
            return False
        named = self._library.manifests.known(goal.model, release.version)
        if named is None or not self._library.holds_part_of(named):
            return False
        (transfer,) = self._library.open(named)
        collecting = asyncio.ensure_future(
            self._library.collector(named, transfer).run()
        )
        try:
            await asyncio.wait(
                (reading, collecting), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            collecting.cancel()
        return transfer.complete and not reading.done()

    async def _collect(self, newest: Collecting) -> None:
        """Read the newest version, and an older one while that stalls."""
        self._hinders = f'collects {newest.named.artifact.name}'
        began_at = clock_s()
        jobs = {newest: self._begin(newest)}
        staging = asyncio.ensure_future(
            self._loader.stage_early(newest.goal, newest.transfer)
        )
        try:
            while not newest.transfer.complete:
                await asyncio.wait(jobs.values(), timeout=LOOK_S)
                if self._is_outdated(newest.goal):
                    return
                if newest.transfer.origin.is_at_odds:
                    newest.transfer.origin.on_doubted()
                    self._library.manifests.doubt(newest.named)
                    return
                await self._look_at(newest, jobs)
        finally:
            staging.cancel()
            for job in jobs.values():
                job.cancel()
        self._note_held(newest, clock_s() - began_at)

    async def _look_at(
        self,
        newest: Collecting,
        jobs: dict[Collecting, asyncio.Future[None]],
    ) -> None:
        """Begin with the version before when that is due; load it when held."""
        newest.look()
        if self._is_part_due(newest):
            await self._load_part(newest)
        older = next((each for each in jobs if each is not newest), None)
        if older is None and newest.is_starved:
            older = await self._older(newest)
            if older is not None:
                jobs[older] = self._begin(older)
        if older is not None and older.transfer.complete:
            await self._load(older.goal, older.named, older.transfer)
            jobs.pop(older).cancel()

    def _is_part_due(self, newest: Collecting) -> bool:
        """Whether the engine shall serve some layers before it holds all.

        Only where that takes nothing away: nothing may begin on what it
        holds, and most engines have nothing else either.
        """
        reading = self._watch.reading
        model = newest.goal.model
        if reading is None or reading.is_busy:
            return False
        if self._may_begin(model, self._loaded):
            return False
        part = self._library.part(newest.named.artifact.name, newest.transfer)
        if part.is_whole or part.chunks & ~newest.transfer.held:
            return False
        held = reading.layers
        if reading.weights == newest.named.version and held:
            # Fewer have come by `EndGuard`, and need not meet on a path.
            return held.count < part.layers.count
        return self._most_idle(model)

    def _may_begin(self, model: str, version: int) -> bool:
        """Whether a request may begin on a version that is held whole."""
        ends_at = self._view.releases.ends_at(model, version)
        return bool(version) and clock_s() < ends_at

    def _most_idle(self, model: str) -> bool:
        """Whether requests may begin at few of the engines, by the records."""
        hosts = self._view.engine_hosts(model).values()
        layers = self._watch.layers
        able = sum(
            upstream.layers.is_whole(layers)
            and self._may_begin(model, upstream.weights)
            for upstream in hosts
        )
        return able < MOST_ABLE * len(hosts)

    async def _load_part(self, newest: Collecting) -> None:
        """Load the part that is held; the rest goes on being collected."""
        part = self._library.part(newest.named.artifact.name, newest.transfer)
        load = Load(newest.goal.model, newest.named.version, part.chunks)
        try:
            await self._loader.load_layers(load, newest.transfer, part.layers)
        except UpstreamError as exc:
            self._on_hindrance(exc)

    def _begin(self, collecting: Collecting) -> asyncio.Future[None]:
        collecting.look()
        collector = self._library.collector(
            collecting.named, collecting.transfer
        )
        return asyncio.ensure_future(collector.run())

    async def _older(self, newest: Collecting) -> Collecting | None:
        """Give the version before, where it is known and still of use."""
        found = await self._before(newest.goal)
        if found is None:
            return None
        goal, named = found
        _, transfer = self._library.open(newest.named, named)
        self._runtime.log.info(
            'collects the version before as well',
            extra={
                'step': 'collect',
                'version': named.artifact.name,
                'share': round(transfer.share, 3),
                'newest_share': round(newest.transfer.share, 3),
            },
        )
        return Collecting(goal, named, transfer)

    async def _before(
        self, goal: Goal, *, only_if_out: bool = False
    ) -> tuple[Goal, Named] | None:
        """Give the version before, where it is still of use.

        Parameters
        ----------
        only_if_out
            Whether only if some host has begun with it. Who can read it from
            the origin can read the newest one there as well.
        """
        release = self._view.releases.before(goal.model, goal.version)
        use_s = goal.published_at + self._node.bounds.version_s - clock_s()
        if release is None or use_s < LEAST_USE_S:
            return None
        has = self._engine_has
        if self._loaded >= release.version or has > release.version:
            return None
        older = evolve(
            goal,
            version=release.version,
            published_at=release.published_at,
        )
        if only_if_out and not self._library.is_out(older):
            return None
        try:
            return older, await self._library.manifest(older)
        except UpstreamError as exc:
            self._on_hindrance(exc)
            return None

    async def _load(
        self,
        goal: Goal,
        named: Named,
        transfer: Transfer,
    ) -> None:
        await self._loader.await_turn(
            goal, self._library.places(), self._is_outdated
        )
        if self._is_outdated(goal):
            return
        if self._loader.is_of_use(goal.model, named.version):
            await self._loader.load(goal, named, transfer)
        else:
            # The next round would come to the same at once.
            await self._idle()

    @property
    def _loaded(self) -> int:
        return self._watch.whole

    @property
    def _engine_has(self) -> int:
        """The version that the engine holds, whole or in part; 0 for none."""
        reading = self._watch.reading
        return reading.weights if reading else 0

    def _is_outdated(self, goal: Goal) -> bool:
        newest = newest_goal(self._view, self._node, now=clock_s())
        return newest is not None and newest.version > goal.newest

    def _note_held(self, collected: Collecting, took_s: float) -> None:
        self._runtime.log.info(
            'version held',
            extra={
                'step': 'collect',
                'version': collected.named.artifact.name,
                'took_s': round(took_s, 3),
                'origin_chunks': collected.transfer.origin.spent,
                'origin_reasons': dict(collected.transfer.origin.reasons),
            },
        )

    def _on_hindrance(self, exc: CrowrudderError) -> None:
        self._hinders = str(exc)
        self._runtime.log.warning(
            'version not loaded yet',
            extra={'step': exc.step, 'reason': str(exc)},
        )
