"""Splitting a stream into events, whatever the pieces in which it arrives."""

from __future__ import annotations

import re
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.dispatch import EventSplitter, _body_end, _events

TEXTS = st.lists(
    st.sampled_from((b'\r', b'\n', b':', b'id: 1', b'data: a', b'x')),
    max_size=60,
).map(b''.join)
SIZE = 65_536
PIECES = (1, 3, 100, 4096, SIZE)


def split_at(text, cuts):
    offsets = sorted({min(cut, len(text)) for cut in cuts} | {0, len(text)})
    return [text[a:b] for a, b in pairwise(offsets)]


class CountingPattern:
    """A pattern that counts the bytes that it may have to search."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.pattern = pattern
        self.searched = 0

    def finditer(self, text, start=0):
        self.searched += len(text) - start
        return self.pattern.finditer(text, start)


class TestAnySplit:
    @given(text=TEXTS, cuts=st.lists(st.integers(0, 400), max_size=60))
    def test_pieces_give_the_same_events_as_one(self, text, cuts):
        whole, splitter = EventSplitter(), EventSplitter()
        complete = whole.feed(text)
        pieces = [splitter.feed(each) for each in split_at(text, cuts)]
        assert b''.join(pieces) == complete
        assert splitter.rest == whole.rest == text[len(complete) :]

    @given(text=TEXTS)
    def test_no_end_of_an_event_is_left(self, text):
        splitter = EventSplitter()
        pieces = [splitter.feed(text[n : n + 1]) for n in range(len(text))]
        assert not re.search(rb'\r\n\r\n|\n\n|\r\r', splitter.rest)
        assert all(each.endswith((b'\n', b'\r')) for each in pieces if each)

    @given(text=TEXTS)
    def test_a_field_is_found_as_in_each_line(self, text):
        lines = text.splitlines()
        expected = any(line and not line.startswith(b':') for line in lines)
        assert _body_end.has_field(text) == expected


class TestWork:
    """Guards against work for all bytes held with each piece that arrives.

    An event without end then holds the process for as long as it arrives.
    """

    @pytest.mark.parametrize('piece', PIECES)
    @pytest.mark.parametrize(
        'text',
        [b'x' * SIZE, b': a\n' * (SIZE // 4), b'data: a\n\n' * (SIZE // 9)],
        ids=['no line end', 'one event', 'events'],
    )
    def test_each_byte_is_searched_a_few_times(self, text, piece, monkeypatch):
        pattern = CountingPattern(_events._EVENT_END)
        monkeypatch.setattr(_events, '_EVENT_END', pattern)
        splitter = EventSplitter()
        for offset in range(0, len(text), piece):
            splitter.feed(text[offset : offset + piece])
        assert pattern.searched <= 4 * len(text)
