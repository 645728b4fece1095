"""Execution of one caller's request, up to its final answer."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.dispatch import (
    Answered,
    Broken,
    Completeness,
    Dispatch,
    EventStream,
    Fail,
    NotRun,
    NotSent,
    Refuse,
    Reject,
    Relay,
    SendAgain,
)
from crowrudder_core.quarantine import (
    Verdict,
    digest_text,
    part_digest,
    request_digest,
)
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._late_timeout import late_timeout
from crowrudder_daemon.fleet_entry._admission import (
    MIN_RETRY_AFTER_S,
    AdmissionTerms,
    ForecastRefusal,
    admission_request,
    deadline_refusal,
    forecast_refusal,
    is_returning_caller,
)
from crowrudder_daemon.fleet_entry._attempt import Attempt
from crowrudder_daemon.fleet_entry._caller_side import CallerGoneError
from crowrudder_daemon.fleet_entry._choosing import UpstreamRequirements
from crowrudder_daemon.fleet_entry._error_answer import ErrorAnswer, send_error
from crowrudder_daemon.fleet_entry._request_record import (
    RequestRecord,
    caller_fields,
)
from crowrudder_daemon.fleet_entry._succession import Succession
from crowrudder_daemon.fleet_entry._timeouts import timeouts_for
from crowrudder_model.fleet import RouteKind

if TYPE_CHECKING:
    from crowrudder_core.admission import AdmissionRequest
    from crowrudder_core.dispatch import AttemptOutcome, Decision
    from crowrudder_core.forecast import Choice
    from crowrudder_daemon.fleet.ports import Call
    from crowrudder_daemon.fleet_entry._admission import Admitted
    from crowrudder_daemon.fleet_entry._caller_side import CallerSide
    from crowrudder_daemon.fleet_entry._context import EntryContext
    from crowrudder_daemon.fleet_entry._retry_spending import SpentRetry

ANSWER_MARGIN_S = 0.02
"""How long before the caller's deadline the entry sends its error answer."""

UNPROVEN_RETRY_AFTER_S = 1.0
"""Time in which another run usually shows whether a request is harmless."""


