from __future__ import annotations

import json

from crowrudder_platform import PlatformCallers

from crowrudder_daemon.fleet_entry._directory import MOST_ADDRESSES, Directory
from crowrudder_model.messages import MemberWord


def word(number, **more):
    return MemberWord(
        ip=f'10.0.0.{number}',
        role='entry',
        incarnation='1',
        started_at=1,
        callers=f'10.0.0.{number}:80',
        **more,
    )


def directory(*words):
    return Directory(
        dialect=PlatformCallers(),
        entries=lambda: list(words),
        own='10.0.0.1:80',
        is_ready=lambda: True,
        ttl_s=2,
    )


class TestAddresses:
    def test_only_entries_that_are_ready_are_given(self):
        shown = directory(
            word(1, ready=True),
            word(2),
            word(3, ready=False, leaving=True),
        )
        assert shown.addresses() == ['10.0.0.1:80']

    def test_while_none_is_ready_those_that_stay_are(self):
        """Callers gave up on a fleet that was starting.

        Symptom: requests fail for seconds after all processes began. Sequence:
        callers look for an entry before any has read the configuration. Cause:
        an answer without addresses counts as a failure.
        """
        shown = directory(word(1), word(2, leaving=True))
        assert shown.addresses() == ['10.0.0.1:80']
        assert directory().addresses() == ['10.0.0.1:80']

    def test_no_more_than_callers_take(self):
        words = [word(number, ready=True) for number in range(1, 100)]
        assert len(directory(*words).addresses()) == MOST_ADDRESSES

    def test_the_answer_is_the_platforms(self):
        answer = json.loads(directory(word(1, ready=True)).answer({}))
        assert answer == {'addresses': ['10.0.0.1:80'], 'ttl_s': 2}
