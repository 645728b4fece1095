"""Prevent the engine from starting requests on an expired version."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.transfer import (
    chunks_of_layers,
    full,
    held_chunks_by_layer,
    longest_held_layers,
)
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import until_tick_s
from crowrudder_daemon.fleet.ports import OrderExpiredError
from crowrudder_daemon.fleet_agent._digests import version_name
from crowrudder_daemon.fleet_agent._goal import MIN_USE_S, figures_of
from crowrudder_daemon.fleet_agent._loader import (
    CLOSE_LEAD_S,
    WITHDRAWN_LAYERS,
)
from crowrudder_daemon.fleet_agent._staged_orders import Load
from crowrudder_model import CrowrudderError
from crowrudder_model.fleet import LayerRange

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
    from crowrudder_daemon.fleet_agent._library import Library
    from crowrudder_daemon.fleet_agent._loader import Loader
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import EngineFigures, Node

CHECK_INTERVAL_S = 0.05
"""Interval of checks when the end is near; the engine is read half as often."""

MAX_CHECK_INTERVAL_S = 0.2
"""Interval of checks otherwise. A version is published seconds before the previous
one ends, and in an idle agent only reads of the engine cost more than checks."""

RETRY_S = 0.2


@frozen
class _ClosingLoad:
    """A load that replaces an expiring version by held layers of a newer one."""

    load: Load
    transfer: Transfer
    layers: LayerRange


class EndGuard:
    """Orders a load just before the engine's version ends, if none was ordered.

    Without it, requests that entries sent in time wait in the engine's queue
    past the end of its version, and their cancellations are delayed on a
    congested link, so the requests start on an expired version: 48 in one run
    in which a large configuration changed as a version ended. Once the engine
    has accepted a load order it starts no further requests, queued ones
    included, and answers the queued ones as not executed. The order comes
    from the same host, so no network link is involved, and any layers of a
    newer version suffice. If none is held, the engine is ordered to give up
    layers of the expired version: on a narrow link no layer may arrive in
    time, and that link also delays the cancellations. Running requests may
    finish.
    """

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        *,
        view: FleetView,
        watch: EngineWatch,
        library: Library,
        loader: Loader,
    ) -> None:
        self._runtime = runtime
        self._node = node
        self._view = view
        self._watch = watch
        self._library = library
        self._loader = loader
        self._warned_version = 0
        self._changed = asyncio.Event()

    def on_change(self) -> None:
        """Check immediately: a version may have ended before the update arrived."""
        self._changed.set()

    async def guard(self) -> None:
        """Check periodically whether the loaded version is about to end."""
        while True:
            await self._pause()
            figures = figures_of(self._view, self._node)
            if figures is None or not self._is_due(figures.model):
                continue
            try:
                await self._close(figures)
            except Exception:
                # An exception must not stop this task and leave the engine unguarded.
                self._runtime.log.exception('end guard', extra={'step': 'end'})
                await asyncio.sleep(RETRY_S)

    async def _pause(self) -> None:
        """Wait for a change of the records or until the next check."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._pause_s()):
                await self._changed.wait()
        self._changed.clear()

    def _pause_s(self) -> float:
        figures = figures_of(self._view, self._node)
        if figures is None:
            return until_tick_s(MAX_CHECK_INTERVAL_S)
        left_s = self._closes_at(figures.model) - clock_s()
        if left_s > MAX_CHECK_INTERVAL_S:
            return until_tick_s(MAX_CHECK_INTERVAL_S)
        return max(left_s, CHECK_INTERVAL_S)

    def _closes_at(self, model: str) -> float:
        ends_at = self._view.releases.ends_at(model, self._watch.whole)
        return ends_at - CLOSE_LEAD_S

    def _is_due(self, model: str) -> bool:
        reading = self._watch.reading
        if reading is None or reading.is_busy or self._loader.is_loading:
            return False
        return bool(self._watch.whole) and clock_s() >= self._closes_at(model)

    async def _close(self, figures: EngineFigures) -> None:
        closing = self._choose_closing_load(figures)
        if closing is None and figures.layers <= WITHDRAWN_LAYERS.count:
            self._warn_not_closable()
            return
        version = closing.load.version if closing else self._watch.whole
        layers = closing.layers if closing else WITHDRAWN_LAYERS
        reading = self._watch.reading
        self._runtime.log.info(
            'engine is to begin nothing more',
            extra={
                'step': 'end',
                'weights': self._watch.whole,
                'version': version,
                'layers': [layers.first, layers.end],
                'running': reading.running if reading else 0,
                'queued': reading.queued if reading else 0,
                'held': self._held_chunks(figures),
            },
        )
        try:
            await self._order(figures, closing)
        except CrowrudderError as exc:
            self._runtime.log.warning(
                'engine not closed yet',
                extra={'step': exc.step, 'reason': str(exc)},
            )
            await asyncio.sleep(RETRY_S)

    async def _order(
        self, figures: EngineFigures, closing: _ClosingLoad | None
    ) -> None:
        """Order a load, or nothing but the withdrawal of the version.

        An engine that takes chunks too slowly for a load can still give up layers.
        """
        expiring = self._watch.whole
        if closing is not None:
            try:
                await self._loader.load_layers(
                    closing.load, closing.transfer, closing.layers
                )
            except OrderExpiredError:
                if figures.layers <= WITHDRAWN_LAYERS.count:
                    raise
            else:
                return
        await self._loader.withdraw(figures.model, expiring)

    def _choose_closing_load(
        self, figures: EngineFigures
    ) -> _ClosingLoad | None:
        """Choose held layers of the version that can serve first.

        Always choosing the newest version fails if its source goes down after
        a few chunks: the previous version, which the host holds or soon will,
        is never loaded over a newer one, so the engine serves nothing until
        the newest is complete. Therefore the version with the most held
        chunks is preferred, among equals the newest, and versions that end
        soon come last.
        """
        releases = self._view.releases
        candidates = [
            closing
            for release in releases.after(figures.model, self._watch.whole)
            if (closing := self._closing_load_of(figures, release.version))
        ]
        now = clock_s()
        lasting = [
            closing
            for closing in candidates
            if releases.ends_at(figures.model, closing.load.version) - now
            >= MIN_USE_S
        ]
        return max(
            lasting or candidates,
            key=lambda closing: closing.transfer.servable_chunks.bit_count(),
            default=None,
        )

    def _closing_load_of(
        self, figures: EngineFigures, version: int
    ) -> _ClosingLoad | None:
        name = version_name(figures.model, version)
        transfer = self._library.versions.transfers.get(name)
        if transfer is None:
            return None
        layers = self._loadable_layers(figures, name, transfer)
        if not layers:
            return None
        chunks = chunks_of_layers(
            layers, layers=figures.layers, chunks=transfer.count
        )
        return _ClosingLoad(
            Load(figures.model, version, chunks), transfer, layers
        )

    def _loadable_layers(
        self, figures: EngineFigures, name: str, transfer: Transfer
    ) -> LayerRange:
        """Return all layers, else held layers of the host's own range, else others.

        Layers of the own range come first: pipelines are built from the ranges
        assigned to hosts, and the rest of the range can be added later.
        """
        held = transfer.servable_chunks
        if held == full(transfer.count):
            return LayerRange(0, figures.layers)
        counts = {'layers': figures.layers, 'chunks': transfer.count}
        own = self._library.part(name, transfer).chunks
        return longest_held_layers(held & own, **counts) or longest_held_layers(
            held, **counts
        )

    def _held_chunks(self, figures: EngineFigures) -> dict[str, list[int]]:
        """Return the number of held chunks of each layer of newer versions."""
        names = (
            version_name(figures.model, release.version)
            for release in self._view.releases.after(
                figures.model, self._watch.whole
            )
        )
        transfers = self._library.versions.transfers
        return {
            name: held_chunks_by_layer(
                transfers[name].servable_chunks,
                layers=figures.layers,
                chunks=transfers[name].count,
            )
            for name in names
            if name in transfers
        }

    def _warn_not_closable(self) -> None:
        """Log once per version that a model of one layer can't be withdrawn."""
        loaded_version = self._watch.whole
        if self._warned_version == loaded_version:
            return
        self._warned_version = loaded_version
        self._runtime.log.warning(
            'nothing at hand of a newer version',
            extra={'step': 'end', 'weights': loaded_version},
        )
