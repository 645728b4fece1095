"""A side machine freezes between the staging of a version and its order."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'lib'))

from engine import CHUNK_BYTES, CHUNKS, LAYERS, MODEL, WARM_S, Engine, Origin  # noqa: E402
from world import TROUBLE, World, ZONES, call, config, route  # noqa: E402

SIDES = 9
FREEZE_S = 4.0  # node_freeze on side, share 0.12 (1 of 9), for_s 4.0
ROT_AFTER_S, ROT_SHARE = 0.5, 0.06  # garble rot, share 0.3 (2 of 9), x 0.06
VERSIONS, VERSION_EVERY_S = 4, 22.0


async def main() -> int:
    world = World(CASE, entries=3)
    try:
        return await play(world)
    except Exception as exc:  # the case couldn't run
        world.record('could not run:', repr(exc), show=True)
        return 2
    finally:
        world.close()


async def play(world: World) -> int:
    record, rng = world.record, random.Random(7)
    origin = Origin(mbps=15)
    await origin.listen(world.ip(5, 0), world.base + 24)
    engine_figures = {
        'slots': 16, 'kv_capacity': 317000, 'stride': 6, 'step_ms': 9.27, 'read_per_s': 20700,
        'chunk': 2048, 'usual': {'prompt': 800, 'answer': 100}, 'models': [{'name': MODEL, 'warm_s': WARM_S}],
        'layers': LAYERS, 'chunks': CHUNKS, 'chunk_bytes': CHUNK_BYTES}
    services = [
        {'name': 'llm', 'max_conns': 400, 'health_path': '/health', 'engine': engine_figures},
        {'name': 'ledger', 'origin': origin.address, 'zone': 'zone-a', 'link_mbps': 15, 'max_conns': 48}]
    await world.start(config(1, [route('drafts', '/draft/', 'llm', 'streaming', resumable=True)], services))
    engines: list[Engine] = []
    for number in range(SIDES):
        engine = Engine(f'i-{number}', record)
        await engine.listen(world.ip(2, number), world.base + 23)
        engines.append(engine)
        engine.side = world.start_agent(number, engine.address, 'llm')
        engine.zone = list(ZONES)[number % 3]
        write(world, engine)
    await world.wait_ready()
    await asyncio.sleep(4)
    state = {'frozen': None, 'armed': False}

    def on_put(engine: Engine, index: int) -> None:
        # All pieces are staged again directly before an order; early staging
        # puts each only once.
        if not (TROUBLE and state['armed']) or state['frozen'] or index != CHUNKS - 1:
            return
        if engine.puts[-CHUNKS:] != list(range(CHUNKS)) or len(engine.puts) <= CHUNKS:
            return
        state['frozen'], state['armed'] = engine, False
        child = world.children[engine.side]
        child.send_signal(signal.SIGSTOP)
        record('freeze of', engine.side, 'after its last piece was staged', show=True)
        loop = asyncio.get_running_loop()
        loop.call_later(ROT_AFTER_S, rot, engine)
        loop.call_later(FREEZE_S, wake, engine)

    def rot(engine: Engine) -> None:
        others = rng.sample([e for e in engines if e is not engine], 1)
        for each in (engine, *others):
            record('rot at', each.id, 'pieces', each.rot(ROT_SHARE, rng), show=True)

    def wake(engine: Engine) -> None:
        world.children[engine.side].send_signal(signal.SIGCONT)
        state['frozen'] = None
        record('wake of', engine.side, show=True)

    for engine in engines:
        engine.on_put = on_put
    ends: dict = {}
    load = asyncio.ensure_future(send_all(world, ends))
    listing = asyncio.ensure_future(list_changes(world, engines))
    for number in range(VERSIONS):
        for engine in engines:
            engine.puts.clear()
        origin.newest += 1
        record('version', origin.newest, 'is named', show=True)
        state['armed'] = True
        world.store.put(f'op/version/{MODEL}', {'model': MODEL, 'version': origin.newest})
        if not TROUBLE and number:
            # the same pieces turn bad at some engines, beside no freeze
            for engine in rng.sample(engines, 2):
                record('rot at', engine.id, engine.rot(ROT_SHARE, rng))
        await asyncio.sleep(VERSION_EVERY_S)
    load.cancel()
    listing.cancel()
    await asyncio.sleep(2)
    record('requests', ends, 'versions at the engines', sorted(e.version for e in engines), show=True)
    if ends.get(200, 0) < 500 or min(e.version for e in engines) < origin.newest - 1:
        return 2
    broken = [e for e in engines if e.bad_tokens]
    for engine in broken:
        record('BROKEN: WHOLE', engine.id, len(engine.bad_tokens), 'tokens with bad layers', show=True)
    record('tokens', sum(e.tokens for e in engines), 'of them made with bad layers',
           sum(len(e.bad_tokens) for e in engines), show=True)
    return 1 if broken else 0


def write(world: World, engine: Engine) -> None:
    world.store.put(f'servers/{engine.id}', {
        'service': 'llm', 'address': engine.address, 'zone': engine.zone, 'version': 'v1', 'slots': 16,
        'state': 'ready', 'cold_left_ms': 0, 'seq': engine.seq, **engine.models()})
    engine.written = engine.version


async def list_changes(world: World, engines: list[Engine]) -> None:
    while True:
        await asyncio.sleep(1.2)
        for engine in engines:
            if engine.written != engine.version:
                write(world, engine)


async def send_all(world: World, ends: dict) -> None:
    number, tasks = 0, set()

    async def send(number: int) -> None:
        answer = await call(
            f'{world.ip(1, number % 3)}:{world.front_port}', 'POST', f'/draft/{number}',
            [('X-Attempt-Id', f'q{number:06d}'), ('X-Deadline-Ms', '6000'), ('X-Model', MODEL),
             ('X-Token-Count', '800,25')], b'{}', timeout_s=7)
        status = answer.status if answer else None
        ends[status] = ends.get(status, 0) + 1
        world.record('answered', number, status, 'whole' if answer and answer.complete else 'cut',
                     answer.get('X-Replica-Seal') if answer else '')

    while True:
        number += 1
        task = asyncio.ensure_future(send(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / 30)


sys.exit(asyncio.run(main()))
