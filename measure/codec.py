"""Time and size of one streamed token as a message between processes."""

from __future__ import annotations

import timeit
from typing import TYPE_CHECKING

import msgspec

from crowrudder_model import decode_message, encode_message
from crowrudder_model.messages import Piece, RunServerMessage

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 50_000
REPEATS = 5
MICRO = 1_000_000


def _best_us(function: Callable[[], object]) -> float:
    best_s = min(timeit.repeat(function, number=ROUNDS, repeat=REPEATS))
    return best_s / ROUNDS * MICRO


def run(show: Callable[[str, float | str], None]) -> None:
    """Compare MessagePack with JSON; msgspec encodes attrs classes in both."""
    message = RunServerMessage(
        piece=Piece(
            request_id='0123456789abcdef0123456789abcdef',
            version='listing-v1',
            index=7,
            text='listing-v1:7:abcdef01 ',
        ),
    )
    encoded = encode_message(message)
    json_encoded = msgspec.json.encode(message)
    encode_us = _best_us(lambda: encode_message(message))
    decode_us = _best_us(lambda: decode_message(encoded, RunServerMessage))
    json_encode_us = _best_us(lambda: msgspec.json.encode(message))
    json_decode_us = _best_us(
        lambda: msgspec.json.decode(json_encoded, type=RunServerMessage)
    )
    show('codec.encode_us', encode_us)
    show('codec.decode_us', decode_us)
    show(
        'codec.json_time_over_msgpack',
        (json_encode_us + json_decode_us) / (encode_us + decode_us),
    )
    show('codec.bytes', len(encoded))
    show('codec.json_bytes_over_msgpack', len(json_encoded) / len(encoded))
