from __future__ import annotations

import json

import pytest
from _report_figures import (
    Figure,
    ReportError,
    read_figures,
    read_result,
    series_of,
)
from _report_goals import GOALS, Verdict, evaluate_goals
from _report_tables import sizes_table
from report import NO_PLOTS, report_text

GROUP = {
    'name': 'calm',
    'seconds': 2.0,
    'requests': 10,
    'good': 9,
    'latency': {'p50': 0.1, 'p95': 0.2, 'p99': None},
    'first_token': {'p50': None, 'p95': None, 'p99': None},
}
PROMISE = {'name': 'fast', 'figure': 'latency_p95_s', 'least': 0, 'most': 0.1}
RESULT = {
    'experiment': 'steady',
    'seed': 1,
    'passed': False,
    'summary': {'total': GROUP, 'phases': [GROUP]},
    'books': {'requests': 10, 'doubled': 0},
    'promises': [{**PROMISE, 'measured': 0.2, 'kept': False}],
    'broken': ['promise fast'],
}
FIGURES = (
    Figure('weights.time_over_bound.8', '1.02'),
    Figure('weights.time_over_bound.128', '1.3'),
    Figure('weights.time_over_bound.tree.128', '3.4'),
    Figure('config.reverts', '0'),
)


def verdicts(*figures):
    return {each.goal.names: each.verdict for each in evaluate_goals(figures)}


class TestFigures:
    def test_last_value_counts(self, tmp_path):
        path = tmp_path / 'figures'
        path.write_text('a.b.8=1\n\nnote=so=so\na.b.8=2\n')
        assert [(each.name, each.text) for each in read_figures(path)] == [
            ('a.b.8', '2'),
            ('note', 'so=so'),
        ]

    @pytest.mark.parametrize('line', ['nothing', '=1', 'a=', 'a b=1'])
    def test_other_lines_are_refused_with_their_number(self, tmp_path, line):
        path = tmp_path / 'figures'
        path.write_text(f'a=1\n{line}\n')
        with pytest.raises(ReportError, match=':2: found'):
            read_figures(path)

    def test_series_by_size_and_variant(self):
        own, tree = series_of(FIGURES, 'weights.time_over_bound')
        assert own.points == ((8, 1.02), (128, 1.3))
        assert tree.points == ((128, 3.4),)
        table = sizes_table((own, tree))
        assert table.splitlines()[0] == '|  | N = 8 | N = 128 |'


class TestGoals:
    def test_met_not_met_and_not_measured(self):
        found = verdicts(*FIGURES)
        assert found['weights.time_over_bound.128'] is Verdict.NOT_MET
        assert found['config.reverts'] is Verdict.MET
        assert found['route.cache_hit_ratio'] is Verdict.NOT_MEASURED

    @pytest.mark.parametrize(
        ('rival', 'verdict'),
        [('1.4', Verdict.MET), ('1.1', Verdict.NOT_MET), ('', Verdict.NOT_MET)],
    )
    def test_has_to_be_ahead_of_the_baselines(self, rival, verdict):
        name = 'route.p99_over_ideal'
        own = Figure(name, '1.2')
        other = Figure('route.random.p99_over_ideal', rival)
        assert verdicts(own, other)[name] is verdict

    def test_without_figures_none_is_met(self):
        assert set(verdicts().values()) == {Verdict.NOT_MEASURED}
        assert len(verdicts()) == len(GOALS)

    @pytest.mark.parametrize('text', ['nan', 'none', '-1', '1e9'])
    def test_no_number_and_out_of_bounds(self, text):
        name = 'route.cache_hit_ratio' if text == '-1' else 'config.reverts'
        assert verdicts(Figure(name, text))[name] is Verdict.NOT_MET

    def test_variants_are_no_figures_of_the_goal(self):
        tree = Figure('weights.origin_copies.tree.32', '9')
        found = verdicts(tree)['weights.origin_copies.[0-9]*']
        assert found is Verdict.NOT_MEASURED


class TestReport:
    def test_text(self, tmp_path):
        path = tmp_path / 'steady.json'
        path.write_text(json.dumps(RESULT))
        text = report_text(FIGURES, [read_result(path)], None)
        assert (
            '| 4 | `weights.time_over_bound.128` | ≤ 1.15 | 1.3 | not met |'
            in text
        )
        assert '### steady: failed, seed 1' in text
        assert '| calm | 10 | 5.0 | 4.5 | 0.1 | 0.2 |  |  |' in text
        assert '| fast | `latency_p95_s` | ≤ 0.1 | 0.2 | broken |' in text
        assert NO_PLOTS in text
        plotted = report_text(FIGURES, (), ('time-over-bound.png',))
        assert '](time-over-bound.png)' in plotted
        assert NO_PLOTS not in plotted

    @pytest.mark.parametrize(
        'text', ['', '[]', '{"experiment": 1}', '[' * 9999]
    )
    def test_other_json_is_refused(self, tmp_path, text):
        path = tmp_path / 'x.json'
        path.write_text(text)
        with pytest.raises(ReportError, match='the JSON of an experiment'):
            read_result(path)
