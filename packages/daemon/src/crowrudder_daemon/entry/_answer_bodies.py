"""Encode the bodies of answers to callers, as bytes and as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from crowrudder_daemon.entry._final_outcome import FinalOutcome
from crowrudder_model import Outcome
from crowrudder_model.messages import Piece

if TYPE_CHECKING:
    pass


def token_event(piece: Piece) -> bytes:
    payload = msgspec.json.encode({'index': piece.index, 'text': piece.text})
    return b'event: token\ndata: ' + payload + b'\n\n'


def final_event(ended: FinalOutcome, request_id: str) -> bytes:
    if ended.outcome is Outcome.ANSWERED:
        payload = msgspec.json.encode(
            {
                'outcome': ended.outcome.value,
                'tokens': ended.pieces,
                'version': ended.version,
            }
        )
        return b'event: done\ndata: ' + payload + b'\n\n'
    body = error_body(
        ended.code,
        ended.message,
        ended.outcome.value,
        request_id,
    )
    return b'event: error\ndata: ' + msgspec.json.encode(body) + b'\n\n'


def error_body(
    code: str,
    message: str,
    outcome: str,
    request_id: str,
) -> dict[str, dict[str, str]]:
    return {
        'error': {
            'code': code,
            'message': message,
            'outcome': outcome,
            'request_id': request_id,
        },
    }
