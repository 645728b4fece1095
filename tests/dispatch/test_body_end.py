"""Whether a body that has ended is whole."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.dispatch import (
    BodyEnd,
    Completeness,
    EventStream,
    answer_completeness,
)

TERMINATORS = (b'\n', b'\r\n', b'\r')


def stream_after(*pieces):
    stream = EventStream().begin_run()
    forwarded = b''.join(stream.take(piece) for piece in pieces)
    return stream, forwarded


class TestAnswer:
    @pytest.mark.parametrize(
        ('end', 'expected'),
        [
            (BodyEnd.FRAMING, Completeness.COMPLETE),
            (BodyEnd.FIN, Completeness.ASSUMED),
            (BodyEnd.RESET, Completeness.TRUNCATED),
            (BodyEnd.LOCAL, Completeness.TRUNCATED),
            (BodyEnd.OPEN, Completeness.TRUNCATED),
        ],
    )
    def test_only_its_own_framing_proves_it_complete(self, end, expected):
        assert answer_completeness(end, status=200, size=1) is expected

    def test_an_orderly_end_after_the_head_is_no_answer(self):
        """Guards against a crash after the head that is taken for an answer."""
        completeness = answer_completeness(BodyEnd.FIN, status=200, size=0)
        assert completeness is Completeness.TRUNCATED

    def test_a_failure_needs_no_content(self):
        completeness = answer_completeness(BodyEnd.FIN, status=500, size=0)
        assert completeness is Completeness.ASSUMED

    def test_an_answer_may_say_itself_that_it_is_empty(self):
        completeness = answer_completeness(BodyEnd.FRAMING, status=200, size=0)
        assert completeness is Completeness.COMPLETE


class TestStream:
    """Guards against part of an event that is forwarded as a stream's end."""

    @pytest.mark.parametrize('end', [BodyEnd.FRAMING, BodyEnd.FIN])
    @pytest.mark.parametrize(
        'rest',
        [
            b'id: 2',
            b'id: 2\n',
            b'id: 2\ndata: b',
            b'id: 2\r\ndata: b\r\n\r',
            b'data',
            b': half a comment',
            b': comment\nid: 2\n',
        ],
    )
    def test_an_end_within_an_event_or_line_truncates(self, end, rest):
        stream, forwarded = stream_after(b'id: 1\ndata: a\n\n' + rest)
        assert forwarded == b'id: 1\ndata: a\n\n'
        assert stream.completeness(end) is Completeness.TRUNCATED

    @pytest.mark.parametrize('rest', [b'', b'\n', b': comment\n', b':\r\n'])
    def test_a_comment_or_line_end_belongs_to_no_event(self, rest):
        stream, _ = stream_after(b'id: 1\ndata: a\n\n' + rest)
        assert stream.completeness(BodyEnd.FRAMING) is Completeness.COMPLETE
        assert stream.completeness(BodyEnd.FIN) is Completeness.ASSUMED

    @pytest.mark.parametrize('text', [b'', b': ping\n\n', b'\n\n'])
    def test_an_orderly_end_before_the_first_event_truncates(self, text):
        stream, _ = stream_after(text)
        assert stream.completeness(BodyEnd.FIN) is Completeness.TRUNCATED
        assert stream.completeness(BodyEnd.FRAMING) is Completeness.COMPLETE

    def test_events_of_an_earlier_attempt_do_not_count(self):
        events = EventStream()
        events.begin_run().take(b'id: 1\ndata: a\n\n')
        stream = events.begin_run()
        assert stream.completeness(BodyEnd.FIN) is Completeness.TRUNCATED

    @given(
        events=st.lists(
            st.tuples(
                st.integers(1, 99), st.text('ab:', max_size=4), st.booleans()
            ),
            max_size=4,
        ),
        terminator=st.sampled_from(TERMINATORS),
        cuts=st.lists(st.integers(0, 200), max_size=5),
        length=st.integers(0, 200),
    )
    def test_any_prefix_is_whole_only_between_events(
        self, events, terminator, cuts, length
    ):
        """However the bytes are split, and wherever the stream ends."""
        blocks = [
            terminator.join(
                (
                    *((b': ping',) if has_comment else ()),
                    b'id: %d' % number,
                    b'data: ' + text.encode(),
                    b'',
                    b'',
                )
            )
            for number, text, has_comment in events
        ]
        body = b''.join(blocks)[:length]
        bounds = sorted({0, len(body), *(cut for cut in cuts if cut < length)})
        pieces = [body[first:end] for first, end in itertools.pairwise(bounds)]
        stream, forwarded = stream_after(*pieces)
        ends = {
            len(b''.join(blocks[:count])) for count in range(len(blocks) + 1)
        }
        assert len(forwarded) == max(end for end in ends if end <= len(body))
        completeness = stream.completeness(BodyEnd.FIN)
        comment_ends = {
            end + len(b': ping' + terminator)
            for end in ends
            if body[end:].startswith(b': ping' + terminator)
        }
        is_between = len(body) in ends | comment_ends and bool(forwarded)
        assert completeness is (
            Completeness.ASSUMED if is_between else Completeness.TRUNCATED
        )
