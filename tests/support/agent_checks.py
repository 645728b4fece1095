"""Checks of agents and their engines."""

from __future__ import annotations

from crowrudder_core.transfer import (
    chunks_of_layers,
    indices,
)
from crowrudder_model.fleet import LayerRange
from crowrudder_standins.fleet_replica import LAYERS
from support.aio import run
from support.fleet import fleet


def checked(check, **more):
    async def within():
        async with fleet(plain=0, engines=0, **more) as world:
            await check(world)

    run(within())


def assert_complete(world, replica, version):
    """Check every load of an engine, and that it ends with complete weights.

    Each load consists of valid chunks of the ordered version, and has every
    chunk of the ordered layers.
    """
    for loaded, order in zip(replica.taken, replica.orders, strict=True):
        layers = LayerRange(order.get('from', 0), order.get('target', LAYERS))
        required = chunks_of_layers(
            layers, layers=LAYERS, chunks=world.origin.count
        )
        expected = {
            index: world.origin.piece(order['version'], index)
            for index in indices(required)
        }
        assert {index: loaded.get(index) for index in expected} == expected
    assert replica.whole_weights == version
