"""Version ends in the platform soak."""

from __future__ import annotations

import asyncio
import json
import random
import time

import _platform_ends
import pytest
from _platform_chaos import PlatformChaos
from _platform_config import EXTRA_ROUTES, configuration
from _platform_ends import VersionEnds
from _platform_fleet import (
    SLOTS_AND_QUEUES,
    STAND_INS,
    Plan,
    PlatformFleet,
    ReplicaIncarnation,
)
from crowrudder_platform._records import decode_record
from platform_soak import choose_plan
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from crowrudder_model.fleet import FleetConfig
from crowrudder_standins._serving import application
from crowrudder_standins._slots import Slots
from crowrudder_standins.fleet_replica import FleetReplica
from support.aio import run
from support.path import until

LARGE_BYTES = 250_000
WINDOW_S = 0.5


@pytest.fixture(name='fleet')
def make_fleet(tmp_path, monkeypatch):
    """Return a fleet's stand-ins: a plain replica and two engines."""
    plan = Plan(entries=0, agents=2, plains=1)
    fleet = PlatformFleet(plan, tmp_path, random.Random(1), random.Random(2))
    fleet._addresses['origin'] = '127.0.0.1:1'
    for name in ('plain-0', 'engine-0', 'engine-1'):
        service = 'llm' if name.startswith('engine') else 'plain'
        replica = fleet._replica(name, service)
        fleet.replicas[name] = ReplicaIncarnation(
            replica, service, '', 'z1', None
        )
    monkeypatch.setattr(_platform_ends, 'VERSION_S', WINDOW_S)
    monkeypatch.setattr(_platform_ends, 'NAMED_AFTER_S', (0.0, 0.0))
    return fleet


def make_version_ends(fleet, seed=1):
    logged_lines: list[str] = []
    chaos = PlatformChaos(fleet, random.Random(1), logged_lines.append)
    return VersionEnds(fleet, random.Random(seed), chaos, logged_lines.append)


def published(fleet):
    """Return the route count of each configuration in the store's history."""
    return [
        len(json.loads(each.value)['routes'])
        for each in fleet.store.history
        if each.key == 'op/config'
    ]


def set_loaded_version(fleet, name, version):
    replica = fleet.replicas[name].replica
    replica.weights = version
    replica.layers = (0, 16)


class TestConfigurations:
    def test_large_configuration_has_the_size_of_the_users(self):
        small, large = (
            json.dumps(configuration(1, 'o', ['k'], is_large=is_large))
            for is_large in (False, True)
        )
        assert len(large) > LARGE_BYTES
        assert len(small) < LARGE_BYTES / 10

    def test_programs_decode_large_configuration(self):
        large = configuration(1, 'o', ['k'], is_large=True)
        small = configuration(1, 'o', ['k'], is_large=False)
        taken = decode_record('op/config', json.dumps(large).encode())
        assert isinstance(taken, FleetConfig)
        assert len(taken.routes) == len(small['routes']) + EXTRA_ROUTES


class TestRandomChoices:
    def test_known_seeds_choose_the_same_plans(self):
        """Other random generators must not change a seed's own choices."""
        assert choose_plan(random.Random(1), is_large=False) == Plan(2, 5, 2)
        assert choose_plan(random.Random(10), is_large=False) == Plan(4, 3, 2)

    def test_queues_use_a_separate_random_generator(self, fleet):
        before = fleet.rng.getstate()
        made = [fleet._replica('e', 'llm') for _ in range(60)]
        sampled = {(each.slots, each.places.places) for each in made}
        assert sampled == set(SLOTS_AND_QUEUES)
        assert fleet.rng.getstate() == before

    def test_plain_replicas_have_no_queue(self, fleet):
        made = [fleet._replica('p', 'plain') for _ in range(60)]
        assert {(each.slots, each.places.places) for each in made} == {(8, 0)}


