"""Checks of a fleet whose upstreams misbehave."""

from __future__ import annotations

from crowrudder_standins._faults import Fault
from support.aio import run
from support.fleet import fleet


def fault(name, count=1, amount=0.0):
    return Fault(name, count, amount)


def all_runs(world, request_id):
    return [
        began
        for replica in world.replicas.values()
        for began in replica.runs_of(request_id)
    ]


def spoil_all(world, service, name, count=1, amount=0.0):
    for key, replica in world.replicas.items():
        if key.startswith(service):
            replica.faults.switch_on(fault(name, count, amount))


def checked(check, **more):
    """Run a check within a fleet."""

    async def within():
        async with fleet(**more) as world:
            await check(world)

    run(within())
