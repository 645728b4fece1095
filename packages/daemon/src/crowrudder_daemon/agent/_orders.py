"""Send orders to the engine of this host and read back their effect."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.orders import (
    EngineOrders,
    EngineRead,
    Loaded,
    Outdated,
    SendOrder,
    Target,
)
from crowrudder_model import CrowrudderError, UpstreamError

if TYPE_CHECKING:
    from crowrudder_daemon.agent._upstream import EngineClient, EngineState

LOAD_TIMEOUT_S = 600.0
ENGINE_POLL_INTERVAL_S = 1.0
"""Interval between reads of the state of a loaded engine.

A stale agent may revert an engine that ignores fencing numbers, and an engine
that restarts has nothing loaded. Neither is reported to the agent.
"""

HTTP_OK = 200


class OutdatedError(CrowrudderError):
    """The engine follows a newer configuration than this process knows."""


@frozen(kw_only=True)
class StagedWeights:
    """Count and digest of the staged chunks, as a load order states them."""

    chunks: int
    digest: str


class EngineOrderer:
    """Carries out the decisions of the orders aggregate on one engine."""

    def __init__(self, engine: EngineClient) -> None:
        self._engine = engine
        self._orders = EngineOrders()

    async def loaded(self, target: Target) -> EngineState | None:
        """Return the engine's state if it serves the target, else None.

        Raises
        ------
        OutdatedError
            If the engine has orders of a newer configuration.
        """
        state = await self._engine.state()
        decision = self._orders.on_read(_engine_read_of(state), target)
        self._raise_if_outdated(decision, target)
        return state if isinstance(decision, Loaded) else None

    async def load(self, target: Target, staged: StagedWeights) -> EngineState:
        """Order the engine to load the target, and verify its state.

        Raises
        ------
        OutdatedError
            If the engine has orders of a newer configuration.
        UpstreamError
            If the engine refused, or reports another version afterwards.
        """
        state = await self._engine.state()
        decision = self._orders.on_read(_engine_read_of(state), target)
        self._raise_if_outdated(decision, target)
        if isinstance(decision, SendOrder):
            await self._send_order(decision, target, staged)
            state = await self._engine.state()
        if not self._orders.confirms(_engine_read_of(state), target):
            raise UpstreamError(
                f'the engine has {state.version!r} after the order',
                step='read back',
                peer=self._engine.address,
            )
        return state

    async def load_adapter(
        self,
        target: Target,
        adapter: str,
        staged: StagedWeights,
    ) -> EngineState:
        """Order an adapter for the loaded target, and verify the engine's state.

        Raises
        ------
        OutdatedError
            If the engine has orders of a newer configuration.
        UpstreamError
            If the engine refused, or doesn't report target and adapter.
        """
        state = await self._engine.state()
        decision = self._orders.on_read(_engine_read_of(state), target)
        self._raise_if_outdated(decision, target)
        if isinstance(decision, Loaded) and adapter not in state.adapters:
            order = SendOrder(fence=self._orders.seen.packed)
            await self._send_order(order, target, staged, adapter=adapter)
            state = await self._engine.state()
        confirmed = self._orders.confirms(_engine_read_of(state), target)
        if not confirmed or adapter not in state.adapters:
            raise UpstreamError(
                f'the engine has {state.version!r} with {state.adapters} '
                f'after the order for {adapter}',
                step='read back',
                peer=self._engine.address,
            )
        return state

    async def wait_until_changed(self, target: Target) -> None:
        """Wait until the engine no longer reports the target."""
        while True:
            await asyncio.sleep(ENGINE_POLL_INTERVAL_S)
            state = await self._engine.state()
            if not self._orders.confirms(_engine_read_of(state), target):
                return

    async def _send_order(
        self,
        decision: SendOrder,
        target: Target,
        staged: StagedWeights,
        *,
        adapter: str = '',
    ) -> None:
        answer = await self._engine.order(
            {
                'order': 'load_adapter' if adapter else 'load',
                'fence': decision.fence,
                'model': target.model,
                'version': target.version,
                'adapter': adapter,
                'role': '',
                'chunks': staged.chunks,
                'digest': staged.digest,
            },
            timeout_s=LOAD_TIMEOUT_S,
        )
        if answer.status != HTTP_OK:
            raise UpstreamError(
                f'the order was answered {answer.status}: {answer.body!r}',
                step='load',
                peer=self._engine.address,
            )

    def _raise_if_outdated(
        self,
        decision: Loaded | Outdated | SendOrder,
        target: Target,
    ) -> None:
        if isinstance(decision, Outdated):
            raise OutdatedError(
                f'the engine has orders of generation {decision.generation},'
                f' this process knows {target.generation}; no order is given',
                step='order',
                peer=self._engine.address,
            )


def _engine_read_of(state: EngineState) -> EngineRead:
    return EngineRead(
        model=state.model,
        version=state.version,
        fence=state.fence,
        loading=state.loading,
    )
