from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.dispatch import EventStream, RunEvents

EVENTS = [b'id: %d\ndata: %s\n\n' % (n, b'x' * n) for n in range(1, 9)]


def split_at(text, cuts):
    offsets = sorted({min(cut, len(text)) for cut in cuts} | {0, len(text)})
    return [text[a:b] for a, b in pairwise(offsets)]


class TestEventStream:
    @given(cuts=st.lists(st.integers(0, 300), max_size=40))
    def test_any_chunking_gives_the_same_events(self, cuts):
        stream = EventStream()
        run = stream.begin_run()
        text = b''.join(EVENTS)
        forwarded = b''.join(run.take(each) for each in split_at(text, cuts))
        assert forwarded == text
        assert (stream.last_id, stream.events) == ('8', 8)

    @given(end=st.integers(0, 250), cuts=st.lists(st.integers(0, 250)))
    def test_stream_resumed_at_another_upstream_is_complete(self, end, cuts):
        """Events of two runs must not be joined.

        An upstream breaks off within an event, and another resumes after the
        last complete one. If the partial event had been forwarded, a listing
        would have half a sentence twice.
        """
        stream = EventStream()
        run = stream.begin_run()
        text = b''.join(EVENTS)
        first = b''.join(run.take(each) for each in split_at(text[:end], cuts))
        received = int(stream.last_id or 0)
        rest = stream.begin_run().take(b''.join(EVENTS[received:]))
        assert first + rest == text

    def test_crlf_line_endings_are_accepted(self):
        stream = EventStream()
        assert stream.begin_run().take(b'id: 4\r\ndata: a\r\n\r\n')
        assert stream.last_id == '4'

    @pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
    def test_last_id_is_that_of_the_last_of_several_events(self, line_end):
        """Guards against events that a resumed stream has twice.

        If several events arrive at once and lines end with CR, only the first
        id was found, and the next engine resumed after it.
        """
        lines = (b'id: 4', b'data: a', b'', b'data: id: 7', b'id: 5', b'', b'')
        stream = EventStream()
        stream.begin_run().take(line_end.join(lines))
        assert (stream.last_id, stream.events) == ('5', 2)

    def test_event_without_an_id_keeps_the_last_id(self):
        stream = EventStream()
        run = stream.begin_run()
        run.take(b'id: 4\n\n')
        run.take(b'data: a\n\n')
        assert stream.last_id == '4'


class TestTwoRuns:
    """Guards against pieces of two runs that are joined in one stream."""

    @given(
        turns=st.lists(
            st.tuples(st.integers(0, 3), st.integers(1, 40)), max_size=60
        ),
        begins=st.lists(st.integers(0, 59), max_size=3, unique=True),
    )
    def test_any_order_of_their_pieces_gives_each_event_once(
        self, turns, begins
    ):
        stream = EventStream()
        runs: list[RunEvents] = []
        left: list[bytes] = []
        received = b''
        for number, (index, size) in enumerate(turns):
            if not runs or number in begins:
                runs.append(stream.begin_run())
                left.append(b''.join(EVENTS[int(stream.last_id or 0) :]))
            chosen = index % len(runs)
            piece, left[chosen] = left[chosen][:size], left[chosen][size:]
            received += runs[chosen].take(piece)
        assert received == b''.join(EVENTS[: stream.events])

    def test_the_first_event_decides_which_run_goes_on(self):
        stream = EventStream()
        silent = stream.begin_run()
        silent.take(EVENTS[0])
        standby = stream.begin_run()
        assert standby.take(EVENTS[1]) == EVENTS[1]
        assert not silent.take(EVENTS[1])
        assert not silent.finish()
        assert standby.finish()

    def test_a_run_that_goes_on_first_keeps_the_stream(self):
        stream = EventStream()
        silent = stream.begin_run()
        silent.take(EVENTS[0])
        standby = stream.begin_run()
        assert silent.take(EVENTS[1]) == EVENTS[1]
        assert not standby.take(EVENTS[1])
        assert not standby.finish()

    def test_nothing_follows_the_end_of_a_stream(self):
        stream = EventStream()
        first, second = stream.begin_run(), stream.begin_run()
        assert first.finish()
        assert not second.take(EVENTS[0])
