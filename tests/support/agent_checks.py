"""Checks of agents beside their engines."""

from __future__ import annotations

from crowrudder_core.transfer import (
    chunks_of,
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


def assert_whole(world, replica, version):
    """Check every load that an engine made, and that it holds all in the end.

    Each is of sound chunks of the version that was ordered, all those that its
    layers are made of.
    """
    for taken, order in zip(replica.taken, replica.orders, strict=True):
        layers = LayerRange(order.get('from', 0), order.get('target', LAYERS))
        needed = chunks_of(layers, layers=LAYERS, chunks=world.origin.count)
        expected = {
            index: world.origin.piece(order['version'], index)
            for index in indices(needed)
        }
        assert {index: taken.get(index) for index in expected} == expected
    assert replica.whole_weights == version
