from __future__ import annotations

import pytest
from attrs import frozen
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_model import (
    MalformedMessageError,
    Outcome,
    decode_message,
    encode_message,
)
from crowrudder_model.messages import Final, Piece, RunDown, RunUp


@frozen(kw_only=True)
class OldWord:
    host: str


@frozen(kw_only=True)
class NewWord:
    host: str
    beat: int = 0


class TestEnvelope:
    def test_body_is_the_one_message_inside(self):
        final = Final(request_id='r', outcome=Outcome.FAILED)
        down = decode_message(encode_message(RunDown(final=final)), RunDown)
        assert down.body == final

    @given(
        text=st.text(max_size=40),
        index=st.integers(0, 2**31),
        body=st.binary(max_size=40),
    )
    def test_pieces_come_back_as_they_were(self, text, index, body):
        piece = Piece(
            request_id='r',
            version='v',
            index=index,
            text=text,
            body=body,
        )
        down = decode_message(encode_message(RunDown(piece=piece)), RunDown)
        assert down.piece == piece


class TestReleasesSideBySide:
    def test_new_field_with_a_default_is_read_by_old_and_new(self):
        new = encode_message(NewWord(host='a', beat=3))
        old = encode_message(OldWord(host='a'))
        assert decode_message(new, OldWord) == OldWord(host='a')
        assert decode_message(old, NewWord) == NewWord(host='a')


class TestGarbage:
    @given(payload=st.binary(max_size=60))
    def test_gives_a_message_or_an_error_that_names_the_peer(self, payload):
        try:
            decode_message(payload, RunUp, peer='10.0.0.1:7')
        except MalformedMessageError as exc:
            assert exc.peer == '10.0.0.1:7'

    def test_half_a_message_is_refused(self):
        whole = encode_message(RunDown(final=None))
        with pytest.raises(MalformedMessageError, match='RunDown'):
            decode_message(whole[: len(whole) // 2], RunDown)