@define(kw_only=True, eq=False)
class RequestExecution:
    """The execution of one request, which ends with one final answer."""

    call: Call
    body: bytes
    admitted: Admitted
    arrived_at: float
    side: CallerSide
    context: EntryContext
    dispatch: Dispatch = field(init=False)
    digests: tuple[int, ...] = field(init=False)
    """Of the request itself, then of the parts of its prompt that others may
    share."""

    events: EventStream = field(factory=EventStream, init=False)
    _record: RequestRecord = field(factory=RequestRecord, init=False)
    runs: Succession = field(init=False)
    _answered_attempt: Attempt | None = field(default=None, init=False)
    """An attempt with a complete answer that another one was to improve on."""

    _began_at: float = field(factory=clock_s, init=False)
    _admission: AdmissionRequest | None = field(init=False)
    _terms: AdmissionTerms = field(init=False)
    _is_admitted: bool = field(default=False, init=False)
    is_ending: bool = field(default=False, init=False)
    """Whether its answer is known."""

    _is_recorded: bool = field(default=False, init=False)
    _retry: SpentRetry | None = field(default=None, init=False)
    """A retry that was spent for the next attempt."""

    _retries: list[SpentRetry] = field(factory=list, init=False)
    _refusal: ForecastRefusal | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the deadline of the answer and the digests."""
        self.runs = Succession(self)
        route = self.admitted.route
        wait_s = route.timeout_s
        if self.call.wait_s is not None:
            wait_s = min(wait_s, self.call.wait_s - ANSWER_MARGIN_S)
        self.dispatch = Dispatch(
            repeatable=route.repeatable,
            max_sends=route.attempts,
            deadline_at=self.arrived_at + wait_s,
        )
        own = request_digest(
            method=self.call.method,
            host=self.call.host,
            target=self.call.target,
            customer=self.admitted.customer,
            body=self.body,
        )
        parts = (
            part_digest(model=self.call.model, part=part)
            for part in self.call.shared_parts
        )
        self.digests = (own, *parts)
        self._admission = admission_request(
            self.admitted, session=self.digests[-1], wait_s=self.call.wait_s
        )
        self._terms = self.context.admission.terms_for(self._admission)

    async def run(self) -> None:
        """Run until the caller has its final answer or has left."""
        self.context.admission.on_request(self._admission)
        try:
            self.context.quarantine.track(self)
            await self._run()
        finally:
            # Ending a run that stands by may fail as well.
            self.context.quarantine.untrack(self)
            self.runs.cancel_standby('its request has ended')
            for retry in self._retries:
                self.context.upstreams.retries.give_back(retry)

    def on_quarantined(self) -> None:
        """Cancel an attempt that has not begun; let a stream run to its end."""
        self.runs.close_unbegun(
            'taken back, as upstreams ended under this request'
        )

    def on_events(self, attempt: Attempt) -> None:
        """Close the run that another one's events have superseded."""
        self.runs.on_events(attempt)

    def on_silent(self, attempt: Attempt) -> bool:
        """Let another run stand by for a silent one, if one may be sent."""
        if not self.runs.needs_standby(attempt):
            return False
        standby = self._create_standby()
        if standby is None:
            return False
        self.runs.stand_by(standby)
        return True

    def on_run_ended(
        self, attempt: Attempt, ending: AttemptOutcome, *, is_last: bool
    ) -> None:
        """Record a run; others may be open if it isn't the last one."""
        self._record.on_attempt(attempt, ending, arrived_at=self.arrived_at)
        self._report_incarnations(attempt, ending)
        if is_last:
            if attempt.retry is not None and attempt.retry.is_unsent:
                # The next attempt uses it.
                self._retry = attempt.retry
            return
        if attempt.answer is not None:
            self._answered_attempt = attempt
        match ending:
            case NotRun():
                self._record.denied_by = 'upstream'
                self.dispatch.on_not_run()
            case NotSent():
                self._record.denied_by = 'send'
                self._record.on_refused(attempt, now=clock_s())
        if attempt.retry is not None:
            self.context.upstreams.retries.give_back(attempt.retry)

    async def _run(self) -> None:
        try:
            async with late_timeout(self.dispatch.deadline_at - clock_s()):
                next_step = await self._run_attempts()
        except TimeoutError:
            self.runs.cancel_standby('its request has ended')
            next_step = self.dispatch.refuse('out of time', MIN_RETRY_AFTER_S)
            await self._finish(next_step, HTTPStatus.GATEWAY_TIMEOUT)
        except CallerGoneError:
            self.side.release()
            self.record_end('caller_gone', 0)
        except asyncio.CancelledError:
            reason = 'it read too slowly' if self.side.is_cut_off else ''
            self.record_end('caller_gone', 0, reason=reason)
            raise
        else:
            await self._finish(next_step, HTTPStatus.BAD_GATEWAY)

    async def _run_attempts(self) -> Decision:
        while True:
            prepared = self._prepare()
            if not isinstance(prepared, Attempt):
                return prepared
            attempt, ending = await self.runs.run(prepared)
            self._record.denied_by = _denier_of(ending)
            next_step = self._next_step(attempt, ending)
            if not isinstance(next_step, SendAgain):
                if isinstance(next_step, Relay):
                    await self._relay(attempt)
                return next_step
            if attempt.answer is not None:
                self._answered_attempt = attempt

    def _prepare(self) -> Attempt | Decision:
        """Return the next attempt, or how the request ends without one."""
        refusal = self._quarantine_refusal()
        if refusal is not None:
            self._record.denied_by = 'quarantine'
            return refusal
        is_retryable = self._is_retryable
        self._terms = self.context.admission.terms_for(self._admission)
        choice = self._choose(
            is_retryable=is_retryable,
            avoid=self.dispatch.tried | self._record.unreachable,
        )
        if choice is None:
            self._record.denied_by = 'choice'
            return self._refuse_without_upstream()
        refusal = self._forecast_refusal(choice)
        if refusal is not None:
            self._record.denied_by = 'forecast'
            return refusal
        return self._create_attempt(choice)

    def _create_standby(self) -> Attempt | None:
        """Return an attempt beside a silent one; None if none may be sent.

        Nothing of the silent one is given up by a refusal.
        """
        now = clock_s()
        verdict = self.context.quarantine.verdict(self.digests)
        self._record.denied_by = ''
        if not self.dispatch.may_send(now):
            self._record.denied_by = 'sends'
        elif verdict is not Verdict.ALLOWED:
            self._record.denied_by = 'quarantine'
        elif not self.context.upstreams.retries.is_left(self.admitted.service):
            self._record.denied_by = 'budget'
        if self._record.denied_by:
            return None
        choice = self._choose(
            is_retryable=self._is_retryable,
            avoid=self.dispatch.tried | self._record.refusing(now),
        )
        if choice is None:
            self._record.denied_by = 'choice'
            return None
        if deadline_refusal(choice, self.dispatch.deadline_at - now):
            self._record.denied_by = 'forecast'
            return None
        if not self._spend_retry():
            return None
        return self._create_attempt(choice)

    def _report_incarnations(
        self, attempt: Attempt, ending: AttemptOutcome
    ) -> None:
        """Report to the quarantine how an attempt affected its upstreams."""
        quarantine = self.context.quarantine
        incarnation_ids = [
            each.upstream.id for each in attempt.choice.forecasts
        ]
        match ending:
            case Answered(completeness=Completeness.COMPLETE):
                quarantine.on_run_completed(self.digests)
                self._report_alive(attempt)
            case Answered():
                self._report_alive(attempt)
                quarantine.on_unproven_end(
                    self, incarnation_ids, ran_s=attempt.ran_s
                )
            case Broken() if attempt.is_cut_off:
                quarantine.on_connection_closed(
                    self, incarnation_ids, ran_s=attempt.ran_s
                )
                self.context.upstreams.probe.start(attempt.choice.forecast)
            case NotSent() if attempt.is_refused:
                quarantine.on_incarnation_ended(incarnation_ids[0])

    def _report_alive(self, attempt: Attempt) -> None:
        """Report an upstream without an agent as alive as of its answer's head.

        The rest of the answer may have been buffered while its caller read
        slowly.
        """
        now = clock_s()
        forecast = attempt.choice.forecast
        if forecast.fresh_load(now) is None:
            head_at = attempt.sent_at + attempt.time_to_head_s
            self.context.quarantine.on_incarnation_alive(
                forecast.upstream.id, age_s=now - head_at
            )

    def _quarantine_refusal(self) -> Decision | None:
        """Return a refusal if upstreams ended under something of the request.

        It is final only if nothing else can have ended them and more ended
        under trials of it.
        """
        quarantine = self.context.quarantine
        verdict = quarantine.verdict(self.digests)
        if verdict is Verdict.ALLOWED or quarantine.begin_trial(self):
            return None
        if verdict is Verdict.QUARANTINED:
            return self._reject_quarantined()
        return self.dispatch.refuse(
            'upstreams ended under it or a part of it, and one request shows '
            'now whether it was the cause',
            UNPROVEN_RETRY_AFTER_S,
        )

    def _reject_quarantined(self) -> Reject | Fail:
        reason = self.context.quarantine.refuse(self.digests)
        return Fail(reason) if self.side.has_begun else Reject(reason)

    def _next_step(self, attempt: Attempt, ending: AttemptOutcome) -> Decision:
        if attempt.is_streamed:
            return Relay()
        quarantine = self.context.quarantine
        is_tried = quarantine.is_tried(self)
        if quarantine.is_quarantined(self.digests) and not is_tried:
            return self._reject_quarantined()
        if self.side.has_begun and isinstance(ending, Answered):
            # A stream that has begun can't continue with an error answer.
            return Fail(f'answered {ending.status} to go on')
        return self.dispatch.after(
            ending,
            now=clock_s(),
            spend_retry=self._spend_retry,
        )

    def _spend_retry(self) -> bool:
        if not self.context.quarantine.may_retry(self.digests):
            self._record.denied_by = 'quarantine'
            return False
        retry = self.context.upstreams.retries.spend(self.admitted.service)
        if retry is None:
            self._record.denied_by = 'budget'
            return False
        self._retry = retry
        self._retries.append(retry)
        return True

    def _choose(self, *, is_retryable: bool, avoid: set[str]) -> Choice | None:
        return self.context.upstreams.choose(
            UpstreamRequirements(
                service=self.admitted.service,
                model=self.call.model,
                prompt=self.call.prompt_tokens,
                answer=self.call.answer_tokens,
                avoid=frozenset(avoid),
                is_retryable=is_retryable,
                may_use_pipeline=self.dispatch.repeatable,
                regions=self._regions(),
                priority=self._terms.priority,
            ),
        )

    def _regions(self) -> frozenset[str] | None:
        """Return the regions that may serve the request now; None for any.

        The configuration may have changed since it was admitted.
        """
        admitted = self.admitted
        return self.context.upstreams.regions_for(
            admitted.route, admitted.terms, self.call.key
        )

    def _forecast_refusal(self, choice: Choice) -> Decision | None:
        """Return a refusal if the attempt is forecast to be too late.

        A first attempt must begin by the request's goal, any other one before
        the caller's deadline: it would only take a slot from another request.
        """
        now = clock_s()
        refusal = deadline_refusal(choice, self.dispatch.deadline_at - now)
        is_first = not self.dispatch.sends and not self.side.has_begun
        if refusal is None and is_first:
            refusal = forecast_refusal(
                choice,
                goal_s=self.admitted.route.goal_s,
                passed_s=now - self.arrived_at,
                is_returning=self._is_returning_caller,
                terms=self._terms,
                now=now,
            )
        if refusal is not None:
            self._refusal = refusal
            return self.dispatch.refuse(refusal.reason, refusal.retry_after_s)
        if is_first and not self._is_admitted:
            # An attempt that sent nothing is followed by a first one again.
            self._is_admitted = True
            self.context.admission.on_admitted(self._admission)
        return None

    @property
    def _is_returning_caller(self) -> bool:
        return is_returning_caller(self.call.wait_s, self.admitted.route)

    def _refuse_without_upstream(self) -> Decision:
        service = self.admitted.service
        if self.context.upstreams.is_evacuated(service):
            return self.dispatch.refuse(f'{service} is evacuated')
        regions = self._regions()
        if regions is not None:
            self.context.region_refusals.add()
            names = ', '.join(sorted(regions)) or 'no region'
            return self.dispatch.refuse(
                f'no upstream of {service} in {names} can serve this now'
            )
        return self.dispatch.refuse(
            f'no upstream of {service} can serve this now',
        )

    def _create_attempt(self, choice: Choice) -> Attempt:
        retry, self._retry = self._retry, None
        return Attempt(
            retry=retry,
            call=self.call,
            body=self.body,
            choice=choice,
            customer=self.admitted.customer,
            urgency=self.admitted.urgency,
            timeouts=timeouts_for(
                self.admitted.route,
                first_s=choice.first_s,
                begin_by=self.context.upstreams.begin_by(
                    choice, self.call.model
                ),
                transit_s=choice.transit_s,
            ),
            observer=self,
            dispatch=self.dispatch,
            events=self.events,
            is_stream=self.admitted.route.kind is RouteKind.STREAM,
            side=self.side,
            dialect=self.context.dialect,
            upstreams=self.context.upstreams,
            allowed_regions=self._regions,
        )

    @property
    def _is_retryable(self) -> bool:
        """Whether another attempt may follow if the next one is abandoned."""
        return (
            self.dispatch.repeatable
            and self.dispatch.sends + 1 < self.dispatch.max_sends
            and self.context.upstreams.retries.is_left(self.admitted.service)
        )

    async def _relay(self, attempt: Attempt) -> None:
        self.is_ending = True
        answer = attempt.answer
        if answer is None:
            self.side.finish()
            return
        await self.side.answer(
            answer.head.status,
            self.context.dialect.response_headers(answer.head),
            answer.body,
        )

    async def _finish(self, next_step: Decision, failed: HTTPStatus) -> None:
        self.is_ending = True
        match next_step:
            case Refuse(reason=reason, retry_after_s=after_s):
                answer = ErrorAnswer(
                    status=HTTPStatus.SERVICE_UNAVAILABLE,
                    code='not_run',
                    reason=reason,
                    retry_after_s=after_s
                    or self.context.upstreams.estimate_retry_after_s(
                        self.admitted.service, self._regions()
                    ),
                )
                await self._send_error(answer)
                self.record_end('refused', answer.status, reason=reason)
            case Reject(reason=reason):
                answer = ErrorAnswer(
                    status=HTTPStatus.BAD_REQUEST,
                    code='ends_upstreams',
                    reason=reason,
                )
                await self._send_error(answer)
                self.record_end('rejected', answer.status, reason=reason)
            case Fail() if self._answered_attempt and not self.side.has_begun:
                await self._relay_earlier(self._answered_attempt)
            case Fail(reason=reason):
                await self._fail(failed, reason)
            case _:
                self.record_end('answered', HTTPStatus.OK)

    async def _relay_earlier(self, attempt: Attempt) -> None:
        """Relay the answer of an attempt after which no other one answered."""
        try:
            await self._relay(attempt)
        except CallerGoneError:
            self.record_end('caller_gone', 0)
        else:
            self.record_end('answered', HTTPStatus.OK)

    async def _fail(self, status: HTTPStatus, reason: str) -> None:
        if self.side.has_begun:
            self._count_cut()
            self.side.abort()
        else:
            await self._send_error(
                ErrorAnswer(status=status, code='unknown', reason=reason)
            )
        self.record_end('failed', status, reason=reason)

    def _count_cut(self) -> None:
        """Count a stream that is cut though no upstream broke it off."""
        if self._record.is_cut_off:
            return
        is_late = clock_s() >= self.dispatch.deadline_at
        reason = 'deadline' if is_late else self._record.denied_by or 'other'
        self.context.cuts_at_work.add(reason=reason)

    async def _send_error(self, answer: ErrorAnswer) -> None:
        try:
            await send_error(self.side, self.context.dialect, self.call, answer)
        except CallerGoneError:
            self.record_end('caller_gone', answer.status)

    def record_end(
        self, outcome: str, status: int, *, reason: str = ''
    ) -> None:
        """Log and count how the request ended; only the first end counts."""
        if self._is_recorded:
            return
        self._is_recorded = True
        now = clock_s()
        self.runs.cancel_standby('its request has ended')
        if self.runs.current is not None:
            self._record.on_attempt(
                self.runs.current, None, arrived_at=self.arrived_at
            )
            self.runs.current = None
        self.context.record_end(
            self,
            outcome=outcome,
            extra={
                'step': 'request',
                'request_id': self.call.request_id,
                'digest': digest_text(self.digests[0]),
                'outcome': outcome,
                'status': int(status),
                'reason': reason,
                'told': self.side.told.value,
                'route': self.admitted.route.name,
                'service': self.admitted.service,
                'customer': self.admitted.customer,
                'took_s': round(now - self.arrived_at, 3),
                'goal_s': self.admitted.route.goal_s,
                'urgency': self.admitted.urgency,
                'max_wait_s': self._terms.logged_max_wait_s,
                'sends': self.dispatch.sends,
                'events': self.events.events,
                'pause_s': round(self.events.longest_pause_s, 3),
                'pause_goal_s': self.admitted.route.pause_goal_s,
                'came_back': self._is_returning_caller,
                **(self._refusal.log_fields() if self._refusal else {}),
                **caller_fields(
                    self.side,
                    arrived_at=self.arrived_at,
                    began_at=self._began_at,
                ),
                **self._record.fields(self.call),
            },
        )


def _denier_of(ending: AttemptOutcome) -> str:
    """Return which step an attempt's outcome names as its end."""
    match ending:
        case NotSent():
            return 'send'
        case NotRun():
            return 'upstream'
        case Broken():
            return 'sends'
        case _:
            return ''
