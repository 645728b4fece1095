"""Refusal of a request whose body is longer than a caller may send."""

from __future__ import annotations

import asyncio
import contextlib
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from attrs import define, field
from tornado.httputil import HTTPInputError

from crowrudder_core.connections import CloseRule
from crowrudder_daemon._body_length import is_too_long

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tornado.httputil import HTTPHeaders

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Longest body while no configuration is known."""

LINGER_S = 1.0
"""How long the caller may keep sending. Closing the connection before the whole
body has been read resets it, and the answer may be lost."""

MAX_DISCARDED_BYTES = 1024 * 1024
"""How much it may keep sending."""

_UNLIMITED_BYTES = 1 << 62


class RefusingSide(Protocol):
    """The caller's connection, as far as a refusal uses it."""

    def begin_refusal(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a short answer while the request is still being read."""

    def end_refusal(self, rule: CloseRule) -> None:
        """Close the connection after `begin_refusal`."""

    def allow_body(self, max_bytes: int) -> None:
        """Set how long the body of this request may be."""


class BodyRules(Protocol):
    """Knows how long a body may be, and the answer to a longer one."""

    @property
    def max_body_bytes(self) -> int:
        """Longest body that callers may send now."""

    def long_body_refusal(
        self, headers: HTTPHeaders, max_bytes: int
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Record the refusal; return the headers and body of its answer."""

    def reading_fault(
        self, headers: HTTPHeaders, exc: Exception
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Record an error of this process; return the parts of its answer."""


@define(eq=False)
class BodyGate:
    """Answers a request as soon as its body is too long.

    What still arrives is discarded within bounds, so that the caller reads the
    answer; then the connection is closed.
    """

    _side: RefusingSide
    _rules: BodyRules
    _max_bytes: int = MAX_BODY_BYTES
    _headers: HTTPHeaders | None = None
    _size: int = 0
    _rule: CloseRule = field(default=CloseRule.LONG_BODY, init=False)
    _timer: asyncio.TimerHandle | None = field(default=None, init=False)

    @property
    def has_refused(self) -> bool:
        """Whether the request has been answered."""
        return self._timer is not None

    def on_head(self, headers: HTTPHeaders) -> None:
        """Check the announced length."""
        self._headers = headers
        self._max_bytes = self._rules.max_body_bytes
        # Tornado's own limit has no answer that tells the caller why.
        self._side.allow_body(_UNLIMITED_BYTES)
        if is_too_long(headers.get('Content-Length', ''), self._max_bytes):
            self._refuse_long(headers)

    def on_part(self, part: bytes) -> None:
        """Count a part of the body."""
        self._size += len(part)
        if self.has_refused:
            if self._size > MAX_DISCARDED_BYTES:
                self.end()
        elif self._size > self._max_bytes and self._headers is not None:
            self._size = 0
            self._refuse_long(self._headers)

    @contextlib.contextmanager
    def answers_faults(self, headers: HTTPHeaders) -> Iterator[None]:
        """Answer an error that no handler expected.

        Tornado would close the connection without an answer.
        """
        try:
            yield
        except HTTPInputError:
            raise
        except Exception as exc:
            fields, body = self._rules.reading_fault(headers, exc)
            if not self.has_refused:
                self._rule = CloseRule.INTERNAL_ERROR
                self._refuse(
                    HTTPStatus.INTERNAL_SERVER_ERROR, headers, fields, body
                )

    def end(self) -> None:
        """Close the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._side.end_refusal(self._rule)

    def _refuse_long(self, headers: HTTPHeaders) -> None:
        fields, body = self._rules.long_body_refusal(headers, self._max_bytes)
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        self._refuse(status, headers, fields, body)

    def _refuse(
        self,
        status: HTTPStatus,
        headers: HTTPHeaders,
        fields: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        # It is answered without the body that it asks for.
        headers.pop('Expect', None)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_S, self.end)
        self._side.begin_refusal(status, fields, body)
