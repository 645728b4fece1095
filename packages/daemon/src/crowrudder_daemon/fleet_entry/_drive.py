"""Carry one caller's request to its one final answer."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from attrs import define, field, frozen

from crowrudder_core.dispatch import (
    Answered,
    Broken,
    Dispatch,
    EventStream,
    Fail,
    NotSent,
    Refuse,
    Reject,
    Relay,
    SendAgain,
)
from crowrudder_core.quarantine import digest_text, request_digest
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._attempt import Attempt
from crowrudder_daemon.fleet_entry._attempt_line import line_of
from crowrudder_daemon.fleet_entry._caller_side import CallerGoneError
from crowrudder_daemon.fleet_entry._own_answer import OwnAnswer, send_own
from crowrudder_daemon.fleet_entry._patience import patience_for
from crowrudder_daemon.fleet_entry._upstreams import Wanted
from crowrudder_model.fleet import RouteKind

if TYPE_CHECKING:
    from crowrudder_core.dispatch import Ending, Next
    from crowrudder_core.forecast import Choice
    from crowrudder_daemon.fleet.ports import Call
    from crowrudder_daemon.fleet_entry._caller_side import CallerSide
    from crowrudder_daemon.fleet_entry._parts import EntryParts
    from crowrudder_model.fleet import Route

ANSWER_MARGIN_S = 0.02
"""An answer of one's own leaves so long before its caller gives up."""

LATE_GOALS = 1.0
"""A request is refused at once where its first event is forecast after so
many times its goal: it would take the place of one that can be in time."""

CROWDED_GOALS = 0.75
"""The same at an engine with few free slots, where forecasts fall short."""

SPARE_GOALS = 0.8
"""The same for a request that comes back after its goal has passed: it is
served where the upstreams have room to spare."""

LEAST_RETRY_S = 0.1
MOST_RETRY_S = 2.0


@frozen
class Admitted:
    """A request that may be served: where, and for whom."""

    route: Route
    service: str
    customer: str
    urgency: int


