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


def _best_us(work: Callable[[], object]) -> float:
    best_s = min(timeit.repeat(work, number=ROUNDS, repeat=REPEATS))
    return best_s / ROUNDS * MICRO


def run(show: Callable[[str, float | str], None]) -> None:
    """Compare MessagePack with JSON, both by msgspec over attrs classes."""
    message = RunServerMessage(
        piece=Piece(
            request_id='0123456789abcdef0123456789abcdef',
            version='listing-v1',
            index=7,
            text='listing-v1:7:abcdef01 ',
        ),
    )
    packed = encode_message(message)
    spelled = msgspec.json.encode(message)
    pack_us = _best_us(lambda: encode_message(message))
    unpack_us = _best_us(lambda: decode_message(packed, RunServerMessage))
    spell_us = _best_us(lambda: msgspec.json.encode(message))
    read_us = _best_us(
        lambda: msgspec.json.decode(spelled, type=RunServerMessage)
    )
    show('codec.encode_us', pack_us)
    show('codec.decode_us', unpack_us)
    show(
        'codec.json_time_over_msgpack',
        (spell_us + read_us) / (pack_us + unpack_us),
    )
    show('codec.bytes', len(packed))
    show('codec.json_bytes_over_msgpack', len(spelled) / len(packed))
