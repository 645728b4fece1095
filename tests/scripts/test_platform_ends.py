"""What the platform's soak draws about ends of versions."""

from __future__ import annotations

import asyncio
import json
import random
import time

import _platform_ends
import pytest
from _platform_chaos import PlatformChaos
from _platform_config import MORE_ROUTES, configuration
from _platform_ends import Ends
from _platform_fleet import PLACES, STAND_INS, Life, Plan, PlatformFleet
from crowrudder_platform._records import decode_record
from platform_soak import plan_of
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
    """Give a fleet's stand-ins: a plain replica and two engines."""
    plan = Plan(entries=0, agents=2, plains=1)
    fleet = PlatformFleet(plan, tmp_path, random.Random(1), random.Random(2))
    fleet._addresses['origin'] = '127.0.0.1:1'
    for name in ('plain-0', 'engine-0', 'engine-1'):
        service = 'llm' if name.startswith('engine') else 'plain'
        replica = fleet._replica(name, service)
        fleet.replicas[name] = Life(replica, service, '', 'z1', None)
    monkeypatch.setattr(_platform_ends, 'VERSION_S', WINDOW_S)
    monkeypatch.setattr(_platform_ends, 'NAMED_AFTER_S', (0.0, 0.0))
    return fleet


def ends_of(fleet, seed=1):
    said: list[str] = []
    chaos = PlatformChaos(fleet, random.Random(1), said.append)
    return Ends(fleet, random.Random(seed), chaos, said.append)


def published(fleet):
    """Give the routes of each configuration in the store's history."""
    return [
        len(json.loads(each.value)['routes'])
        for each in fleet.store.history
        if each.key == 'op/config'
    ]


def hold(fleet, name, version):
    replica = fleet.replicas[name].replica
    replica.weights = version
    replica.layers = (0, 16)


class TestConfigurations:
    def test_a_large_one_is_as_large_as_the_users(self):
        small, large = (
            json.dumps(configuration(1, 'o', ['k'], is_large=is_large))
            for is_large in (False, True)
        )
        assert len(large) > LARGE_BYTES
        assert len(small) < LARGE_BYTES / 10

    def test_programs_take_it(self):
        large = configuration(1, 'o', ['k'], is_large=True)
        small = configuration(1, 'o', ['k'], is_large=False)
        taken = decode_record('op/config', json.dumps(large).encode())
        assert isinstance(taken, FleetConfig)
        assert len(taken.routes) == len(small['routes']) + MORE_ROUTES


class TestDraws:
    def test_known_seeds_stay_as_they_are(self):
        """What is drawn beside a seed's own draws changes none of these."""
        assert plan_of(random.Random(1), is_large=False) == Plan(2, 5, 2)
        assert plan_of(random.Random(10), is_large=False) == Plan(4, 3, 2)

    def test_queues_have_a_source_of_their_own(self, fleet):
        before = fleet.rng.getstate()
        made = [fleet._replica('e', 'llm') for _ in range(60)]
        drawn = {(each.slots, each.places.places) for each in made}
        assert drawn == set(PLACES)
        assert fleet.rng.getstate() == before

    def test_plain_replicas_have_none(self, fleet):
        made = [fleet._replica('p', 'plain') for _ in range(60)]
        assert {(each.slots, each.places.places) for each in made} == {(8, 0)}


class TestEnds:
    def test_configurations_change_before_and_after_the_end(
        self, fleet, monkeypatch
    ):
        """It was small, and changed at no time that mattered."""

        async def check():
            times = []
            put = fleet.store.put

            def put_noted(key, payload):
                if key == 'op/config':
                    times.append(time.monotonic())
                return put(key, payload)

            monkeypatch.setattr(fleet.store, 'put', put_noted)
            await ends_of(fleet).play(time.monotonic() + 2 * WINDOW_S + 1)
            return times

        times = run(check())
        end_at = fleet.named_at[2] + WINDOW_S
        assert min(times) < end_at
        assert max(times) > end_at
        assert max(published(fleet)) > MORE_ROUTES

    def test_copies_are_late_until_the_end_is_over(self, fleet):
        async def check():
            playing = asyncio.create_task(
                ends_of(fleet).play(time.monotonic() + 2)
            )
            await asyncio.sleep(WINDOW_S / 2)
            copy = fleet.origin.count * fleet.origin.size
            least_s, most_s = _platform_ends.COPY_S
            rate = fleet.origin.pacer.rate
            assert copy / most_s <= rate <= copy / least_s
            await playing
            assert not fleet.origin.pacer.rate

        run(check())

    def test_engines_on_an_older_version_get_slow(self, fleet):
        hold(fleet, 'engine-0', 1)
        hold(fleet, 'engine-1', 2)
        assert ends_of(fleet).fill(2) == ['engine-0']
        faults = [life.replica.faults for life in fleet.replicas.values()]
        assert [bool(each.take('slow')) for each in faults] == [
            False, True, False,
        ]  # fmt: skip

    def test_it_ends_with_the_load(self, fleet, monkeypatch):
        monkeypatch.setattr(_platform_ends, 'VERSION_S', 60)
        began_at = time.monotonic()
        run(ends_of(fleet).run(began_at + 0.2))
        assert time.monotonic() - began_at < 1

    def test_a_process_that_stood_still_is_noted(self, fleet):
        async def check(still_s):
            ends = ends_of(fleet)
            watch = asyncio.create_task(ends.watch())
            await asyncio.sleep(0.05)
            time.sleep(still_s)  # noqa: ASYNC251
            await asyncio.sleep(0.05)
            watch.cancel()
            return [each.name for each in ends.chaos.troubles]

        assert run(check(0.3)) == [STAND_INS]


class TestQueue:
    def test_who_waits_begins_in_turn(self):
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

    def test_a_load_refuses_all_that_wait(self):
        async def check():
            slots = Slots(1, 2)
            slots.take()
            turn = slots.take()
            slots.close()
            assert not await turn
            assert slots.seen == {'waited': 1, 'refused': 1}

        run(check())

    def test_who_left_never_begins(self):
        """A queue that keeps them begins what an entry has taken back."""

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

    def test_a_caller_that_leaves_a_replica_leaves_its_queue(self):
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