@define(kw_only=True, eq=False)
class Drive:
    """One request on its way; every path ends in one final answer."""

    call: Call
    body: bytes
    admitted: Admitted
    arrived_at: float
    side: CallerSide
    parts: EntryParts
    dispatch: Dispatch = field(init=False)
    digest: int = field(init=False)
    events: EventStream = field(factory=EventStream, init=False)
    _attempts: list[dict[str, Any]] = field(factory=list, init=False)
    _under_way: Attempt | None = field(default=None, init=False)
    _wait: asyncio.Timeout | None = field(default=None, init=False)
    _first_s: float = field(default=-1, init=False)
    _sent_s: float = field(default=-1, init=False)

    def __attrs_post_init__(self) -> None:
        """Work out until when the caller gets its answer."""
        route = self.admitted.route
        wait_s = route.timeout_s
        if self.call.wait_s is not None:
            wait_s = min(wait_s, self.call.wait_s - ANSWER_MARGIN_S)
        self.dispatch = Dispatch(
            repeatable=route.repeatable,
            most_sends=route.attempts,
            limit_at=self.arrived_at + wait_s,
        )
        self.digest = request_digest(
            method=self.call.method,
            host=self.call.host,
            target=self.call.target,
            customer=self.admitted.customer,
            body=self.body,
        )

    async def run(self) -> None:
        """Go on until the caller has its final answer, or has left."""
        quarantine = self.parts.quarantine
        quarantine.enter(self)
        try:
            await self._run()
        finally:
            quarantine.leave(self)

    def on_convicted(self) -> None:
        """Take an attempt back that has not begun; a stream is left to end."""
        attempt, wait = self._under_way, self._wait
        has_begun = attempt is not None and attempt.first_took_s >= 0
        if wait is not None and not wait.expired() and not has_begun:
            wait.reschedule(asyncio.get_running_loop().time())

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(self.dispatch.limit_at - clock_s()):
                verdict = await self._attempt_all()
        except TimeoutError:
            verdict = self.dispatch.refuse('out of time', LEAST_RETRY_S)
            await self._finish(verdict, HTTPStatus.GATEWAY_TIMEOUT)
        except CallerGoneError:
            self._note('caller_gone', 0)
        except asyncio.CancelledError:
            self._note('caller_gone', 0)
            raise
        else:
            await self._finish(verdict, HTTPStatus.BAD_GATEWAY)

    async def _attempt_all(self) -> Next:
        while True:
            if self.parts.quarantine.is_convicted(self.digest):
                return self._reject()
            is_movable = self._is_movable
            choice = self._choose(is_movable=is_movable)
            refusal = self._refusal(choice)
            if choice is None or refusal is not None:
                return refusal or self._nobody()
            attempt = self._attempt(choice, is_movable=is_movable)
            self._under_way = attempt
            ending = await self._ending_of(attempt)
            self._under_way = None
            self._note_attempt(attempt, ending)
            self._note_life(attempt, ending)
            verdict = self._after(attempt, ending)
            if not isinstance(verdict, SendAgain):
                if isinstance(verdict, Relay):
                    await self._relay(attempt)
                return verdict

    async def _ending_of(self, attempt: Attempt) -> Ending:
        """Run an attempt, unless its request is convicted meanwhile."""
        wait = asyncio.timeout(None)
        self._wait = wait
        try:
            async with wait:
                return await attempt.run()
        except TimeoutError:
            if not wait.expired():
                raise
            return Broken('taken back, as upstreams ended under this request')
        finally:
            self._wait = None

    def _note_life(self, attempt: Attempt, ending: Ending) -> None:
        """Tell what an attempt's end says of the upstream's life."""
        quarantine = self.parts.quarantine
        lives = [each.upstream.id for each in attempt.choice.outlooks]
        match ending:
            case Answered():
                quarantine.on_whole(self.digest)
            case Broken() if attempt.is_cut_off:
                quarantine.on_broken(self.digest, lives, ran_s=attempt.ran_s)
                self.parts.upstreams.probe.look_at(attempt.choice.outlook)
            case NotSent() if attempt.is_refused:
                quarantine.on_life_ended(lives[0])

    def _reject(self) -> Reject | Fail:
        reason = self.parts.quarantine.refuse(self.digest)
        return Fail(reason) if self.side.has_begun else Reject(reason)

    def _after(self, attempt: Attempt, ending: Ending) -> Next:
        if attempt.is_whole:
            return Relay()
        if self.parts.quarantine.is_convicted(self.digest):
            return self._reject()
        if self.side.has_begun and isinstance(ending, Answered):
            # A stream that has begun can't go on with another answer.
            return Fail(f'answered {ending.status} to go on')
        return self.dispatch.after(
            ending,
            now=clock_s(),
            take_retry=self._take_retry,
        )

    def _take_retry(self) -> bool:
        if not self.parts.quarantine.may_send_again(self.digest):
            return False
        return self.parts.upstreams.take_retry(self.admitted.service)

    def _choose(self, *, is_movable: bool) -> Choice | None:
        return self.parts.upstreams.choose(
            Wanted(
                service=self.admitted.service,
                model=self.call.model,
                prompt=self.call.prompt_tokens,
                avoid=frozenset(self.dispatch.tried | self._unreachable),
                is_movable=is_movable,
                may_pass_many=self.dispatch.repeatable,
            ),
        )

    @property
    def _unreachable(self) -> set[str]:
        return {
            attempt['upstream']
            for attempt in self._attempts
            if attempt['ending'] == NotSent.__name__
        }

    def _refusal(self, choice: Choice | None) -> Next | None:
        """Refuse a first attempt that is forecast to be of no use."""
        if choice is None or self.dispatch.sends or self.side.has_begun:
            return None
        goal_s = self.admitted.route.goal_s
        passed_s = clock_s() - self.arrived_at
        if passed_s + choice.first_s <= self._goals(choice) * goal_s:
            return None
        wait_s = choice.first_s - goal_s / 2
        return self.dispatch.refuse(
            f'first event forecast in {choice.first_s:.2f} s',
            min(max(wait_s, LEAST_RETRY_S), MOST_RETRY_S),
        )

    def _goals(self, choice: Choice) -> float:
        """Give after how many of its goals a first event is of no use."""
        if choice.outlook.is_crowded(clock_s()):
            return CROWDED_GOALS
        return SPARE_GOALS if self._comes_back else LATE_GOALS

    @property
    def _comes_back(self) -> bool:
        """Whether the caller has waited for longer than the goal already.

        Callers begin with at least the route's time; less is left to those
        who were refused before.
        """
        wait_s, route = self.call.wait_s, self.admitted.route
        return wait_s is not None and wait_s < route.timeout_s - route.goal_s

    def _nobody(self) -> Next:
        return self.dispatch.refuse(
            f'no upstream of {self.admitted.service} can serve this now',
        )

    def _attempt(self, choice: Choice, *, is_movable: bool) -> Attempt:
        return Attempt(
            call=self.call,
            body=self.body,
            choice=choice,
            customer=self.admitted.customer,
            urgency=self.admitted.urgency,
            patience=patience_for(
                self.admitted.route,
                first_s=choice.first_s,
                begin_by=self.parts.upstreams.begin_by(choice, self.call.model),
                is_movable=is_movable,
            ),
            dispatch=self.dispatch,
            events=self.events,
            is_stream=self.admitted.route.kind is RouteKind.STREAM,
            side=self.side,
            dialect=self.parts.dialect,
            upstreams=self.parts.upstreams,
        )

    @property
    def _is_movable(self) -> bool:
        """Whether another attempt may follow one that is given up."""
        return (
            self.dispatch.repeatable
            and self.dispatch.sends + 1 < self.dispatch.most_sends
            and self.parts.upstreams.has_retry(self.admitted.service)
        )

    async def _relay(self, attempt: Attempt) -> None:
        answer = attempt.answer
        if answer is None:
            self.side.finish()
            return
        await self.side.answer(
            answer.head.status,
            self.parts.dialect.passed_back(answer.head),
            answer.body,
        )

    async def _finish(self, verdict: Next, failed: HTTPStatus) -> None:
        match verdict:
            case Refuse(reason=reason, retry_after_s=after_s):
                answer = OwnAnswer(
                    status=HTTPStatus.SERVICE_UNAVAILABLE,
                    code='not_run',
                    reason=reason,
                    retry_after_s=after_s
                    or self.parts.upstreams.back_in_s(self.admitted.service),
                )
                await self._send_own(answer)
                self._note('refused', answer.status, reason=reason)
            case Reject(reason=reason):
                answer = OwnAnswer(
                    status=HTTPStatus.BAD_REQUEST,
                    code='ends_upstreams',
                    reason=reason,
                )
                await self._send_own(answer)
                self._note('rejected', answer.status, reason=reason)
            case Fail(reason=reason):
                await self._fail(failed, reason)
            case _:
                self._note('answered', HTTPStatus.OK)

    async def _fail(self, status: HTTPStatus, reason: str) -> None:
        if self.side.has_begun:
            self.side.cut()
        else:
            await self._send_own(
                OwnAnswer(status=status, code='unknown', reason=reason)
            )
        self._note('failed', status, reason=reason)

    async def _send_own(self, answer: OwnAnswer) -> None:
        try:
            await send_own(self.side, self.parts.dialect, self.call, answer)
        except CallerGoneError:
            self._note('caller_gone', answer.status)

    def _note_attempt(self, attempt: Attempt, ending: Ending | None) -> None:
        if attempt.sent_at and self._sent_s < 0:
            self._sent_s = attempt.sent_at - self.arrived_at
        first_s = attempt.first_took_s
        if first_s >= 0 and self._first_s < 0:
            self._first_s = attempt.sent_at + first_s - self.arrived_at
        self._attempts.append(line_of(attempt, ending))

    def _note(self, outcome: str, status: int, *, reason: str = '') -> None:
        now = clock_s()
        if self._under_way is not None:
            self._note_attempt(self._under_way, None)
            self._under_way = None
        self.parts.note_end(
            self,
            outcome=outcome,
            extra={
                'step': 'request',
                'request_id': self.call.request_id,
                'digest': digest_text(self.digest),
                'outcome': outcome,
                'status': int(status),
                'reason': reason,
                'route': self.admitted.route.name,
                'service': self.admitted.service,
                'customer': self.admitted.customer,
                'took_s': round(now - self.arrived_at, 3),
                'sent_s': round(self._sent_s, 4),
                'first_s': round(self._first_s, 3),
                'goal_s': self.admitted.route.goal_s,
                'sends': self.dispatch.sends,
                'events': self.events.events,
                'pause_s': round(self.events.longest_pause_s, 3),
                'pause_goal_s': self.admitted.route.pause_goal_s,
                'came_back': self._comes_back,
                'attempts': self._attempts,
            },
        )
