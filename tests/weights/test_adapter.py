"""Adapters of a loaded version: own chunks, own order, verified state."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import pytest

from crowrudder_daemon.agent._orders import EngineOrderer
from crowrudder_daemon.agent._upstream import EngineState
from crowrudder_daemon.agent.weights._goal import Goal
from crowrudder_daemon.agent.weights._loading import Loader
from crowrudder_daemon.chunks import Artifact
from crowrudder_daemon.chunks._stock import EngineStatus
from crowrudder_daemon.fetch import Answer
from crowrudder_model import InvariantError, UpstreamError
from crowrudder_model.declared import Service, Version
from support.aio import run
from support.weights_versions import NEW, OLD, begin, fill, version

GOAL = Goal(
    Service('listing', model='listing', version='old', adapters=('formal',)),
    Version('old', 'listing', 'a' * 64, size=1, chunks=1),
    (1, 'b' * 64),
    (Artifact('formal', 'c' * 64),),
)


class Engine:
    """An engine with a loaded version that loads or ignores adapters."""

    address = 'engine'

    def __init__(self, *, obeys=True):
        self.obeys = obeys
        self.staged: dict[tuple[str, int], bytes] = {}
        self.orders: list[dict[str, Any]] = []
        self._state = EngineState('listing', 'old', (), '', 1 << 28)

    async def state(self):
        return self._state

    async def put_chunk(self, name, index, payload):
        self.staged[name, index] = payload

    async def order(self, order, *, timeout_s):
        self.orders.append(order)
        if self.obeys:
            adapters = (*self._state.adapters, order['adapter'])
            self._state = attrs.evolve(self._state, adapters=adapters)
        return Answer(200, (), b'')


def loader(engine: Any) -> Loader:
    nothing: Any = None
    return Loader(
        engine=engine,
        orders=EngineOrderer(engine),
        runs=nothing,
        peers=nothing,
        engine_status=EngineStatus(),
        on_progress=lambda _: None,
    )


class TestAdapter:
    def test_ordered_with_its_own_chunks(self):
        async def check():
            engine = Engine()
            adapter = begin(version('formal', NEW))
            fill(adapter, NEW)
            state = await loader(engine).load_adapter(GOAL, 'formal', adapter)
            (order,) = engine.orders
            assert order['order'] == 'load_adapter'
            assert (order['version'], order['adapter']) == ('old', 'formal')
            assert order['digest'] == adapter.manifest.digest
            assert list(engine.staged.values()) == NEW
            assert state.adapters == ('formal',)

        run(check())

    def test_adapter_included_in_version_has_no_chunks(self):
        async def check():
            engine = Engine()
            await loader(engine).load_adapter(GOAL, 'formal', None)
            (order,) = engine.orders
            assert order['chunks'] == 0
            assert order['digest'] == hashlib.sha256(b'').hexdigest()

        run(check())

    def test_partial_adapter_is_not_ordered(self):
        async def check():
            engine = Engine()
            adapter = begin(version('formal', OLD))
            fill(adapter, OLD[:2])
            with pytest.raises(InvariantError):
                await loader(engine).load_adapter(GOAL, 'formal', adapter)
            assert not engine.orders

        run(check())

    def test_unloaded_adapter_after_order_is_an_error(self):
        """Guard against treating the answer to an order as the engine's state.

        The engine answers 200 but does not load the adapter; its callers got
        text of the plain version.
        """

        async def check():
            engine = Engine(obeys=False)
            with pytest.raises(UpstreamError, match='after the order'):
                await loader(engine).load_adapter(GOAL, 'formal', None)

        run(check())
