"""Tests of the simulation that compares policies of choice."""

from __future__ import annotations

import pytest
from _dispatch_engine import Clock, Engine, Job
from _dispatch_policies import EARLIER, POLICIES

from crowrudder_core.forecast import EngineModel
from dispatch import CASES, FIGURES, Case, World


def send_request(engine, *, prompt=900, answer=10):
    """Send one request; return the times of its first event and its end."""
    times = []

    def record_time():
        times.append(engine.clock.now)

    engine.send(Job(prompt, answer, record_time, record_time))
    return times


class TestEngine:
    def test_idle_engine_prefills_then_decodes_in_passes(self):
        engine = Engine(Clock(), FIGURES)
        times = send_request(engine, answer=11)
        engine.clock.run(10)
        model = EngineModel(FIGURES)
        first_s = model.prefill_s(900) + model.pass_s(0)
        assert times == pytest.approx([first_s, first_s + 2 * model.pass_s(1)])

    def test_full_engine_admits_when_a_slot_is_free(self):
        engine = Engine(Clock(), FIGURES)
        firsts = [send_request(engine) for _ in range(FIGURES.slots + 1)]
        engine.clock.run(30)
        assert firsts[-1][0] >= firsts[0][1]

    def test_slowdown_factor_scales_all_times(self):
        usual, slow = Engine(Clock(), FIGURES), Engine(Clock(), FIGURES, pace=3)
        times = [send_request(usual), send_request(slow)]
        usual.clock.run(30)
        slow.clock.run(30)
        assert times[1] == pytest.approx([3 * each for each in times[0]])


class TestPolicies:
    @pytest.mark.parametrize('case', ['usual', 'high', 'slow'])
    def test_the_forecast_is_no_worse_than_its_baselines(self, case):
        shares = {}
        for name, policy in POLICIES.items():
            world = World(CASES[case], policy)
            world.run()
            on_time = [first for first in world.firsts if first <= 0.45]
            shares[name] = len(on_time) / len(world.firsts)
        assert max(shares, key=lambda name: shares[name]) == 'forecast'

    def test_global_minimum_is_worse_than_sampling_in_a_large_fleet(self):
        shares = []
        for policy in (POLICIES['forecast'], EARLIER['best_of_all']):
            world = World(CASES['large'], policy)
            world.run()
            on_time = [first for first in world.firsts if first <= 0.45]
            shares.append(len(on_time) / len(world.firsts))
        assert shares[0] > shares[1] + 0.03

    def test_every_policy_gets_the_same_arrivals(self):
        worlds = [World(Case(load=0.5), policy) for policy in POLICIES.values()]
        for world in worlds:
            world.run()
        assert len({world.sent for world in worlds}) == 1
