"""The model by which ways of choosing are compared is itself checked."""

from __future__ import annotations

import pytest
from _dispatch_engine import Clock, Engine, Job
from _dispatch_policies import EARLIER, POLICIES

from crowrudder_core.forecast import EngineModel
from dispatch import CASES, FIGURES, Case, World


def sent(engine, *, prompt=900, answer=10):
    """Send one request and give when its first event and its end came."""
    times = []

    def note():
        times.append(engine.clock.now)

    engine.send(Job(prompt, answer, note, note))
    return times


class TestEngine:
    def test_an_idle_engine_reads_then_writes_in_passes(self):
        engine = Engine(Clock(), FIGURES)
        times = sent(engine, answer=11)
        engine.clock.run(10)
        model = EngineModel(FIGURES)
        first_s = model.read_s(900) + model.pass_s(0)
        assert times == pytest.approx([first_s, first_s + 2 * model.pass_s(1)])

    def test_a_full_engine_admits_when_a_slot_is_free(self):
        engine = Engine(Clock(), FIGURES)
        firsts = [sent(engine) for _ in range(FIGURES.slots + 1)]
        engine.clock.run(30)
        assert firsts[-1][0] >= firsts[0][1]

    def test_a_slow_engine_takes_so_many_times_as_long(self):
        usual, slow = Engine(Clock(), FIGURES), Engine(Clock(), FIGURES, pace=3)
        times = [sent(usual), sent(slow)]
        usual.clock.run(30)
        slow.clock.run(30)
        assert times[1] == pytest.approx([3 * each for each in times[0]])


class TestWays:
    @pytest.mark.parametrize('case', ['usual', 'high', 'slow'])
    def test_the_forecast_is_no_worse_than_its_baselines(self, case):
        shares = {}
        for way, policy in POLICIES.items():
            world = World(CASES[case], policy)
            world.run()
            on_time = [first for first in world.firsts if first <= 0.45]
            shares[way] = len(on_time) / len(world.firsts)
        assert max(shares, key=lambda way: shares[way]) == 'forecast'

    def test_in_a_large_fleet_the_best_of_all_is_worse(self):
        shares = []
        for policy in (POLICIES['forecast'], EARLIER['best_of_all']):
            world = World(CASES['large'], policy)
            world.run()
            on_time = [first for first in world.firsts if first <= 0.45]
            shares.append(len(on_time) / len(world.firsts))
        assert shares[0] > shares[1] + 0.03

    def test_every_way_meets_the_same_arrivals(self):
        worlds = [World(Case(load=0.5), way) for way in POLICIES.values()]
        for world in worlds:
            world.run()
        assert len({world.sent for world in worlds}) == 1
