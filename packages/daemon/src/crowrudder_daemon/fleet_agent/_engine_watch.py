"""Poll the local engine and send load reports to the entries."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from attrs import define
from msgspec.structs import replace

from crowrudder_core.membership import close_entries
from crowrudder_core.orders import OrderProofs
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

READ_INTERVAL_S = 0.1
"""Interval of reads. A read of the local engine is cheap, and entries forecast by
the age of the last one."""

RESEND_INTERVAL_S = 0.4
"""Interval at which an unchanged report is sent again, as datagrams get lost."""

DELAY_STEP_S = 0.1
"""Resolution of the reported delay of the link: each change is sent."""

URGENT_DELAY_S = 0.3
"""Step of the reported delay that all entries are sent at once."""

MAX_READ_FAILURES = 2
"""Consecutive failed reads after which the engine counts as unreachable."""


@define
class _Recipients:
    """A group of entries that receive load reports, and the last report sent.

    All entries receive at once what decides whether they may send here at all.
    Entries of other regions receive the rest through entries of this region.
    In this region a few close entries receive every change; the others,
    ``only_repeats``, receive reports at the resend interval only.
    """

    only_urgent: bool = False
    only_repeats: bool = False
    last_sent: EngineLoad | None = None
    last_sent_at: float = 0.0

    def mark_if_due(self, load: EngineLoad, now: float) -> bool:
        """Return whether a report is due now; if so, record it as sent."""
        if not self._is_due(load, now):
            return False
        self.last_sent, self.last_sent_at = load, now
        return True

    def _is_due(self, load: EngineLoad, now: float) -> bool:
        if self.last_sent is None or _urgent_fields(load) != _urgent_fields(
            self.last_sent
        ):
            return True
        if self.only_urgent:
            return False
        if now - self.last_sent_at >= RESEND_INTERVAL_S:
            return True
        return load != self.last_sent and not self.only_repeats


def _urgent_fields(load: EngineLoad) -> tuple[object, ...]:
    return (
        load.reachable,
        (load.is_changing, load.is_leaving),
        load.weights,
        (load.partial_version, load.end_layer),
        int(load.link_delay_s / URGENT_DELAY_S),
    )


class EngineWatch:
    """Polls the engine; the last result is `reading`.

    Parameters
    ----------
    layers
        Returns the number of layers of the engine's model; 0 while unknown.
    is_newest
        Returns whether no version after one of the engine's model is published.
    link_delay_s
        Returns the queueing delay of the host's link, in seconds.
    on_running
        Called after each read with the number of running requests.

    Attributes
    ----------
    offered_at
        When a report last offered a partial version to the entries.
    proofs
        Tells whether the engine's layers were taken in time; entries are told of
        no others.
    """

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        engine: EnginePort,
        peers: PeersTask,
        layers: Callable[[], int],
        *,
        is_newest: Callable[[int], bool],
        link_delay_s: Callable[[], float],
        on_running: Callable[[int], None],
    ) -> None:
        self._link_delay_s = link_delay_s
        self._layers = layers
        self._is_newest = is_newest
        self.offered_at = -math.inf
        self.proofs = OrderProofs()
        self._is_extending = False
        self._runtime = runtime
        self._node = node
        self._engine = engine
        self._peers = peers
        self._failures = 0
        self._is_changing = False
        self._close = _Recipients()
        self._near = _Recipients(only_repeats=True)
        self._far = _Recipients(only_urgent=True)
        self._changed = asyncio.Event()
        self._on_running = on_running
        self.reading: EngineReading | None = None
        self._lost_reads = runtime.metrics.counter(
            'engine_reads_lost',
            'Reads of the engine without a proper answer.',
        )

    async def watch(self) -> None:
        """Read the engine periodically."""
        while True:
            await self.read_now()
            await sleep_to_tick(READ_INTERVAL_S)

    async def read_now(self) -> EngineReading | None:
        """Read once and send changes to the entries."""
        try:
            reading = await self._engine.read()
        except UpstreamError as exc:
            self._on_read_failure(exc)
        else:
            self._on_read(reading)
        self._on_running(self.reading.running if self.reading else 0)
        self._send_load()
        return self.reading

    def set_changing(self, *, is_changing: bool) -> None:
        """Set whether entries should send no requests because of a load."""
        self._is_changing = is_changing
        self._send_load()

    def set_extending(self, *, is_extending: bool) -> None:
        """Set whether the current order only adds layers while requests run."""
        self._is_extending = is_extending
        self._send_load()

    @property
    def layers(self) -> int:
        """Number of layers of the engine's model; 0 while unknown."""
        return self._layers()

    @property
    def whole(self) -> int:
        """The version that the engine holds completely; 0 for none.

        Layers that aren't proved don't count.
        """
        if self.reading is None or not self.is_proved:
            return 0
        return self.reading.whole(self._layers())

    @property
    def is_proved(self) -> bool:
        """Whether the layers that the engine holds were taken in time."""
        reading = self.reading
        return reading is None or self.proofs.is_proved(
            reading.started_ms, reading.orders or 0
        )

    async def wait_until_changed(self) -> None:
        """Wait until the engine holds other weights, restarts or is lost."""
        self._changed.clear()
        await self._changed.wait()

    def _on_read_failure(self, exc: UpstreamError) -> None:
        self._lost_reads.add()
        self._failures += 1
        if self._failures != MAX_READ_FAILURES:
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
        if before is None or _held_layers(before) != _held_layers(reading):
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

    def _send_load(self) -> None:
        """Send the load report to all entries for which it is due."""
        load = self.load_report()
        now = clock_s()
        if load.partial_version and not load.is_changing:
            self.offered_at = now
        near, far = self._peers.entry_ips()
        if not near:
            # No entry of this region would forward the reports.
            near, far = far, []
        close, others = close_entries(self._node.ip, near)
        if close and self._close.mark_if_due(load, now):
            self._peers.send(replace(load, is_close=True), close)
        for recipients, ips in ((self._near, others), (self._far, far)):
            if ips and recipients.mark_if_due(load, now):
                self._peers.send(load, ips)

    def load_report(self) -> EngineLoad:
        """Return the load report on the last reading."""
        reading = self.reading
        if reading is None:
            return EngineLoad(
                address=self._node.upstream,
                reachable=False,
                link_delay_s=self._rounded_delay_s(),
            )
        loaded_version = self.whole
        # Entries build pipelines of the newest version only.
        is_offered = (
            not loaded_version
            and self.is_proved
            and self._is_newest(reading.weights)
        )
        partial_layers = reading.layers if is_offered else NO_LAYERS
        is_loading = reading.is_busy and not self._is_extending
        return EngineLoad(
            address=self._node.upstream,
            reachable=True,
            weights=loaded_version,
            is_changing=self._is_changing or is_loading,
            running=reading.running,
            queued=reading.queued,
            memory_used=reading.memory_used,
            pace=reading.pace,
            started_ms=reading.started_ms,
            is_leaving=reading.is_leaving,
            partial_version=reading.weights if partial_layers else 0,
            first_layer=partial_layers.first,
            end_layer=partial_layers.end,
            link_delay_s=self._rounded_delay_s(),
        )

    def _rounded_delay_s(self) -> float:
        """Return the delay of the link in whole steps, rounded down."""
        steps = int(self._link_delay_s() / DELAY_STEP_S)
        return round(steps * DELAY_STEP_S, 1)


def _held_layers(reading: EngineReading) -> tuple[int, LayerRange]:
    return reading.weights, reading.layers
