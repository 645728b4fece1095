from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest
from _caller import NO_ANSWER, REFUSED, Answer, Flaw, Request
from _experiment_plan import read_experiment
from _load_arrivals import Arrival, arrival_times, arrivals, popularity
from _load_plan import Bounds, LoadPlan, Phase, Traffic
from _load_run import (
    CallResult,
    LoadRun,
    NotLoopbackError,
    find_resend_delay_s,
    require_loopback,
)
from _load_summary import Quantiles, code_of, summarize
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_daemon.settings import SettingsError
from support import aio

EXPERIMENTS = Path(__file__).parents[2] / 'examples' / 'experiments'
REQUEST = Request(
    request_id='r1', customer='c', model='m', prompt='p', deadline_ms=1000
)
COMPLETE = Answer(request=REQUEST, status=200, outcome='answered')
BUSY = Answer(
    request=REQUEST, status=503, outcome='not_run', retry_after_s=0.06
)
BROKEN = Answer(request=REQUEST, broken=True, detail='HTTP 599')
PHASE = Phase(name='p', seconds=2, rate_per_s=50, traffic=(('t', 1.0),))
PLAN = LoadPlan(
    bounds=Bounds(),
    traffic=(Traffic(name='t', customer='c', model='m', prefixes=10),),
    phases=(PHASE, evolve(PHASE, name='q', seconds=1)),
)


class TestFile:
    def test_example_experiments_are_valid(self):
        names = [each.stem for each in sorted(EXPERIMENTS.glob('*.ini'))]
        read = [
            read_experiment(EXPERIMENTS / f'{name}.ini').name for name in names
        ]
        assert read == names
        assert len(names) >= 5

    def test_all_faults_at_once(self, tmp_path):
        path = tmp_path / 'bad.ini'
        path.write_text(
            '[load]\nseed = x\n'
            '[flood]\n'
            '[traffic:t]\ncustomer = c\nmodel = m\nrate = 1\n'
            '[traffic:both]\ncustomer = c\nmodel = m\nservice = s\n'
            '[phase:p]\nseconds = 40\nrate_per_s = 1\ntraffic = t:1, u:2\n'
            '[phase:q]\nseconds = 40\nrate_per_s = 1\ntraffic = t:1\n'
            '[phase:r]\nseconds = -1\nrate_per_s = 1\n'
            '[fault:f]\nkind = kill\nat_s = 1\ntarget = agent-9\n'
            '[fault:g]\nkind = burn\n'
            '[promise:n]\nfigure = good_share\nphase = none\n'
        )
        with pytest.raises(SettingsError) as caught:
            read_experiment(path)
        found = {(each.section, each.key) for each in caught.value.faults}
        assert found == {
            ('flood', ''),
            ('load', 'seed'),
            ('traffic:t', 'rate'),
            ('traffic:both', 'model'),
            ('phase:NAME', 'seconds'),
            ('phase:p', 'traffic'),
            ('phase:r', 'seconds'),
            ('phase:r', 'traffic'),
            ('fault:f', 'target'),
            ('fault:g', 'kind'),
            ('promise:n', 'phase'),
        }
        assert str(path) in str(caught.value)

    @pytest.mark.parametrize('text', ['', 'x = 1', '[a]\n[a]', '[load', '\0'])
    def test_unreadable_file(self, tmp_path, text):
        path = tmp_path / 'bad.ini'
        path.write_text(text)
        with pytest.raises(SettingsError):
            read_experiment(path)


class TestArrivals:
    def test_same_seed_same_arrivals(self):
        assert arrivals(PLAN, tag='a') == arrivals(PLAN, tag='a')
        other = evolve(PLAN, bounds=Bounds(seed=2))
        assert arrivals(other, tag='a') != arrivals(PLAN, tag='a')

    def test_phases_follow_each_other(self):
        planned = arrivals(PLAN, tag='a')
        assert {each.phase for each in planned if each.at_s < 2} == {'p'}
        assert {each.phase for each in planned if each.at_s >= 2} == {'q'}

    def test_count_is_bounded(self):
        few = evolve(PLAN, bounds=Bounds(requests_at_most=7))
        assert len(arrivals(few, tag='a')) == 7

    @given(st.randoms(use_true_random=False), st.booleans())
    def test_times_are_in_order_and_in_the_phase(self, rng, poisson):
        kind = 'poisson' if poisson else 'constant'
        phase = evolve(PHASE, arrivals=kind, burst_every_s=0.5, burst_size=3)
        times = list(arrival_times(phase, rng))
        assert times == sorted(times)
        assert times[0] >= 0
        assert times[-1] < phase.seconds
        assert [times.count(at_s) >= 3 for at_s in (0, 0.5, 1, 1.5)] == [
            True
        ] * 4

    def test_constant_rate(self):
        phase = evolve(PHASE, arrivals='constant')
        assert len(list(arrival_times(phase, random.Random(1)))) == 100

    def test_popular_prefixes_are_more_frequent(self):
        steep = evolve(PLAN.traffic[0], zipf=1.5)
        plan = evolve(PLAN, traffic=(steep,))
        prompts = [each.request.prompt for each in arrivals(plan, tag='a')]
        counts = [
            sum(prompt.startswith(f't {rank} ') for prompt in prompts)
            for rank in (0, 9)
        ]
        assert counts[0] > 3 * counts[1]
        assert popularity(3, 0) == [1, 1, 1]


