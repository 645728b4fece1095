"""Refusal of requests that an overloaded entry would be too late for."""

from __future__ import annotations

import random
from http import HTTPStatus
from typing import TYPE_CHECKING

from crowrudder_core.limits import LoadShedder
from crowrudder_daemon._callers_port import Admission
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._peer_state import peer_state
from crowrudder_daemon.fleet_entry._error_answer import (
    ErrorAnswer,
    encode_error,
)
from crowrudder_daemon.fleet_entry._unparsed import (
    peek_request_head,
    refuse_unparsed,
)

if TYPE_CHECKING:
    import socket

    from crowrudder_daemon.fleet.ports import CallerProtocol
    from crowrudder_daemon.fleet_entry._caller_side import (
        CallerRequest,
        CallerSide,
    )
    from crowrudder_daemon.process import Runtime

LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines: a line for each request would cost as
much as the refusal."""

REASON = 'this entry has more requests than it can serve'


class OverloadGate:
    """Turns requests away before anything else is done for them.

    A refusal must cost little, or it would take the time of the requests that
    are served. On a new connection it is made before the request is parsed, on
    a kept one before the request gets a task.
    """

    def __init__(self, runtime: Runtime, dialect: CallerProtocol) -> None:
        self._log = runtime.log
        self._dialect = dialect
        self._shedder = LoadShedder(random.Random(runtime.incarnation))
        self._shed = 0
        self._abandoned = 0
        self._logged = (0, 0)
        self._logged_at = clock_s()
        # Read when they are asked for: a counter costs as much as a refusal.
        runtime.metrics.gauge(
            'fleet_requests_shed',
            'Requests refused so far because this entry was overloaded.',
            lambda: float(self._shed),
        )
        runtime.metrics.gauge(
            'fleet_requests_abandoned',
            'Requests so far whose callers had left before they were handled.',
            lambda: float(self._abandoned),
        )
        runtime.metrics.gauge(
            'fleet_admitted_share',
            'Share of the requests that this entry admits.',
            lambda: self._shedder.admitted_share,
        )

    def on_connection(self, sock: socket.socket) -> Admission:
        """Admit a new connection, or refuse the request that it carries.

        If no whole request has arrived, that is left for later.
        """
        waited_s = 0.0
        if self._shedder.is_shedding:
            waited_s = peer_state(sock).data_age_s
        if self._shedder.draw(waited_s, now=clock_s()):
            return Admission.ADMITTED
        head = peek_request_head(sock)
        if head is None:
            return Admission.UNDECIDED
        refuse_unparsed(sock, *self._refusal(self._dialect.request_id(head)))
        self._shed += 1
        self._log_counts()
        return Admission.REFUSED

    def refuses(self, request: CallerRequest, side: CallerSide) -> bool:
        """Answer a request that has been read; return whether it did."""
        now = clock_s()
        waited_s = now - side.waits_since
        self._shedder.on_handled(waited_s, now=now)
        if side.is_gone:
            side.release()
            self._abandoned += 1
            self._log_counts()
            return True
        if side.is_admitted:
            is_refused = self._shedder.is_overdue(waited_s)
        else:
            is_refused = not self._shedder.draw(waited_s, now=now)
        if not is_refused:
            return False
        headers, body = self._refusal(self._dialect.request_id(request.headers))
        side.answer_now(HTTPStatus.SERVICE_UNAVAILABLE, headers, body)
        self._shed += 1
        self._log_counts()
        return True

    def _refusal(self, request_id: str) -> tuple[list[tuple[str, str]], bytes]:
        answer = ErrorAnswer(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code='overloaded',
            reason=REASON,
            retry_after_s=self._shedder.retry_after_s,
        )
        return encode_error(self._dialect, request_id, answer)

    def _log_counts(self) -> None:
        now = clock_s()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        shed, abandoned = self._logged
        self._log.warning(
            'requests turned away',
            extra={
                'step': 'admit',
                'shed': self._shed - shed,
                'abandoned': self._abandoned - abandoned,
                'admitted_share': round(self._shedder.admitted_share, 2),
            },
        )
        self._logged = (self._shed, self._abandoned)
        self._logged_at = now
