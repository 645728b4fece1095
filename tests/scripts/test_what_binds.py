"""The report on a fleet's logs: request outcomes and version timelines."""

from __future__ import annotations

import json

import pytest
from _binds_lines import read_lines
from _binds_tables import RequestOutcome, outcome_of, versions_of, windows_of
from hypothesis import given
from hypothesis import strategies as st

REQUEST = {
    'at': '2026-08-04 08:00:03,500',
    'host': 'entry-1',
    'message': 'request ended',
    'outcome': 'answered',
    'reason': '',
    'route': 'draft',
    'took_s': 1.0,
    'first_s': 0.1,
    'goal_s': 0.4,
    'pause_s': 0.05,
    'pause_goal_s': 0.3,
    'came_back': False,
    'attempts': [{'why': '', 'word_age_s': 0.1}],
}


def lines(*fields):
    return list(read_lines(json.dumps(each) for each in fields))


def request(**more):
    return lines({**REQUEST, **more})[0]


class TestLines:
    @given(st.text(max_size=60))
    def test_what_is_no_line_of_ours_is_left(self, text):
        assert list(read_lines([text])) == []

    def test_collector_prefix_is_ignored(self):
        text = f' 12.5 entry-1 {json.dumps(REQUEST)}\n'
        assert [line.host for line in read_lines([text])] == ['entry-1']


class TestRequestOutcomes:
    @pytest.mark.parametrize(
        ('more', 'fate'),
        [
            ({}, RequestOutcome.IN_TIME),
            ({'first_s': 0.5}, RequestOutcome.LATE_FIRST),
            ({'pause_s': 0.5}, RequestOutcome.LATE_PAUSE),
            ({'pause_s': 0.5, 'pause_goal_s': 0}, RequestOutcome.IN_TIME),
            ({'first_s': -1, 'took_s': 0.5}, RequestOutcome.LATE_FIRST),
            ({'outcome': 'refused'}, RequestOutcome.REFUSED),
            (
                {'outcome': 'refused', 'came_back': True},
                RequestOutcome.REFUSED_AGAIN,
            ),
            ({'outcome': 'failed'}, RequestOutcome.FAILED),
            ({'outcome': 'caller_gone'}, RequestOutcome.GONE),
            ({'message': 'request denied'}, RequestOutcome.DENIED),
        ],
    )
    def test_outcome_follows_from_the_log_line(self, more, fate):
        assert outcome_of(request(**more)) is fate

    def test_windows_use_arrival_time_and_reasons_mask_numbers(self):
        reason = 'first event forecast in 0.43 s'
        late = request(outcome='refused', reason=reason)
        zero = late.at - 3.5
        ((key, window),) = windows_of(
            [late, late], zero=zero, width_s=2
        ).items()
        assert key == (1, 'draft')
        assert window.reasons == {'refused: first event forecast in # s': 2}


class TestVersions:
    def test_milestones_are_kept_by_host(self):
        found = versions_of(
            lines(
                {**REQUEST, 'message': 'record taken', 'record': 'm version 2'},
                {
                    **REQUEST,
                    'at': '2026-08-04 08:00:05,500',
                    'host': 'side-1',
                    'message': 'version held',
                    'version': 'm@2',
                },
                {
                    **REQUEST,
                    'at': '2026-08-04 08:00:06,500',
                    'host': 'side-1',
                    'message': 'version loaded',
                    'version': 2,
                },
            ),
            zero=request().at,
        )
        assert found['m@2'].announced_at == 0
        assert found['m@2'].hosts == {'side-1': {'held': 2, 'serving': 3}}
