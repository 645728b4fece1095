from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_daemon.process import Audit, AuditTrail


def record(trail, subject='s', **changes):
    event = {
        'at': 1.0,
        'kind': 'order',
        'teller': 'upstream',
        'subject': subject,
        'before': '',
        'after': 'x',
    }
    return trail.record(**{**event, **changes})


class TestAuditTrail:
    @given(
        capacity=st.integers(1, 8),
        count=st.integers(0, 20),
        seen=st.integers(0, 25),
    )
    def test_reader_gets_all_that_is_kept_after_its_number(
        self, capacity, count, seen
    ):
        trail = AuditTrail(capacity)
        for number in range(count):
            record(trail, str(number))
        first = max(seen, count - capacity) + 1
        got = [event.seq for event in trail.after(seen)]
        assert got == list(range(first, count + 1))
        assert trail.last == count

    def test_unknown_kind_is_refused_and_takes_no_number(self):
        trail = AuditTrail()
        with pytest.raises(ValueError, match='only configuration, drain'):
            record(trail, kind='gossip')
        assert (trail.last, trail.after(0)) == (0, ())

    def test_note_stamps_the_clock(self):
        audit = Audit(clock=lambda: 7.5)
        event = audit.note(
            kind='drain', teller='SIGTERM', subject='h', before='', after='x'
        )
        assert (event.at, event.seq) == (7.5, 1)
