"""Stage chunks at the engine and order their load before they are too old."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, NoReturn

from attrs import frozen

from crowrudder_core.orders import MAX_TAKEN_AGE_S, Staging
from crowrudder_core.transfer import indices
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet.ports import OrderExpiredError, OrderOutcome
from crowrudder_model import UpstreamError

if TYPE_CHECKING:
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet.ports import EnginePort, EngineReading
    from crowrudder_daemon.fleet_agent._engine_watch import EngineWatch
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import LayerRange

STAGING_ATTEMPTS = 2
"""Stagings of one load. A process that is stopped meanwhile is late once; an engine
that is late again is too slow."""


@frozen
class Load:
    """A version to load, and the chunks (bits) that the load needs."""

    model: str
    version: int
    chunks: int


@frozen
class _Order:
    load: Load
    transfer: Transfer
    may_cut_off: bool
    layers: LayerRange | None

    def may_keep_layers_of(self, before: EngineReading) -> bool:
        """Return whether the engine may keep layers that it held or was loading."""
        if before.is_busy:
            return True
        if before.weights != self.load.version:
            return False
        return self.layers is None or self.layers.overlaps(before.layers)


class UnprovedOrderError(UpstreamError):
    """The engine may have accepted the order when its chunks were too old."""


class StagedOrders:
    """Sends orders to load staged chunks, one at a time.

    A chunk that lies at an engine may become corrupted, and the engine loads it as
    it is when it accepts the order. So all chunks of a load are staged anew, the
    order is sent only while they are young, and an acceptance that isn't known to
    have come in time leaves the engine's layers unproved.

    Attributes
    ----------
    is_too_slow
        Whether the last staging took too long for an order.
    """

    def __init__(
        self, runtime: Runtime, *, engine: EnginePort, watch: EngineWatch
    ) -> None:
        self.is_too_slow = False
        # Held from the first chunk of a load until its order is answered.
        self._lock = asyncio.Lock()
        # Chunks that the engine may still accept, in place of those of a later
        # version.
        self._unanswered: set[int] = set()
        self._runtime = runtime
        self._engine = engine
        self._watch = watch
        self._outcomes = runtime.metrics.counter(
            'engine_orders',
            'Orders to load weights, by outcome.',
            labels=('outcome',),
        )

    async def execute(
        self,
        load: Load,
        transfer: Transfer,
        *,
        may_cut_off: bool,
        layers: LayerRange | None = None,
    ) -> None:
        """Stage the chunks of a load and order it; return once it is accepted.

        Raises
        ------
        OrderExpiredError
            If staging took too long; nothing was ordered.
        UnprovedOrderError
            If the order may have been accepted too late.
        UpstreamError
            If the engine didn't take a chunk or refused the order.
        """
        order = _Order(load, transfer, may_cut_off, layers)
        async with self._lock:
            await self._stage_and_send(order)

    async def withdraw(self, load: Load, layers: LayerRange) -> None:
        """Order the engine to keep some layers of its version, without staging.

        The engine may take them from whatever is staged, so they aren't proved.

        Raises
        ------
        UpstreamError
            If the engine did not accept the order.
        """
        async with self._lock:
            reading = self._watch.reading
            if reading is not None:
                self._watch.proofs.on_sending(
                    reading.started_ms, reading.orders or 0
                )
            outcome = await self._engine.load(
                load.model,
                load.version,
                may_cut_off=False,
                layers=layers,
                expected_orders=reading.orders if reading else None,
                chunks=frozenset(),
            )
            self._raise_if_refused(outcome)

    async def stage_one(
        self, model: str, index: int, transfer: Transfer
    ) -> None:
        """Stage a chunk while no load is staged and ordered.

        Raises
        ------
        UpstreamError
            If the engine didn't take the chunk.
        """
        async with self._lock:
            await self._put(model, index, transfer)

    async def check_speed(self, load: Load, transfer: Transfer) -> None:
        """Stage chunks of a load, to learn if the engine takes them in time.

        Others may stage and order between two chunks.

        Raises
        ------
        OrderExpiredError
            If it doesn't.
        UpstreamError
            If it didn't take a chunk.
        """
        staging = Staging(clock_s())
        for index in indices(load.chunks):
            await self.stage_one(load.model, index, transfer)
            self._check_age(load, staging)
        self.is_too_slow = False

    async def _stage_and_send(self, order: _Order) -> None:
        for _ in range(STAGING_ATTEMPTS - 1):
            with contextlib.suppress(OrderExpiredError):
                await self._attempt(order)
                return
        await self._attempt(order)

    async def _attempt(self, order: _Order) -> None:
        before = await self._engine.read()
        staging = Staging(clock_s())
        await self._stage(order.load, order.transfer, staging)
        counted = (before.started_ms, before.orders or 0)
        # A report doesn't tell which of two orders was accepted.
        is_only_order = not self._watch.proofs.may_have_pending(*counted)
        was_proved = self._watch.proofs.is_proved(*counted)
        self._watch.proofs.on_sending(*counted)
        try:
            outcome = await self._send(
                order, before, staging, is_only_order=is_only_order
            )
        except OrderExpiredError as exc:
            self._raise_expired(order.load, staging, exc)
        accepted_by = clock_s()
        self._raise_if_refused(outcome)
        if outcome is OrderOutcome.BEGUN:
            await self._raise_if_unproved(order, before, staging, accepted_by)
            if was_proved or not order.may_keep_layers_of(before):
                self._watch.proofs.on_proved()
        self._log_order(order.load, staging.age_s(accepted_by))

    async def _raise_if_unproved(
        self,
        order: _Order,
        before: EngineReading,
        staging: Staging,
        accepted_by: float,
    ) -> None:
        reason = await self._doubt_of(order, staging, accepted_by)
        if reason:
            self._outcomes.add(outcome='unproved')
            self._watch.proofs.on_late(before.started_ms)
            raise UnprovedOrderError(
                f'{reason}; the layers are loaded anew', step='order'
            )

    async def _doubt_of(
        self, order: _Order, staging: Staging, accepted_by: float
    ) -> str:
        """Return why an accepted order may have taken unsound chunks, or ``''``."""
        if not staging.proves(accepted_by):
            age_s = staging.age_s(accepted_by)
            return (
                f'accepted {age_s:.2f} s after its first chunk was staged, '
                f'{MAX_TAKEN_AGE_S} s at most'
            )
        if await self._has_kept_chunks(order):
            return ''
        return 'another chunk is staged in place of one of its own'

    async def _send(
        self,
        order: _Order,
        before: EngineReading,
        staging: Staging,
        *,
        is_only_order: bool,
    ) -> OrderOutcome:
        """Send the order; ask the engine for its state if no response comes."""
        load = order.load
        try:
            return await self._engine.load(
                load.model,
                load.version,
                may_cut_off=order.may_cut_off,
                layers=order.layers,
                expected_orders=before.orders,
                chunks=frozenset(indices(load.chunks)),
                may_send=lambda: staging.may_order(clock_s()),
            )
        except OrderExpiredError:
            raise
        except UpstreamError:
            if is_only_order and await self._has_accepted_since(before):
                return OrderOutcome.BEGUN
            raise

    async def _has_accepted_since(self, before: EngineReading) -> bool:
        """Return whether the engine reports exactly one more order."""
        if before.orders is None:
            return False
        try:
            reading = await self._engine.read()
        except UpstreamError as exc:
            self._runtime.log.info('order without a response: %s', exc)
            return False
        return (
            reading.started_ms == before.started_ms
            and reading.orders == before.orders + 1
        )

    async def _stage(
        self, load: Load, transfer: Transfer, staging: Staging
    ) -> None:
        """Stage all chunks of a load, even those that were staged earlier."""
        for index in indices(load.chunks):
            await self._put(load.model, index, transfer)
            self._check_age(load, staging)
        self.is_too_slow = False
        self._runtime.log.info(
            'version staged',
            extra={
                'step': 'stage',
                'version': load.version,
                'took_s': round(staging.age_s(clock_s()), 3),
            },
        )

    async def _put(self, model: str, index: int, transfer: Transfer) -> None:
        payload = transfer.chunk(index)
        if payload is None:
            raise UpstreamError('a chunk is missing', step='stage')
        try:
            await self._engine.put_chunk(model, index, payload)
        except UpstreamError:
            self._unanswered.add(index)
            raise

    async def _has_kept_chunks(self, order: _Order) -> bool:
        """Return whether no late chunk took the place of one of the order's."""
        for index in indices(order.load.chunks):
            if index not in self._unanswered:
                continue
            staged = await self._engine.get_chunk(order.load.model, index)
            if staged != order.transfer.chunk(index):
                return False
        return True

    def _check_age(self, load: Load, staging: Staging) -> None:
        if not staging.may_order(clock_s()):
            self._raise_expired(load, staging)

    def _raise_expired(
        self,
        load: Load,
        staging: Staging,
        cause: OrderExpiredError | None = None,
    ) -> NoReturn:
        self.is_too_slow = True
        self._outcomes.add(outcome='expired')
        age_s = staging.age_s(clock_s())
        self._runtime.log.warning(
            'staged too long ago for an order',
            extra={
                'step': 'stage',
                'version': load.version,
                'age_s': round(age_s, 3),
            },
        )
        raise OrderExpiredError(
            f'the first chunk was staged {age_s:.2f} s ago; nothing was ordered',
            step='stage',
        ) from cause

    def _raise_if_refused(self, outcome: OrderOutcome) -> None:
        is_refused = outcome is OrderOutcome.REFUSED
        self._outcomes.add(outcome='refused' if is_refused else 'taken')
        if is_refused:
            raise UpstreamError('the engine refused the order', step='order')

    def _log_order(self, load: Load, age_s: float) -> None:
        self._runtime.log.info(
            'version ordered',
            extra={
                'step': 'order',
                'version': load.version,
                'age_s': round(age_s, 3),
            },
        )
