"""Bounds of a stream's bytes that bring no event."""

from __future__ import annotations

import pytest

from crowrudder_core.dispatch import (
    MAX_BYTES_WITHOUT_EVENT,
    MAX_COMMENT_BYTES,
    MAX_INFORMATIONAL_ANSWERS,
    MAX_INFORMATIONAL_BYTES,
    MAX_PARTS_WITHOUT_EVENT,
    AnswerBound,
    BodyEnd,
    Completeness,
    EventStream,
    InformationalCount,
)

EVENT = b'id: 1\ndata: a\n\n'
COMMENT = b': wait\n\n'
PIECE = 4096


def take_all(run, text, received=0):
    """Take a text in pieces until a bound; return it and the bytes taken."""
    for start in range(0, len(text), PIECE):
        piece = text[start : start + PIECE]
        received += len(piece)
        run.take(piece, received)
        if run.exceeded is not None:
            return run.exceeded, received
    return None, received


class TestStreamBounds:
    """Guards against a stream without events that is read on and on."""

    def test_bytes_before_the_first_event(self):
        run = EventStream().begin_run()
        text = b'x' * (2 * MAX_BYTES_WITHOUT_EVENT)
        bound, received = take_all(run, text)
        assert bound is AnswerBound.FIRST_EVENT
        assert received <= MAX_BYTES_WITHOUT_EVENT + PIECE

    def test_bytes_of_one_event(self):
        run = EventStream().begin_run()
        text = EVENT + b'x' * (2 * MAX_BYTES_WITHOUT_EVENT)
        bound, received = take_all(run, text)
        assert bound is AnswerBound.EVENT
        assert received <= MAX_BYTES_WITHOUT_EVENT + 2 * PIECE

    @pytest.mark.parametrize('start', [b'', EVENT])
    def test_comments_in_a_row(self, start):
        run = EventStream().begin_run()
        text = start + COMMENT * (2 * MAX_COMMENT_BYTES // len(COMMENT))
        bound, received = take_all(run, text)
        assert bound is AnswerBound.COMMENTS
        assert received <= MAX_COMMENT_BYTES + 2 * PIECE

    def test_framing_counts_as_bytes(self):
        """Chunks of one byte may have extensions of any length."""
        run = EventStream().begin_run()
        run.take(EVENT, 100)
        run.take(b'x', 100 + MAX_BYTES_WITHOUT_EVENT)
        assert run.exceeded is None
        run.take(b'x', 101 + MAX_BYTES_WITHOUT_EVENT)
        assert run.exceeded is AnswerBound.EVENT

    def test_parts_without_an_event(self):
        """Chunks of one byte took seconds of processor time."""
        run = EventStream().begin_run()
        run.take(EVENT)
        for _ in range(MAX_PARTS_WITHOUT_EVENT):
            run.take(b'x')
        assert run.exceeded is None
        run.take(b'x')
        assert run.exceeded is AnswerBound.EVENT

    def test_a_stream_with_events_may_have_any_length(self):
        run = EventStream().begin_run()
        block = (COMMENT * 100 + EVENT) * 1000
        bound, received = take_all(run, block * 3)
        assert bound is None
        assert received > 2 * MAX_BYTES_WITHOUT_EVENT


class TestCommentsBeforeTheFirstEvent:
    def test_they_are_forwarded_with_it(self):
        """A caller got 200 and then nothing for comments alone."""
        run = EventStream().begin_run()
        assert not run.take(COMMENT)
        assert not run.take(COMMENT)
        assert run.take(EVENT) == COMMENT + COMMENT + EVENT
        assert run.take(COMMENT) == COMMENT

    def test_they_do_not_take_the_stream_from_another_run(self):
        stream = EventStream()
        first, second = stream.begin_run(), stream.begin_run()
        assert not first.take(COMMENT)
        assert second.take(EVENT) == EVENT
        assert not first.take(EVENT)

    def test_a_whole_stream_of_comments_is_forwarded_at_its_end(self):
        run = EventStream().begin_run()
        run.take(COMMENT)
        assert run.completeness(BodyEnd.FRAMING) is Completeness.COMPLETE
        assert run.rest() == COMMENT


class TestInformationalAnswers:
    def test_their_number_is_bounded(self):
        count = InformationalCount()
        for _ in range(MAX_INFORMATIONAL_ANSWERS):
            count.add(0)
        assert not count.is_exceeded
        count.add(0)
        assert count.is_exceeded

    def test_their_bytes_are_bounded(self):
        count = InformationalCount()
        count.add(MAX_INFORMATIONAL_BYTES)
        assert not count.is_exceeded
        count.add(1)
        assert count.is_exceeded
