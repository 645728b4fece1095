"""Parsing and validation of callers' requests; performs no I/O."""

from __future__ import annotations

import re
import uuid
from typing import TYPE_CHECKING

import msgspec
from attrs import evolve, field, frozen

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_model.messages import Attempt

LOWEST_PRIORITY = 9
DEFAULT_PRIORITY = 5
MAX_TOKENS = 100_000
MAX_DEADLINE_MS = 3_600_000
PREFIX_LENGTH = 32
_ID = re.compile('[A-Za-z0-9._-]{1,128}')
_NAME = re.compile('[A-Za-z0-9._-]{1,64}')


class BadRequestError(Exception):
    """A request that is invalid; no part of it ran.

    ``status`` and ``code`` are those of the answer.
    """

    def __init__(self, message: str, *, status: int, code: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@frozen(kw_only=True)
class CallHead:
    """Header values, which models and plain services share.

    ``budget_s`` counts from the request's arrival.
    """

    request_id: str
    customer: str
    budget_s: float
    idempotent: bool
    priority: int
    id_generated: bool = False
    """Whether the entry generated the id, so that nobody else knows it."""


class CompletionBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    adapter: str = ''


@frozen(kw_only=True)
class PlainCall:
    """A call to forward to a plain service."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen(kw_only=True)
class CallerRequest:
    """One request with everything that determines its routing."""

    head: CallHead
    service: str
    completion: CompletionBody | None = None
    plain: PlainCall | None = field(default=None)

    @property
    def prefix(self) -> str:
        """The affinity key from the start of the prompt; empty for none."""
        if self.completion is None:
            return ''
        start = self.completion.prompt[:PREFIX_LENGTH]
        return f'{self.completion.adapter}|{start}'


def answer_request_id(headers: Mapping[str, str]) -> str:
    """Return the id for an answer: the caller's if valid, else a new one.

    >>> answer_request_id({'X-Request-Id': 'r1'})
    'r1'
    """
    given_id = headers.get('X-Request-Id', '')
    return given_id if _ID.fullmatch(given_id) else uuid.uuid4().hex


def parse_head(headers: Mapping[str, str], *, default_s: float) -> CallHead:
    """Parse the headers of a call.

    Raises
    ------
    BadRequestError
        If a header is invalid; names it and the allowed values.
    """
    customer = headers.get('X-Customer', '')
    if not _NAME.fullmatch(customer):
        raise _bad_request('X-Customer must be 1 to 64 of A-Z a-z 0-9 . _ -')
    given_id = headers.get('X-Request-Id', '')
    request_id = given_id or uuid.uuid4().hex
    if not _ID.fullmatch(request_id):
        raise _bad_request('X-Request-Id must be 1 to 128 of A-Z a-z 0-9 . _ -')
    budget_ms = _parse_int(
        headers,
        'X-Deadline-Ms',
        default=int(default_s * 1000),
        maximum=MAX_DEADLINE_MS,
    )
    return CallHead(
        request_id=request_id,
        id_generated=not given_id,
        customer=customer,
        budget_s=budget_ms / 1000,
        idempotent=headers.get('X-Idempotent', '').lower() == 'true',
        priority=_parse_int(
            headers,
            'X-Priority',
            default=DEFAULT_PRIORITY,
            maximum=LOWEST_PRIORITY,
        ),
    )


def parse_completion(body: bytes) -> CompletionBody:
    """Parse the body of a completion.

    Raises
    ------
    BadRequestError
        If it isn't JSON or a field is missing, unknown or out of range.
    """
    try:
        completion = msgspec.json.decode(body, type=CompletionBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise _bad_request(f'the body is not a completion: {exc}') from exc
    if not 1 <= completion.max_tokens <= MAX_TOKENS:
        raise _bad_request(f'max_tokens must be 1 to {MAX_TOKENS}')
    return completion


def _parse_int(
    headers: Mapping[str, str],
    name: str,
    *,
    default: int,
    maximum: int,
) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if (
        not text.isascii()
        or not text.isdigit()
        or len(text) > len(str(maximum))
    ):
        raise _bad_request(f'{name} must be a whole number from 0 to {maximum}')
    number = int(text)
    if number > maximum:
        raise _bad_request(f'{name} must be a whole number from 0 to {maximum}')
    return number


def _bad_request(message: str) -> BadRequestError:
    return BadRequestError(message, status=400, code='bad_request')


def with_payload(
    attempt: Attempt,
    req: CallerRequest,
    next_index: int,
) -> Attempt:
    """Return the opening message of an attempt with the work to run."""
    completion = req.completion
    if completion is not None:
        return evolve(
            attempt,
            model=completion.model,
            adapter=completion.adapter,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            resume_from=next_index,
        )
    plain = req.plain
    if plain is None:
        return attempt
    return evolve(
        attempt,
        method=plain.method,
        path=plain.path,
        headers=plain.headers,
        body=plain.body,
    )
