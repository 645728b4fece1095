"""Checks of a fleet with faulty upstreams."""

from __future__ import annotations

from crowrudder_model.messages import EngineLoad
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


def inject_fault_all(world, service, name, count=1, amount=0.0):
    for key, replica in world.replicas.items():
        if key.startswith(service):
            replica.faults.switch_on(fault(name, count, amount))


def checked(check, **more):
    """Start a fleet and run a check with it."""

    async def within():
        async with fleet(**more) as world:
            await check(world)

    run(within())


def announce_second_version(world, name, *, end_s):
    """Announce a second version that one replica has; the first ends soon."""
    world.replicas[name].weights = 2
    world.list_replica(name, 'llm')
    world.name_version(2)
    for entry in world.entries:
        entry.catalog.view.releases.window_s = end_s


def refuse_requests(world, name, *, is_changing=True):
    """Report that a replica changes its weights, or no longer does."""
    replica = world.replicas[name]
    load = EngineLoad(
        address=world.addresses[name],
        reachable=True,
        weights=replica.weights,
        is_changing=is_changing,
    )
    for entry in world.entries:
        entry.upstreams.on_load(load)


async def ask_model(world, path='/draft/x'):
    """Send a request for the model of the fleet."""
    return await world.ask(path, method='POST', request_id='a', X_Model='m')
