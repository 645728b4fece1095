"""Keep the engine from beginning anything on a version that has ended."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.transfer import chunks_of, full, layers_at_hand
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import until_tick_s
from crowrudder_daemon.fleet_agent._digests import version_name
from crowrudder_daemon.fleet_agent._goal import LEAST_USE_S, figures_of
from crowrudder_daemon.fleet_agent._loader import CLOSING_S, Load
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

LOOK_S = 0.05
"""How often the end is looked at once it is near; the engine is read twice as
seldom."""

LONGEST_LOOK_S = 0.2
"""How often it is looked at otherwise: a version is named seconds before the
one before it ends, and looks cost an agent at rest the most after its reads."""

RETRY_S = 0.2


@frozen
class _Closing:
    """The load that ends an old version: what is at hand of a newer one."""

    load: Load
    transfer: Transfer
    layers: LayerRange


class EndGuard:
    """Orders a load just before the engine's version ends, if none has come.

    What goes wrong without it: entries send requests in time, these wait in
    the engine's queue past the end of its version, and what takes them back
    comes over a link that is full of other bytes. It is seen as requests that
    begin on an old version after its end: 48 in one run in which a large
    configuration changed as a version ended. The engine accepts nothing new,
    out of its queue either, once it has taken an order to load, and tells
    those that wait that they have not run. The order comes from the same
    host, so no link lies in between, and any layers of a newer version will
    do. What runs may end.
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
        self._open_ended = 0
        self._changed = asyncio.Event()

    def on_change(self) -> None:
        """Look at once: a version may have ended before it was heard of."""
        self._changed.set()

    async def guard(self) -> None:
        """Look at the end again and again."""
        while True:
            await self._pause()
            figures = figures_of(self._view, self._node)
            if figures is None or not self._is_due(figures.model):
                continue
            try:
                await self._close(figures)
            except Exception:
                # A fault must not leave the engine unguarded from then on.
                self._runtime.log.exception('end guard', extra={'step': 'end'})
                await asyncio.sleep(RETRY_S)

    async def _pause(self) -> None:
        """Wait for a change of the records, or until the next look."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._pause_s()):
                await self._changed.wait()
        self._changed.clear()

    def _pause_s(self) -> float:
        figures = figures_of(self._view, self._node)
        if figures is None:
            return until_tick_s(LONGEST_LOOK_S)
        left_s = self._closes_at(figures.model) - clock_s()
        if left_s > LONGEST_LOOK_S:
            return until_tick_s(LONGEST_LOOK_S)
        return max(left_s, LOOK_S)

    def _closes_at(self, model: str) -> float:
        ends_at = self._view.releases.ends_at(model, self._watch.whole)
        return ends_at - CLOSING_S

    def _is_due(self, model: str) -> bool:
        reading = self._watch.reading
        if reading is None or reading.is_busy or self._loader.is_at_work:
            return False
        return bool(self._watch.whole) and clock_s() >= self._closes_at(model)

    async def _close(self, figures: EngineFigures) -> None:
        closing = self._closing(figures)
        if closing is None:
            self._note_open_ended()
            return
        reading = self._watch.reading
        self._runtime.log.info(
            'engine is to begin nothing more',
            extra={
                'step': 'end',
                'weights': self._watch.whole,
                'version': closing.load.version,
                'layers': [closing.layers.first, closing.layers.end],
                'running': reading.running if reading else 0,
                'queued': reading.queued if reading else 0,
            },
        )
        try:
            await self._loader.load_layers(
                closing.load, closing.transfer, closing.layers
            )
        except CrowrudderError as exc:
            self._runtime.log.warning(
                'engine not closed yet',
                extra={'step': exc.step, 'reason': str(exc)},
            )
            await asyncio.sleep(RETRY_S)

    def _closing(self, figures: EngineFigures) -> _Closing | None:
        """Find layers at hand of the version that can serve first.

        What goes wrong with the newest one: its source is away after a few
        chunks, and the version before, which the host holds or soon will, is
        never loaded over them; the engine serves nothing until the newest one
        is whole. So the one of which most is at hand goes first, the newest
        of several, and one that ends soon goes last.
        """
        releases = self._view.releases
        found = [
            closing
            for release in releases.after(figures.model, self._watch.whole)
            if (closing := self._closing_by(figures, release.version))
        ]
        now = clock_s()
        lasting = [
            closing
            for closing in found
            if releases.ends_at(figures.model, closing.load.version) - now
            >= LEAST_USE_S
        ]
        return max(
            lasting or found,
            key=lambda closing: closing.transfer.at_hand.bit_count(),
            default=None,
        )

    def _closing_by(
        self, figures: EngineFigures, version: int
    ) -> _Closing | None:
        name = version_name(figures.model, version)
        transfer = self._library.shelf.transfers.get(name)
        if transfer is None:
            return None
        layers = self._layers(figures, name, transfer)
        if not layers:
            return None
        chunks = chunks_of(layers, layers=figures.layers, chunks=transfer.count)
        return _Closing(Load(figures.model, version, chunks), transfer, layers)

    def _layers(
        self, figures: EngineFigures, name: str, transfer: Transfer
    ) -> LayerRange:
        """Give all layers, else those of the host's own part, else others.

        Own ones first: paths are made of the parts that hosts divided among
        themselves, and the rest of the part can be added.
        """
        held = transfer.at_hand
        if held == full(transfer.count):
            return LayerRange(0, figures.layers)
        counts = {'layers': figures.layers, 'chunks': transfer.count}
        own = self._library.part(name, transfer).chunks
        return layers_at_hand(held & own, **counts) or layers_at_hand(
            held, **counts
        )

    def _note_open_ended(self) -> None:
        """Say once that a version has ended and nothing can take its place."""
        whole = self._watch.whole
        if self._open_ended == whole:
            return
        self._open_ended = whole
        self._runtime.log.warning(
            'nothing at hand of a newer version',
            extra={'step': 'end', 'weights': whole},
        )
