"""Whether a body that has ended is whole."""

from __future__ import annotations

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
    stream = EventStream()
    stream.begin_attempt()
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
        assert answer_completeness(end) is expected


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
        pieces = [
            body[first:end]
            for first, end in zip(bounds, bounds[1:], strict=False)
        ]
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
        is_between = len(body) in ends | comment_ends
        assert completeness is (
            Completeness.ASSUMED if is_between else Completeness.TRUNCATED
        )