class TestCallers:
    @pytest.mark.parametrize(
        ('answer', 'pause_s'),
        [
            (COMPLETE, None),
            (BUSY, 0.06),
            (evolve(BUSY, status=429, retry_after_s=7), 7),
            (evolve(BUSY, status=409), None),
            (evolve(BUSY, status=504, outcome='unknown'), None),
            (Answer(request=REQUEST, detail=REFUSED), 0.05),
            (BROKEN, None),
            (evolve(BROKEN, request=evolve(REQUEST, idempotent=True)), 0.05),
        ],
    )
    def test_resend_delay(self, answer, pause_s):
        delay_s = find_resend_delay_s(answer, resend_lost='idempotent')
        assert delay_s == pause_s

    def test_lost_requests_are_not_resent_if_configured(self):
        lost = evolve(BROKEN, request=evolve(REQUEST, idempotent=True))
        assert find_resend_delay_s(lost, resend_lost='none') is None

    @pytest.mark.parametrize('address', ['10.0.0.1', 'localhost', '', '::'])
    def test_other_addresses_are_refused(self, address):
        with pytest.raises(NotLoopbackError):
            require_loopback(address)


class FakeCaller:
    """Returns scripted answers; the last one is repeated."""

    def __init__(self, *script, takes_s=0.0):
        self.script = list(script)
        self.takes_s = takes_s
        self.sent = []

    async def send(self, request, *, on_chunk):
        self.sent.append(request)
        await asyncio.sleep(self.takes_s)
        on_chunk()
        answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        return evolve(answer, request=request)


class FirstCallFails(FakeCaller):
    async def send(self, request, *, on_chunk):
        if not self.sent:
            self.sent.append(request)
            raise RuntimeError('first')
        return await super().send(request, on_chunk=on_chunk)


def run_load(caller, count=1, planned=None, **bounds):
    planned = planned or [
        Arrival(
            at_s=0, phase='p', request=evolve(REQUEST, request_id=f'r{number}')
        )
        for number in range(count)
    ]
    return aio.run(LoadRun(caller, Bounds(**bounds)).run(planned))


class TestRun:
    def test_retry_after_is_honoured_and_the_deadline_shrinks(self):
        caller = FakeCaller(BUSY, BUSY, COMPLETE)
        (result,) = run_load(caller)
        assert (result.outcome, result.sendings) == ('answered', 3)
        assert result.latency_s >= 2 * BUSY.retry_after_s
        left = [request.deadline_ms for request in caller.sent]
        assert left == sorted(left, reverse=True)
        assert left[-1] <= 1000 - 2 * 60

    def test_no_sending_after_the_deadline(self):
        late = evolve(BUSY, retry_after_s=5)
        (result,) = run_load(FakeCaller(late))
        assert (result.outcome, result.sendings) == ('not_run', 1)

    def test_arrivals_do_not_wait_for_answers(self):
        results = run_load(FakeCaller(COMPLETE, takes_s=0.1), count=20)
        assert max(each.latency_s for each in results) < 1

    def test_requests_above_the_limit_are_not_sent(self):
        caller = FakeCaller(COMPLETE, takes_s=0.05)
        results = run_load(caller, count=5, concurrent_at_most=2)
        assert sorted(each.outcome for each in results) == [
            *['answered'] * 2,
            *['not_sent'] * 3,
        ]
        assert len(caller.sent) == 2

    def test_failure_of_the_load_tool_is_raised(self):
        """Guards against a failed call that is missing from all counts."""
        early = Arrival(at_s=0, phase='p', request=REQUEST)
        late = evolve(early, at_s=0.05)
        with pytest.raises(RuntimeError, match='first'):
            run_load(FirstCallFails(COMPLETE), planned=[early, late])

    def test_unfinished_requests_are_cancelled(self):
        (result,) = run_load(FakeCaller(COMPLETE, takes_s=60), wait_s=0.05)
        assert (result.never_ended, result.overdue) == (True, True)
        assert (result.outcome, result.good) == ('no_answer', False)


class TestSummary:
    @pytest.mark.parametrize(
        ('detail', 'code'),
        [
            ('{"error":{"code":"overloaded"}}', 'overloaded'),
            ("{'code': 'internal', 'message': 'x'}", 'internal'),
            ('HTTP 599', ''),
        ],
    )
    def test_code_of_an_error(self, detail, code):
        assert code_of(evolve(BUSY, detail=detail)) == code

    def test_quantiles_are_nearest_ranks(self):
        of_100 = Quantiles.of(float(number) for number in range(1, 101))
        assert (of_100.p50, of_100.p95, of_100.p99) == (50, 95, 99)
        assert Quantiles.of([]).p99 is None

    def test_groups_and_flaws(self):
        arrival = Arrival(at_s=0, phase='p', request=REQUEST)
        cut = evolve(COMPLETE, flaw=Flaw.CUT)
        results = [
            CallResult(
                arrival=arrival, answer=COMPLETE, sendings=1, latency_s=0.5
            ),
            CallResult(
                arrival=arrival, answer=COMPLETE, sendings=2, latency_s=3
            ),
            CallResult(arrival=arrival, answer=cut, sendings=1, latency_s=0.1),
            CallResult(arrival=arrival),
        ]
        answers = [COMPLETE, COMPLETE, cut, evolve(BROKEN, flaw=Flaw.CUT)]
        summary = summarize(PLAN, results, answers)
        group = summary.group('p', 'c')
        assert group is not None
        assert (group.requests, group.good, group.overdue) == (4, 1, 1)
        assert group.outcomes['answered'] == 2
        assert group.outcomes[NO_ANSWER] == 1
        assert (group.goodput_per_s, group.good_share) == (0.5, 0.25)
        assert summary.flaws.false_claims == 1
        assert summary.codes == {'no_answer': 1}
        assert summary.flaws.broken_off == 1
        assert [each.requests for each in summary.phases] == [4, 0]
