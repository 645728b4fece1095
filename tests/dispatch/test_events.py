from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.dispatch import EventStream

EVENTS = [b'id: %d\ndata: %s\n\n' % (n, b'x' * n) for n in range(1, 9)]


def pieces_of(text, cuts):
    edges = sorted({min(cut, len(text)) for cut in cuts} | {0, len(text)})
    return [text[a:b] for a, b in pairwise(edges)]


class TestEventStream:
    @given(cuts=st.lists(st.integers(0, 300), max_size=40))
    def test_any_cut_of_the_bytes_gives_the_same_events(self, cuts):
        stream = EventStream()
        text = b''.join(EVENTS)
        passed = b''.join(stream.take(each) for each in pieces_of(text, cuts))
        assert passed == text
        assert (stream.last_id, stream.events) == ('8', 8)

    @given(end=st.integers(0, 250), cuts=st.lists(st.integers(0, 250)))
    def test_a_stream_that_goes_on_elsewhere_is_whole(self, end, cuts):
        """Events of two runs were joined.

        Symptom: a listing has half a sentence twice. Sequence: an upstream
        breaks off within an event, another goes on after the last whole one.
        Cause: the half event had been passed on.
        """
        stream = EventStream()
        text = b''.join(EVENTS)
        first = b''.join(
            stream.take(each) for each in pieces_of(text[:end], cuts)
        )
        done = int(stream.last_id or 0)
        stream.begin_attempt()
        rest = stream.take(b''.join(EVENTS[done:]))
        assert first + rest == text

    def test_lines_may_end_in_other_ways(self):
        stream = EventStream()
        assert stream.take(b'id: 4\r\ndata: a\r\n\r\n')
        assert stream.last_id == '4'

    def test_an_event_without_an_id_keeps_the_last_one(self):
        stream = EventStream()
        stream.take(b'id: 4\n\n')
        stream.take(b'data: a\n\n')
        assert stream.last_id == '4'
