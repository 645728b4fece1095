"""The task that keeps the engine at the published version."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from attrs import evolve

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import until_tick_s
from crowrudder_daemon.fleet.ports import OrderExpiredError
from crowrudder_daemon.fleet_agent._active_transfer import ActiveTransfer
from crowrudder_daemon.fleet_agent._goal import (
    MIN_USE_S,
    Goal,
    newest_goal,
)
from crowrudder_daemon.fleet_agent._staged_orders import Load
from crowrudder_model import CrowrudderError, UpstreamError

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet.ports import EnginePort
    from crowrudder_daemon.fleet_agent._digests import NamedManifest
    from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
    from crowrudder_daemon.fleet_agent._library import Library
    from crowrudder_daemon.fleet_agent._loader import Loader
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node

RETRY_S = 0.2
SLOW_STAGING_RETRY_S = 2.0
"""Pause after the engine took the chunks of a load too slowly."""

IDLE_S = 0.2
CHECK_INTERVAL_S = 0.08
MAX_SERVING_SHARE = 0.5
"""Engines load partial versions only while requests may start at less than this
share of the engines. Above it, hosts that lag behind would only slow down the
engines that serve."""


class WeightsKeeper:
    """Fetches and loads the newest version, or the previous one if that stalls."""

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
        self._blocking_reason = ''
        self._has_imported_staged = False
        self._changed = asyncio.Event()

    def on_change(self) -> None:
        """Check immediately, as the published records have changed.

        The first host reads the manifest for all, so if it notices a version
        a quarter of a second late, every host is that much later.
        """
        self._changed.set()

    @property
    def blocking_reason(self) -> str:
        """Why the engine lacks the published version; empty if it has it."""
        return self._blocking_reason

    async def keep(self) -> None:
        """Reconcile the engine with the goal until cancelled."""
        while True:
            goal = newest_goal(self._view, self._node, now=clock_s())
            if goal is None or self._watch.reading is None:
                await self._idle()
                continue
            try:
                await self._reconcile(goal)
            except OrderExpiredError as exc:
                self._on_failure(exc)
                await asyncio.sleep(SLOW_STAGING_RETRY_S)
            except CrowrudderError as exc:
                self._on_failure(exc)
                await asyncio.sleep(RETRY_S)

    def status(self) -> dict[str, Any]:
        """Return the goal and the progress of the versions."""
        goal = newest_goal(self._view, self._node, now=clock_s())
        return {
            'goal': goal.version if goal else 0,
            'hinders': self._blocking_reason,
            'shares': {
                name: round(transfer.share, 3)
                for name, transfer in self._library.versions.transfers.items()
            },
        }

    async def _reconcile(self, goal: Goal) -> None:
        """Run one round: fetch what the goal needs, then load it."""
        goal, named = await self._reachable_goal(goal)
        if self._is_outdated(goal):
            # A newer version was published during the wait for the manifest.
            return
        (transfer,) = self._library.open(named)
        if not (transfer.complete or self._has_imported_staged):
            # Once per process: chunks staged later are held here as well.
            await self._library.import_staged(
                self._engine, goal.model, transfer
            )
            self._has_imported_staged = True
        prefetch = asyncio.ensure_future(
            self._prefetch_newest(goal, named, transfer)
        )
        try:
            await self._fetch_and_load(goal, named, transfer)
        finally:
            prefetch.cancel()

    async def _fetch_and_load(
        self, goal: Goal, named: NamedManifest, transfer: Transfer
    ) -> None:
        """Fetch a version, and load it if the engine does not have it yet."""
        if not transfer.complete:
            await self._collect(ActiveTransfer(goal, named, transfer))
        if not transfer.complete or self._is_outdated(goal):
            return
        if self._loaded_version < named.version:
            await self._load(goal, named, transfer)
            return
        self._blocking_reason = ''
        await self._idle()

    async def _prefetch_newest(
        self, goal: Goal, before: NamedManifest, older: Transfer
    ) -> None:
        """Start to fetch the newest version while the previous one is fetched.

        Otherwise, after an outage of the origin, all hosts would complete and
        load the previous version before any of them reads a chunk of the
        newest, while the origin's link is nearly idle. The older version has
        priority as long as it lacks chunks.
        """
        if goal.version in {0, goal.newest}:
            return
        newest = evolve(goal, version=goal.newest)
        while True:
            try:
                named = await self._library.manifest(newest)
                _, transfer = self._library.open(before, named)
            except CrowrudderError as exc:
                self._on_failure(exc)
                await asyncio.sleep(RETRY_S)
                continue
            transfer.yields_to = older
            await self._library.collector(named, transfer).run()
            return

    async def _idle(self) -> None:
        """Wait for a change or until the next idle check."""
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(until_tick_s(IDLE_S)):
                await self._changed.wait()

    async def _reachable_goal(self, goal: Goal) -> tuple[Goal, NamedManifest]:
        """Return the goal, or the previous version if no manifest is available."""
        reading = asyncio.ensure_future(
            self._library.manifest(goal, is_urgent=not self._loaded_version)
        )
        try:
            is_held = await self._continue_previous(goal, reading)
            older = await self._previous(goal) if is_held else None
            return older or (goal, await reading)
        except UpstreamError:
            older = await self._previous(goal, only_if_started=True)
            if older is None:
                raise
            return older
        finally:
            reading.cancel()

    async def _continue_previous(
        self, goal: Goal, reading: asyncio.Future[NamedManifest]
    ) -> bool:
        """Continue to fetch the previous version until a manifest is read.

        Return whether the previous version was complete first.

        If the previous version were dropped as soon as a newer one is
        published while the origin is down, no host could read the newer
        manifest, and all hosts would stop exchanging chunks while they ask
        for it: one second of the eight that the loaded version has left.
        """
        release = self._view.releases.before(goal.model, goal.version)
        if release is None or self._loaded_version >= release.version:
            return False
        named = self._library.manifests.known(goal.model, release.version)
        if named is None or not self._library.holds_part_of(named):
            return False
        (transfer,) = self._library.open(named)
        active = asyncio.ensure_future(
            self._library.collector(named, transfer).run()
        )
        try:
            await asyncio.wait(
                (reading, active), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            active.cancel()
        return transfer.complete and not reading.done()

    async def _collect(self, newest: ActiveTransfer) -> None:
        """Fetch the newest version, and an older one while that stalls."""
        self._blocking_reason = f'collects {newest.named.artifact.name}'
        began_at = clock_s()
        jobs = {newest: self._start(newest)}
        staging = asyncio.ensure_future(
            self._loader.stage_early(newest.goal, newest.transfer)
        )
        try:
            while not newest.transfer.complete:
                await asyncio.wait(jobs.values(), timeout=CHECK_INTERVAL_S)
                if self._is_outdated(newest.goal):
                    return
                if newest.transfer.origin.is_manifest_suspect:
                    newest.transfer.origin.on_manifest_reread()
                    self._library.manifests.distrust(newest.named)
                    return
                await self._check_transfers(newest, jobs)
        finally:
            staging.cancel()
            for job in jobs.values():
                job.cancel()
        self._log_held(newest, clock_s() - began_at)

    async def _check_transfers(
        self,
        newest: ActiveTransfer,
        jobs: dict[ActiveTransfer, asyncio.Future[None]],
    ) -> None:
        """Start to fetch the previous version when due; load it when complete."""
        newest.check_progress()
        if self._is_layer_range_due(newest):
            await self._load_layer_range(newest)
        older = next((each for each in jobs if each is not newest), None)
        if older is None and newest.is_stalled:
            older = await self._open_previous(newest)
            if older is not None:
                jobs[older] = self._start(older)
        if older is not None and older.transfer.complete:
            await self._load(older.goal, older.named, older.transfer)
            jobs.pop(older).cancel()

    def _is_layer_range_due(self, newest: ActiveTransfer) -> bool:
        """Return whether the engine should load a layer range before the rest.

        Only if no capacity is lost: no request may start on what the engine
        holds, and few other engines can serve either.
        """
        reading = self._watch.reading
        model = newest.goal.model
        if reading is None or reading.is_busy:
            return False
        if self._may_start(model, self._loaded_version):
            return False
        part = self._library.part(newest.named.artifact.name, newest.transfer)
        if part.is_whole or part.chunks & ~newest.transfer.held:
            return False
        held = reading.layers
        is_kept = bool(held) and self._watch.is_proved
        if reading.weights == newest.named.version and is_kept:
            # `EndGuard` may have loaded fewer layers, which need not form a
            # pipeline with those of other engines.
            return held.count < part.layers.count
        return self._few_can_serve(model)

    def _may_start(self, model: str, version: int) -> bool:
        """Return whether a request may start on a complete version."""
        ends_at = self._view.releases.ends_at(model, version)
        return bool(version) and clock_s() < ends_at

    def _few_can_serve(self, model: str) -> bool:
        """Return whether the records show few engines that can serve."""
        hosts = self._view.engine_hosts(model).values()
        layers = self._watch.layers
        serving = sum(
            upstream.layers.is_complete(layers)
            and self._may_start(model, upstream.weights)
            for upstream in hosts
        )
        return serving < MAX_SERVING_SHARE * len(hosts)

    async def _load_layer_range(self, newest: ActiveTransfer) -> None:
        """Load the layer range that is held while the rest is fetched."""
        part = self._library.part(newest.named.artifact.name, newest.transfer)
        load = Load(newest.goal.model, newest.named.version, part.chunks)
        try:
            await self._loader.load_layers(load, newest.transfer, part.layers)
        except UpstreamError as exc:
            self._on_failure(exc)

    def _start(self, active: ActiveTransfer) -> asyncio.Future[None]:
        active.check_progress()
        collector = self._library.collector(active.named, active.transfer)
        return asyncio.ensure_future(collector.run())

    async def _open_previous(
        self, newest: ActiveTransfer
    ) -> ActiveTransfer | None:
        """Open the previous version if it is known and still worth loading."""
        found = await self._previous(newest.goal)
        if found is None:
            return None
        goal, named = found
        _, transfer = self._library.open(newest.named, named)
        self._runtime.log.info(
            'fetching the previous version as well',
            extra={
                'step': 'collect',
                'version': named.artifact.name,
                'share': round(transfer.share, 3),
                'newest_share': round(newest.transfer.share, 3),
            },
        )
        return ActiveTransfer(goal, named, transfer)

    async def _previous(
        self, goal: Goal, *, only_if_started: bool = False
    ) -> tuple[Goal, NamedManifest] | None:
        """Return the previous version if it is still worth loading.

        Parameters
        ----------
        only_if_started
            Whether to return it only if some host has started to fetch it. A
            host that can read it from the origin can read the newest one
            there as well.
        """
        release = self._view.releases.before(goal.model, goal.version)
        use_s = goal.published_at + self._node.bounds.version_s - clock_s()
        if release is None or use_s < MIN_USE_S:
            return None
        engine_version = self._engine_version
        if (
            self._loaded_version >= release.version
            or engine_version > release.version
        ):
            return None
        older = evolve(
            goal,
            version=release.version,
            published_at=release.published_at,
        )
        if only_if_started and not self._library.is_started(older):
            return None
        try:
            return older, await self._library.manifest(older)
        except UpstreamError as exc:
            self._on_failure(exc)
            return None

    async def _load(
        self,
        goal: Goal,
        named: NamedManifest,
        transfer: Transfer,
    ) -> None:
        await self._loader.wait_for_schedule(
            goal, self._library.places(), self._is_outdated
        )
        if self._is_outdated(goal):
            return
        if self._loader.is_worth_loading(goal.model, named.version):
            await self._loader.load(goal, named, transfer)
        else:
            # Without a pause the next round would come here again immediately.
            await self._idle()

    @property
    def _loaded_version(self) -> int:
        return self._watch.whole

    @property
    def _engine_version(self) -> int:
        """The version of any layers that the engine holds; 0 for none."""
        reading = self._watch.reading
        return reading.weights if reading else 0

    def _is_outdated(self, goal: Goal) -> bool:
        newest = newest_goal(self._view, self._node, now=clock_s())
        return newest is not None and newest.version > goal.newest

    def _log_held(self, collected: ActiveTransfer, took_s: float) -> None:
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

    def _on_failure(self, exc: CrowrudderError) -> None:
        self._blocking_reason = str(exc)
        self._runtime.log.warning(
            'version not loaded yet',
            extra={'step': exc.step, 'reason': str(exc)},
        )
