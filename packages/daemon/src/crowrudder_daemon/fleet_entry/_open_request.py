"""A request without its final answer, and how it ends after an error."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

from attrs import define, frozen

from crowrudder_daemon.fleet_entry._caller_side import (
    AnswerTold,
    CallerGoneError,
)
from crowrudder_daemon.fleet_entry._error_answer import (
    ErrorAnswer,
    encode_error,
)
from crowrudder_daemon.fleet_entry._request_step import RequestStep

if TYPE_CHECKING:
    import asyncio

    from tornado.httputil import HTTPHeaders

    from crowrudder_daemon.fleet.ports import Call, CallerProtocol
    from crowrudder_daemon.fleet_entry._caller_side import (
        CallerRequest,
        CallerSide,
    )
    from crowrudder_daemon.fleet_entry._drive import RequestExecution
    from crowrudder_daemon.process import Runtime

INTERNAL_ERROR = ErrorAnswer(
    status=HTTPStatus.INTERNAL_SERVER_ERROR,
    code='internal',
    reason='an error inside the entry; whether the request ran is unknown',
)


@frozen
class FaultLog:
    """Records the errors of one request that no handler expected."""

    _runtime: Runtime
    _dialect: CallerProtocol

    def record(
        self, step: RequestStep, exc: Exception, *, request_id: str
    ) -> None:
        """Log and count an error."""
        self._runtime.fault(
            f'request: {step.value}', exc, request_id=request_id
        )

    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the id of a request; empty if it can't be read."""
        try:
            return self._dialect.request_id(headers)
        except Exception as exc:
            self.record(RequestStep.READ, exc, request_id='')
            return ''

    def encode(
        self, answer: ErrorAnswer, *, step: RequestStep, request_id: str
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Return the parts of an answer; empty if it can't be encoded."""
        try:
            return encode_error(self._dialect, request_id, answer)
        except Exception as exc:
            self.record(step, exc, request_id=request_id)
            return [], b''


@define(kw_only=True, eq=False)
class OpenRequest:
    """One request, from its last byte to the end of its answer.

    Attributes
    ----------
    call
        The request as far as it could be read.
    execution
        Its execution, once it is admitted.
    task
        The task that runs it.
    """

    request: CallerRequest
    side: CallerSide
    _faults: FaultLog
    call: Call | None = None
    execution: RequestExecution | None = None
    task: asyncio.Task[None] | None = None
    _own_step: RequestStep = RequestStep.GATE

    @property
    def step(self) -> RequestStep:
        """How far it has come."""
        if self.execution is not None:
            return _step_of(self.execution)
        return self._own_step

    def enter(self, step: RequestStep) -> None:
        """Record a step before its execution."""
        self._own_step = step

    @property
    def request_id(self) -> str:
        """Its id; empty if it has none or it can't be read."""
        if self.call is not None:
            return self.call.request_id
        return self._faults.request_id(self.request.headers)

    @property
    def deadline_at(self) -> float:
        """When its caller is to have an answer; infinite if not admitted."""
        if self.execution is None:
            return math.inf
        return self.execution.dispatch.deadline_at

    @property
    def is_held(self) -> bool:
        """Whether its caller waits for more than the rest of an answer.

        One that reads a whole answer slowly isn't held by this process.
        """
        match self.side.told:
            case AnswerTold.NOTHING:
                return True
            case AnswerTold.PART:
                return not self.side.is_answer_whole
            case _:
                return False

    @property
    def may_have_run(self) -> bool:
        """Whether it was sent to an upstream that may have run it."""
        return self.execution is not None and (
            self.execution.dispatch.may_have_run
        )

    def has_left(self) -> bool:
        """Return whether its caller has left, as its socket says now."""
        return self.side.has_left()

    def cancel(self) -> None:
        """Stop its task."""
        if self.task is not None:
            self.task.cancel()

    def end_overdue(self, answer: ErrorAnswer) -> None:
        """Answer a request that its own timeouts did not end, and stop it."""
        try:
            self.end(answer)
            self._record_failure(answer)
        finally:
            self.cancel()

    def on_fault(self, exc: Exception) -> None:
        """Answer a request after an error that no handler expected."""
        request_id, step = self.request_id, self.step
        self._faults.record(step, exc, request_id=request_id)
        try:
            self.end(INTERNAL_ERROR)
            self._record_failure(INTERNAL_ERROR)
        except Exception as second:
            self._faults.record(step, second, request_id=request_id)

    def end(self, answer: ErrorAnswer) -> None:
        """Give its caller a final answer; truncate one that has begun.

        Nothing that the request does later reaches the caller.
        """
        headers, body = self._faults.encode(
            answer, step=self.step, request_id=self.request_id
        )
        try:
            self.side.end(answer.status, headers, body)
        except CallerGoneError:
            # It left while the error was handled.
            self.side.release()
        except Exception:
            self.side.abort()
            raise

    def _record_failure(self, answer: ErrorAnswer) -> None:
        if self.execution is not None:
            self.execution.record_end(
                'failed', answer.status, reason=answer.reason
            )


def _step_of(execution: RequestExecution) -> RequestStep:
    """Return how far a request has come that was admitted."""
    attempt = execution.runs.current
    if execution.side.has_begun or execution.is_ending:
        return RequestStep.DELIVER
    if attempt is None:
        return RequestStep.CHOOSE
    if not attempt.sent_at:
        return RequestStep.SEND
    if attempt.time_to_head_s < 0:
        return RequestStep.AWAIT_ANSWER
    return RequestStep.READ_ANSWER
