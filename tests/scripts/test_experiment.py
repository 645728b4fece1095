from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest
from _books import Books, compare
from _caller import Answer, Request
from _experiment_faults import Downtimes, find_hosts
from _experiment_plan import Promise, read_experiment
from _experiment_verdict import StepReport, evaluate
from _load_arrivals import Arrival
from _load_run import CallResult
from _load_summary import summarize
from _process import FleetError, Host, Process
from attrs import evolve

EXPERIMENTS = Path(__file__).parents[2] / 'examples' / 'experiments'
STEADY = read_experiment(EXPERIMENTS / 'steady.ini')
REQUEST = Request(request_id='r1', customer='breeder-portal', service='portal')
COMPLETE = Answer(request=REQUEST, status=200, outcome='answered')
STEP = StepReport(name='s', kind='publish', at_s=1, took_s=1, error='')


def report_on(*promises, result=None, starts=1, steps=()):
    arrival = Arrival(at_s=0, phase='low', request=REQUEST)
    result = result or CallResult(
        arrival=arrival, answer=COMPLETE, sendings=1, latency_s=0.5
    )
    answers = [result.answer] if result.answer else []
    experiment = evolve(STEADY, promises=promises)
    books = Books(Counter(r1=starts), frozenset())
    summary = summarize(experiment.load, [result], answers)
    return evaluate(experiment, summary, compare(books, answers), steps)


class TestVerdict:
    @pytest.mark.parametrize(
        ('figure', 'bounds', 'kept'),
        [
            ('good_share', {'least': 1}, True),
            ('latency_p95_s', {'most': 0.4}, False),
            ('latency_p95_s', {'most': 0.6}, True),
            ('overdue', {'most': 0}, True),
            ('sendings_per_request', {'most': 0.9}, False),
            ('latency_p95_s', {'phase': 'high'}, True),
            # No sample was measured, so the promise is not kept.
            ('latency_p95_s', {'phase': 'high', 'most': 9}, False),
            ('good_share', {'customer': 'riding-school'}, False),
        ],
    )
    def test_promises(self, figure, bounds, kept):
        promise = Promise(name='n', figure=figure, **bounds)
        report = report_on(promise)
        assert [each.kept for each in report.promises] == [kept]
        assert report.passed is kept
        status_text = 'ok' if kept else 'failed'
        assert f'experiment steady: {status_text} seed=1' in report.lines()[-1]

    def test_invariants_are_checked_without_promises(self):
        assert report_on().passed
        assert not report_on(starts=2).passed
        assert not report_on(starts=0).passed

    def test_request_without_final_outcome(self):
        arrival = Arrival(at_s=0, phase='low', request=REQUEST)
        report = report_on(result=CallResult(arrival=arrival, sendings=1))
        assert 'never got a final word' in report.broken[0]

    def test_failed_step(self):
        late = evolve(STEP, error='load v2: fleet: not within 5 s')
        assert report_on(steps=(STEP,)).passed
        assert not report_on(steps=(late,)).passed


ENTRY = Host(
    {'host': 'entry-1', 'http_port': 9, 'failure_domain': 'caen-0'},
    Process('entry-1', [], Path('entry-1.log')),
)


class TestHosts:
    def test_by_name_and_by_failure_domain(self):
        assert find_hosts([ENTRY], 'entry-1') == [ENTRY]
        assert find_hosts([ENTRY], 'domain:caen-0') == [ENTRY]
        with pytest.raises(FleetError, match='use one of caen-0'):
            find_hosts([ENTRY], 'domain:entry-1')

    def test_broken_connection_is_excused_by_a_kill_only(self):
        downtimes = Downtimes()
        broken = Answer(
            request=REQUEST,
            broken=True,
            url='http://127.0.0.1:9',
            began_at=4,
            ended_at=5.5,
        )
        assert not downtimes.is_excused(broken, [ENTRY])
        downtimes.record_down('entry-1', 5)
        assert downtimes.is_excused(broken, [ENTRY])
        assert not downtimes.is_excused(
            evolve(broken, url='http://x:19'), [ENTRY]
        )
        downtimes.record_up('entry-1', 7)
        assert downtimes.is_excused(broken, [ENTRY])
        after = evolve(broken, began_at=8, ended_at=9)
        assert not downtimes.is_excused(after, [ENTRY])
