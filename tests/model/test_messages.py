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
from crowrudder_model.messages import (
    Final,
    Piece,
    RunClientMessage,
    RunServerMessage,
)


@frozen(kw_only=True)
class OldMessage:
    host: str


@frozen(kw_only=True)
class NewMessage:
    host: str
    beat: int = 0


class TestEnvelope:
    def test_body_returns_the_field_that_is_set(self):
        final = Final(request_id='r', outcome=Outcome.FAILED)
        down = decode_message(
            encode_message(RunServerMessage(final=final)), RunServerMessage
        )
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
        down = decode_message(
            encode_message(RunServerMessage(piece=piece)), RunServerMessage
        )
        assert down.piece == piece


class TestReleaseCompatibility:
    def test_field_with_default_is_compatible_both_ways(self):
        new = encode_message(NewMessage(host='a', beat=3))
        old = encode_message(OldMessage(host='a'))
        assert decode_message(new, OldMessage) == OldMessage(host='a')
        assert decode_message(old, NewMessage) == NewMessage(host='a')


class TestGarbage:
    @given(payload=st.binary(max_size=60))
    def test_gives_a_message_or_an_error_that_names_the_peer(self, payload):
        try:
            decode_message(payload, RunClientMessage, peer='10.0.0.1:7')
        except MalformedMessageError as exc:
            assert exc.peer == '10.0.0.1:7'

    def test_truncated_message_is_refused(self):
        whole = encode_message(RunServerMessage(final=None))
        with pytest.raises(MalformedMessageError, match='RunServerMessage'):
            decode_message(whole[: len(whole) // 2], RunServerMessage)
