"""Error answers of the entry itself: refusals and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import frozen

if TYPE_CHECKING:
    from http import HTTPStatus

    from crowrudder_daemon.fleet.ports import Call, CallerProtocol
    from crowrudder_daemon.fleet_entry._caller_side import CallerSide


@frozen(kw_only=True)
class ErrorAnswer:
    """An answer for a caller when no upstream's answer can be forwarded.

    ``code`` is for programs, ``reason`` for people. ``retry_after_s`` means
    that the request was not executed and may be sent again after that time.
    """

    status: HTTPStatus
    code: str
    reason: str
    retry_after_s: float | None = None


def encode_error(
    dialect: CallerProtocol, request_id: str, answer: ErrorAnswer
) -> tuple[list[tuple[str, str]], bytes]:
    """Return the headers and the body of an error answer.

    ``request_id`` is empty if the request could not be read that far.
    """
    headers = dialect.own_headers(request_id)
    headers.append(('Content-Type', 'application/json'))
    if answer.retry_after_s is not None:
        headers.append(('Retry-After', f'{answer.retry_after_s:.2f}'))
    body = msgspec.json.encode(
        {
            'error': {
                'code': answer.code,
                'message': answer.reason,
                'request_id': request_id,
            },
        },
    )
    return headers, body


async def send_error(
    side: CallerSide,
    dialect: CallerProtocol,
    call: Call | None,
    answer: ErrorAnswer,
) -> None:
    """Send an error answer of the entry to the caller.

    Parameters
    ----------
    call
        The request as far as it could be read.

    Raises
    ------
    CallerGoneError
        If the caller has left.
    """
    headers, body = encode_error(
        dialect, call.request_id if call else '', answer
    )
    await side.answer(answer.status, headers, body)
