"""An entry in a process of its own, whose callbacks are measured.

As a program, ``python -m support.endless_entry STORE ERA REVISION`` runs one
until its input ends. It prints its address for callers, then what was measured.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
from attrs import define, evolve

from crowrudder_daemon.http import HttpConnection
from crowrudder_model import StorePosition
from support.aio import run
from support.fleet import FleetWorld
from support.patience import allow_silence

TESTS = Path(__file__).parents[1]
MANY_RETRIES = {'retry_extra': 100_000}
FAULTY_FIRST = 2
"""Runs for which the program's entry chooses the faulty upstream."""


class Taken:
    """The bytes of connections, and processor time of the longest callback."""

    def __init__(self, patch) -> None:
        self.by_conn: dict[HttpConnection, int] = {}
        self.longest_s = 0.0
        data_received = HttpConnection.data_received
        run_handle = asyncio.Handle._run

        def count(conn, data):
            self.by_conn[conn] = self.by_conn.get(conn, 0) + len(data)
            data_received(conn, data)

        def time_handle(handle):
            began_at = time.thread_time()
            run_handle(handle)
            took_s = time.thread_time() - began_at
            self.longest_s = max(self.longest_s, took_s)

        patch.setattr(HttpConnection, 'data_received', count)
        patch.setattr(asyncio.Handle, '_run', time_handle)

    @property
    def most(self):
        return max(self.by_conn.values(), default=0)


@define
class EntryProcess:
    """What the process measured, known once its block has ended."""

    most_taken: int = 0
    longest_s: float = 0


def choose_faulty_first(world, patch, count):
    """Let the entry choose the faulty upstream for a number of first runs."""
    upstreams = world.entries[0].upstreams
    choose = upstreams.choose
    left = iter(range(count))

    def choose_faulty(required):
        if 's0' not in required.avoid and next(left, None) is not None:
            required = evolve(required, avoid=required.avoid | {'s1', 's2'})
        return choose(required)

    patch.setattr(upstreams, 'choose', choose_faulty)


@contextlib.asynccontextmanager
async def entry_process(world):
    """Run the program beside the stand-ins of a fleet, as its first entry."""
    position = world.store_position
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'support.endless_entry',
        world.store_address,
        str(position.era),
        str(position.revision),
        cwd=TESTS,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert child.stdout is not None
    entry = EntryProcess()
    try:
        callers = (await child.stdout.readline()).decode().strip()
        assert callers, 'the entry did not start'
        world.nodes.append(SimpleNamespace(callers=callers))
        yield entry
        measured, _ = await child.communicate(b'')
        entry.most_taken, entry.longest_s = json.loads(measured)
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()


async def _run_entry(patch, store, position):
    world = FleetWorld(store_address=store)
    try:
        entry = await world.add_entry(**MANY_RETRIES)
        await world.until(lambda: entry.catalog.catalog.position >= position)
        choose_faulty_first(world, patch, FAULTY_FIRST)
        taken = Taken(patch)
        print(world.nodes[0].callers, flush=True)
        await asyncio.to_thread(sys.stdin.read)
        print(json.dumps([taken.most, taken.longest_s]))
    finally:
        await world.close()


def main(store, era, revision):
    """Run an entry until the input ends; print what was measured."""
    position = StorePosition(int(era), int(revision))
    with pytest.MonkeyPatch.context() as patch:
        allow_silence(patch)
        run(_run_entry(patch, store, position))


if __name__ == '__main__':
    main(*sys.argv[1:])
