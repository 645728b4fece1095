"""Encode and decode the messages between processes (MessagePack)."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from crowrudder_model._errors import MalformedMessageError
from crowrudder_model.messages._gossip import Datagram

_Message = TypeVar('_Message')
# Keys that this release doesn't know are skipped by recursion.
_UNREADABLE = (msgspec.MsgspecError, ValueError, TypeError, RecursionError)
_encoder = msgspec.msgpack.Encoder()
_datagrams: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Datagram)


def encode_message(message: object) -> bytes:
    """Encode an attrs message to bytes."""
    return _encoder.encode(message)


def decode_message(
    payload: bytes,
    kind: type[_Message],
    *,
    peer: str = '',
) -> _Message:
    """Decode bytes to a message of the given class.

    Raises
    ------
    MalformedMessageError
        When the bytes are not a message of that class.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except _UNREADABLE as exc:
        raise MalformedMessageError(
            f'not a {kind.__name__}: {exc}; check that both run one release',
            step='decode',
            peer=peer,
        ) from exc


def decode_datagram(payload: bytes, *, peer: str = '') -> Datagram:
    """Decode a datagram, which says itself which kind it is.

    Raises
    ------
    MalformedMessageError
        When the bytes are none of the kinds.
    """
    try:
        return _datagrams.decode(payload)
    except _UNREADABLE as exc:
        raise MalformedMessageError(
            f'not a datagram: {exc}; check that both run one release',
            step='decode',
            peer=peer,
        ) from exc
