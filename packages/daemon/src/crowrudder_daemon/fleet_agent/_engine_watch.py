"""Read the engine beside the agent, and tell the entries what it does."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define
from msgspec.structs import replace

from crowrudder_core.membership import close_entries
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import sleep_to_tick
from crowrudder_daemon.fleet.ports import EngineReading
from crowrudder_model import UpstreamError
from crowrudder_model.fleet import NO_LAYERS, LayerRange
from crowrudder_model.messages import EngineLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.fleet.ports import EnginePort
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node

READ_EVERY_S = 0.1
"""A read of the own engine is free; entries forecast by its age."""

REPEAT_S = 0.4
"""A word that stays the same is repeated, as datagrams get lost."""

MOST_FAILURES = 2
"""Reads in a row without an answer, after which it counts as unreachable."""


@define
class _Audience:
    """Entries that are told the load, and what they were told last.

    All hear at once what decides whether they may send here at all. Those of
    other regions hear the rest through entries of this region. Of this region
    a few are close, and hear of every change; the others, ``only_repeats``,
    no more often than a word is repeated.
    """

    only_urgent: bool = False
    only_repeats: bool = False
    told: EngineLoad | None = None
    told_at: float = 0.0

    def take(self, load: EngineLoad, now: float) -> bool:
        """Give whether they are to be told now, and note that they are."""
        if not self._is_due(load, now):
            return False
        self.told, self.told_at = load, now
        return True

    def _is_due(self, load: EngineLoad, now: float) -> bool:
        if self.told is None or _urgent_part(load) != _urgent_part(self.told):
            return True
        if self.only_urgent:
            return False
        if now - self.told_at >= REPEAT_S:
            return True
        return load != self.told and not self.only_repeats


def _urgent_part(load: EngineLoad) -> tuple[bool, int, bool, int, int]:
    return (
        load.reachable,
        load.weights,
        load.is_changing,
        load.part_version,
        load.part_end,
    )


class EngineWatch:
    """Owns the reads of the engine; the last one is `reading`.

    Parameters
    ----------
    layers
        Gives the layers of the engine's model; 0 while unknown.
    on_running
        Told after each read how many requests run there.
    """

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        engine: EnginePort,
        peers: PeersTask,
        layers: Callable[[], int],
        *,
        on_running: Callable[[int], None],
    ) -> None:
        self._layers = layers
        self._extends = False
        self._runtime = runtime
        self._node = node
        self._engine = engine
        self._peers = peers
        self._failures = 0
        self._is_changing = False
        self._close = _Audience()
        self._near = _Audience(only_repeats=True)
        self._far = _Audience(only_urgent=True)
        self._changed = asyncio.Event()
        self._on_running = on_running
        self.reading: EngineReading | None = None
        self._lost = runtime.metrics.counter(
            'engine_reads_lost',
            'Reads of the engine without a proper answer.',
        )

    async def watch(self) -> None:
        """Read again and again."""
        while True:
            await self.read_now()
            await sleep_to_tick(READ_EVERY_S)

    async def read_now(self) -> EngineReading | None:
        """Read once and tell the entries of what changed."""
        try:
            reading = await self._engine.read()
        except UpstreamError as exc:
            self._on_lost(exc)
        else:
            self._on_read(reading)
        self._on_running(self.reading.running if self.reading else 0)
        self._tell()
        return self.reading

    def set_changing(self, *, is_changing: bool) -> None:
        """Say whether requests should stay away because of a load."""
        self._is_changing = is_changing
        self._tell()

    def set_extending(self, *, is_extending: bool) -> None:
        """Say whether an order under way only adds layers beside the work."""
        self._extends = is_extending
        self._tell()

    @property
    def layers(self) -> int:
        """Layers of the engine's model; 0 while unknown."""
        return self._layers()

    @property
    def whole(self) -> int:
        """The version that the engine holds whole; 0 for none."""
        return self.reading.whole(self._layers()) if self.reading else 0

    async def until_changed(self) -> None:
        """Wait until another version is loaded than before."""
        self._changed.clear()
        await self._changed.wait()

    def _on_lost(self, exc: UpstreamError) -> None:
        self._lost.add()
        self._failures += 1
        if self._failures != MOST_FAILURES:
            return
        self.reading = None
        self._changed.set()
        self._runtime.log.warning(
            'engine unreachable',
            extra={'step': 'engine', 'reason': str(exc)},
        )

    def _on_read(self, reading: EngineReading) -> None:
        self._failures = 0
        before, self.reading = self.reading, reading
        if before is not None and before.started_ms != reading.started_ms:
            self._changed.set()
            self._runtime.log.warning(
                'engine started again',
                extra={'step': 'engine', 'weights': reading.weights},
            )
        if before is None or _held(before) != _held(reading):
            self._changed.set()
            self._runtime.log.info(
                'engine read',
                extra={
                    'step': 'engine',
                    'weights': reading.weights,
                    'layers': [reading.layers.first, reading.layers.end],
                    'before': before.weights if before else -1,
                },
            )

    def _tell(self) -> None:
        """Tell the entries what changed, and now and then what didn't."""
        load = self._load()
        now = clock_s()
        near, far = self._peers.entry_ips()
        if not near:
            # Nobody would pass its words on.
            near, far = far, []
        close, others = close_entries(self._node.ip, near)
        if close and self._close.take(load, now):
            self._peers.tell(replace(load, is_close=True), close)
        for audience, ips in ((self._near, others), (self._far, far)):
            if ips and audience.take(load, now):
                self._peers.tell(load, ips)

    def _load(self) -> EngineLoad:
        reading = self.reading
        if reading is None:
            return EngineLoad(address=self._node.upstream, reachable=False)
        whole = self.whole
        part = NO_LAYERS if whole else reading.layers
        is_loading = reading.is_busy and not self._extends
        return EngineLoad(
            address=self._node.upstream,
            reachable=True,
            weights=whole,
            is_changing=self._is_changing or is_loading,
            running=reading.running,
            queued=reading.queued,
            memory_used=reading.memory_used,
            pace=reading.pace,
            started_ms=reading.started_ms,
            part_version=reading.weights if part else 0,
            part_first=part.first,
            part_end=part.end,
        )


def _held(reading: EngineReading) -> tuple[int, LayerRange]:
    return reading.weights, reading.layers
