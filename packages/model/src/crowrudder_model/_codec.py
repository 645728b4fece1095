"""Encode and decode the messages between processes (MessagePack)."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from crowrudder_model._errors import MalformedMessageError
from crowrudder_model.messages._gossip import Datagram

MAX_DATAGRAM_BYTES = 16_384
"""Longest datagram: the inventory of a version of 60,000 chunks."""

_Message = TypeVar('_Message')
# The decoder skips unknown keys recursively, so that deeply nested values
# raise RecursionError.
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, RecursionError)
_message_encoder = msgspec.msgpack.Encoder()
_datagram_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
    Datagram
)


def encode_message(message: object) -> bytes:
    """Encode a message to MessagePack bytes."""
    return _message_encoder.encode(message)


def decode_message(
    payload: bytes,
    kind: type[_Message],
    *,
    peer: str = '',
) -> _Message:
    """Decode a message of the given class.

    Raises
    ------
    MalformedMessageError
        When the bytes are not a message of that class.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except _DECODE_ERRORS as exc:
        raise MalformedMessageError(
            f'not a {kind.__name__}: {exc}; check that both run one release',
            step='decode',
            peer=peer,
        ) from exc


def decode_datagram(payload: bytes, *, peer: str = '') -> Datagram:
    """Decode a datagram; its tag selects the message class.

    Raises
    ------
    MalformedMessageError
        When the bytes are not a datagram of a known class, or too many.
    """
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise MalformedMessageError(
            f'a datagram longer than {MAX_DATAGRAM_BYTES} bytes',
            step='decode',
            peer=peer,
        )
    try:
        return _datagram_decoder.decode(payload)
    except _DECODE_ERRORS as exc:
        raise MalformedMessageError(
            f'not a datagram: {exc}; check that both run one release',
            step='decode',
            peer=peer,
        ) from exc