class TestEnds:
    def test_configurations_change_before_and_after_the_end(
        self, fleet, monkeypatch
    ):
        """Guards against small configurations that don't change near the end."""

        async def check():
            times = []
            put = fleet.store.put

            def put_noted(key, payload):
                if key == 'op/config':
                    times.append(time.monotonic())
                return put(key, payload)

            monkeypatch.setattr(fleet.store, 'put', put_noted)
            await make_version_ends(fleet).run_version_end(
                time.monotonic() + 2 * WINDOW_S + 1
            )
            return times

        times = run(check())
        end_at = fleet.announced_at[2] + WINDOW_S
        assert min(times) < end_at
        assert max(times) > end_at
        assert max(published(fleet)) > EXTRA_ROUTES

    def test_copies_are_slow_until_the_end_has_passed(self, fleet):
        async def check():
            version_end = asyncio.create_task(
                make_version_ends(fleet).run_version_end(time.monotonic() + 2)
            )
            await asyncio.sleep(WINDOW_S / 2)
            copy = fleet.origin.count * fleet.origin.size
            least_s, most_s = _platform_ends.ORIGIN_COPY_S
            rate = fleet.origin.pacer.rate
            assert copy / most_s <= rate <= copy / least_s
            await version_end
            assert not fleet.origin.pacer.rate

        run(check())

    def test_engines_on_an_older_version_become_slow(self, fleet):
        set_loaded_version(fleet, 'engine-0', 1)
        set_loaded_version(fleet, 'engine-1', 2)
        assert make_version_ends(fleet).slow_engines(2) == ['engine-0']
        faults = [
            incarnation.replica.faults
            for incarnation in fleet.replicas.values()
        ]
        assert [bool(each.take('slow')) for each in faults] == [
            False, True, False,
        ]  # fmt: skip

    def test_run_stops_at_the_deadline(self, fleet, monkeypatch):
        monkeypatch.setattr(_platform_ends, 'VERSION_S', 60)
        began_at = time.monotonic()
        run(make_version_ends(fleet).run(began_at + 0.2))
        assert time.monotonic() - began_at < 1

    def test_suspension_of_the_process_is_recorded(self, fleet):
        async def check(still_s):
            ends = make_version_ends(fleet)
            watch = asyncio.create_task(ends.watch_suspensions())
            await asyncio.sleep(0.05)
            time.sleep(still_s)  # noqa: ASYNC251
            await asyncio.sleep(0.05)
            watch.cancel()
            return [each.name for each in ends.chaos.disturbances]

        assert run(check(0.3)) == [STAND_INS]


class TestQueue:
    def test_waiting_runs_begin_in_order(self):
        async def check():
            slots = Slots(1, 2)
            turns = [slots.take() for _ in range(4)]
            assert [turn.done() for turn in turns] == [
                True, False, False, True,
            ]  # fmt: skip
            assert not await turns[3]
            slots.release()
            assert turns[1].result()
            assert not turns[2].done()
            assert slots.seen == {'waited': 2}

        run(check())

    def test_load_refuses_all_waiting_runs(self):
        async def check():
            slots = Slots(1, 2)
            slots.take()
            turn = slots.take()
            slots.close()
            assert not await turn
            assert slots.seen == {'waited': 1, 'refused': 1}

        run(check())

    def test_cancelled_waiting_run_never_begins(self):
        """A queue that kept them would run what an entry has cancelled."""

        async def check():
            slots = Slots(1, 2)
            first, left, stays = (slots.take() for _ in range(3))
            slots.leave(left)
            assert not await left
            slots.release()
            assert stays.result()
            slots.leave(first)
            assert slots.running == 1
            assert slots.seen == {'waited': 2, 'left': 1}

        run(check())

    def test_disconnected_caller_is_removed_from_the_queue(self):
        async def check():
            replica = FleetReplica({'--id': 'r', '--slots': 1, '--queue': 2})
            replica.places.take()
            socket, port = bind_unused_port()
            server = HTTPServer(application(replica))
            server.add_socket(socket)
            _, caller = await asyncio.open_connection('127.0.0.1', port)
            caller.write(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
            await until(lambda: replica.places.queued)
            caller.close()
            await until(lambda: not replica.places.queued)
            replica.places.release()
            server.stop()
            return replica

        replica = run(check())
        assert replica.places.seen == {'waited': 1, 'left': 1}
        assert not replica.runs
