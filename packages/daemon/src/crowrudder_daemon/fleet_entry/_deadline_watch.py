"""Find requests whose caller is held past its deadline, and end them."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._admission import MIN_RETRY_AFTER_S
from crowrudder_daemon.fleet_entry._error_answer import ErrorAnswer

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from crowrudder_daemon.fleet_entry._open_request import OpenRequest
    from crowrudder_daemon.process import Runtime

CHECK_INTERVAL_S = 0.5
"""Interval of checks while any request is open."""

MARGIN_S = 0.5
"""How long after its deadline a request without an answer counts as held. Its
own timeout answers it within a few turns of the loop."""


class DeadlineWatch:
    """Ends requests that their own timeouts did not end.

    A request is ended by the second check in a row that finds it: a loop that
    stood still comes to the check before it comes to the request's own timeout.

    Parameters
    ----------
    requests
        Those without their final answer; its owner adds and removes them.
    """

    def __init__(
        self, runtime: Runtime, requests: AbstractSet[OpenRequest]
    ) -> None:
        self._runtime = runtime
        self._requests = requests
        self._late_s: dict[OpenRequest, float] = {}
        """Of the held requests, how late the check was that found them."""
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0
        self._held = runtime.metrics.counter(
            'requests_past_deadline',
            'Requests that had no answer well past their deadline, by step.',
            labels=('step',),
        )

    def start(self) -> None:
        """Check from now on, while any request is open."""
        if self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        self._due_at = clock_s() + CHECK_INTERVAL_S
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check
        )

    def _check(self) -> None:
        now = clock_s()
        late_s = now - self._due_at
        self._timer = None
        if self._requests:
            self._schedule()
        held = {
            each
            for each in self._requests
            if each.is_held and now - each.deadline_at > MARGIN_S
        }
        known = self._late_s
        self._late_s = dict.fromkeys(held, late_s)
        for request in held & known.keys():
            try:
                self._end(request, now, max(late_s, known[request]))
            except Exception as exc:
                self._runtime.fault('deadline watch', exc)

    def _end(self, request: OpenRequest, now: float, late_s: float) -> None:
        if request.has_left():
            request.cancel()
            return
        self._held.add(step=request.step.value)
        answer = _answer_to(request)
        self._runtime.log.warning(
            'request past its deadline',
            extra={
                'step': request.step.value,
                'request_id': request.request_id,
                'told': request.side.told.value,
                'past_s': round(now - request.deadline_at, 3),
                'loop_late_s': round(late_s, 3),
                'status': answer.status.value,
            },
        )
        request.end_overdue(answer)


def _answer_to(request: OpenRequest) -> ErrorAnswer:
    """Return what its caller is told if no answer has begun."""
    if request.may_have_run:
        return ErrorAnswer(
            status=HTTPStatus.GATEWAY_TIMEOUT,
            code='unknown',
            reason='no answer by the deadline',
        )
    return ErrorAnswer(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='not_run',
        reason='not sent by the deadline',
        retry_after_s=MIN_RETRY_AFTER_S,
    )
