"""Answers of the entry's own: refusals, and failures without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import frozen

if TYPE_CHECKING:
    from http import HTTPStatus

    from crowrudder_daemon.fleet.ports import Call, CallersDialect
    from crowrudder_daemon.fleet_entry._caller_side import CallerSide


@frozen(kw_only=True)
class OwnAnswer:
    """What a caller is told when no upstream's answer can be passed on.

    ``code`` tells programs what happened, ``reason`` people. With
    ``retry_after_s`` the request hasn't run, and is welcome after so long.
    """

    status: HTTPStatus
    code: str
    reason: str
    retry_after_s: float | None = None


async def send_own(
    side: CallerSide,
    dialect: CallersDialect,
    call: Call | None,
    answer: OwnAnswer,
) -> None:
    """Write an answer of the entry's own.

    Parameters
    ----------
    call
        The request as far as it could be read.

    Raises
    ------
    CallerGoneError
        When nobody waits for it any more.
    """
    headers = dialect.own_headers(call)
    headers.append(('Content-Type', 'application/json'))
    if answer.retry_after_s is not None:
        headers.append(('Retry-After', f'{answer.retry_after_s:.2f}'))
    body = msgspec.json.encode(
        {
            'error': {
                'code': answer.code,
                'message': answer.reason,
                'request_id': call.request_id if call else '',
            },
        },
    )
    await side.answer(answer.status, headers, body)
