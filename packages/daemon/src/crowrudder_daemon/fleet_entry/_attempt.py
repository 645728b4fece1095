"""A single attempt to run a request on one upstream."""

from __future__ import annotations

import asyncio
import contextlib
import math
from functools import partial
from typing import TYPE_CHECKING, Protocol

from attrs import define, field, frozen

from crowrudder_core.dispatch import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_ANSWER_BYTES,
    MAX_BUFFERED_PARTS,
    MAX_STRAY_ANSWERS,
    AnswerBound,
    Answered,
    BodyEnd,
    Broken,
    Completeness,
    EventStream,
    NotRun,
    NotSent,
    RunEvents,
    answer_completeness,
)
from crowrudder_core.forecast import InFlightRequest
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet.ports import SendTerms
from crowrudder_daemon.fleet_entry._caller_side import CallerGoneError
from crowrudder_daemon.fleet_entry._run_activity import RunActivity
from crowrudder_daemon.fleet_entry._statement_reader import StatementReader
from crowrudder_daemon.fleet_entry._timeouts import NO_TIMEOUT_S
from crowrudder_daemon.fleet_entry._version_end import MIN_START_WINDOW_S
from crowrudder_daemon.http import (
    AnswerBoundError,
    BrokenAnswerError,
    ConnectionLimitError,
    NotConnectedError,
    WireAnswer,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from crowrudder_core.dispatch import AttemptOutcome, Dispatch, Framing
    from crowrudder_core.forecast import Choice, UpstreamForecast
    from crowrudder_daemon.fleet.ports import (
        Call,
        CallerProtocol,
        ResponseMetadata,
    )
    from crowrudder_daemon.fleet_entry._caller_side import CallerSide
    from crowrudder_daemon.fleet_entry._delivery import Delivery
    from crowrudder_daemon.fleet_entry._retry_spending import SpentRetry
    from crowrudder_daemon.fleet_entry._silence_watch import Silence
    from crowrudder_daemon.fleet_entry._timeouts import AttemptTimeouts
    from crowrudder_daemon.fleet_entry._upstreams import Upstreams
    from crowrudder_daemon.http import HttpConnection, WireHead
    from crowrudder_model.fleet import UpstreamStatements

CONNECT_S = 0.3
"""Timeout for a connection to an upstream. A host without power never answers;
the latency between regions is some milliseconds."""

REFUSED_BODY_S = 0.25
"""Timeout for the body of an answer that the request wasn't run. It usually
comes with the head, and only keeping the connection needs it."""

FIRST_NON_SUCCESS_STATUS = 300
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise the caller that its request was not executed."""


def stage_at_fault(
    choice: Choice, metadata: ResponseMetadata
) -> UpstreamForecast:
    """Return the stage of a pipeline that a refusal blames, else the first.

    The first one answers for all of them. If it were blamed itself, a later
    stage that is down would be chosen again for the next request.
    """
    for stage in choice.forecasts[1:]:
        if metadata.at_fault in {stage.upstream.id, stage.upstream.address}:
            return stage
    return choice.forecast


def _check_whole(conn: HttpConnection, completeness: Completeness) -> None:
    """Raise an error for a body that has ended and isn't whole."""
    if completeness is Completeness.TRUNCATED:
        raise BrokenAnswerError(
            'ended before it was whole', step='answer', peer=conn.peer
        )


@frozen(kw_only=True)
class Cancellation:
    """Details of an attempt's cancellation before the end of its version.

    ``late_s`` is the delay after ``begin_by``; ``unsent_bytes`` is what the
    connection had not sent yet, -1 if the connection was already closed.
    """

    late_s: float
    unsent_bytes: int


class AttemptObserver(Protocol):
    """The request whose run an attempt is."""

    def on_events(self, attempt: Attempt) -> None:
        """Handle events that are about to be forwarded."""

    def on_silent(self, attempt: Attempt) -> bool:
        """Handle a silent upstream; return whether another run was sent."""


@define(kw_only=True, eq=False)
class Attempt:
    """One send to an upstream, until the answer is complete or has failed.

    Events of a stream are forwarded to the caller as they arrive. Any other
    answer is buffered until it is complete, so that the caller never receives
    a partial one.

    ``begin_left_s`` is the time from the send to ``begin_by``, None if there
    is no such deadline. ``connect_s`` is the wait for a connection, -1 before
    its end. ``allowed_regions`` returns those in which the newest configuration
    lets the request be served, None for any.
    """

    call: Call
    body: bytes
    choice: Choice
    customer: str
    urgency: int | None
    timeouts: AttemptTimeouts
    observer: AttemptObserver
    dispatch: Dispatch
    events: EventStream
    is_stream: bool
    _side: CallerSide
    _dialect: CallerProtocol
    _upstreams: Upstreams
    _allowed_regions: Callable[[], frozenset[str] | None]
    retry: SpentRetry | None = None
    """What the shared budget spent for it; None for a request's first one."""

    answer: WireAnswer | None = field(default=None, init=False)
    is_streamed: bool = field(default=False, init=False)
    """Whether a stream was forwarded up to its end."""

    time_to_first_event_s: float = field(default=-1, init=False)
    sent_at: float = field(default=0, init=False)
    load_report_age_s: float = field(default=-1, init=False)
    begin_left_s: float | None = field(default=None, init=False)
    time_to_head_s: float = field(default=-1, init=False)
    connect_s: float = field(default=-1, init=False)
    delivery: Delivery | None = field(default=None, init=False)
    cancellation: Cancellation | None = field(default=None, init=False)
    silence: Silence | None = field(default=None, init=False)
    """The first silence of its upstream that was too long."""

    is_cut_off: bool = field(default=False, init=False)
    """Whether the upstream closed the connection before its answer ended."""

    framing: Framing | None = field(default=None, init=False)
    """What delimits the body of the answer; None without a head."""

    body_end: BodyEnd = field(default=BodyEnd.OPEN, init=False)
    stream_events: int = field(default=0, init=False)
    rest_bytes: int = field(default=0, init=False)
    """Bytes of a stream after its last complete event."""

    bound: AnswerBound | None = field(default=None, init=False)
    """The bound at which the answer was given up; None if it met none."""

    received_bytes: int = field(default=0, init=False)
    """Bytes received until then."""

    is_refused: bool = field(default=False, init=False)
    """Whether the upstream's address refused the connection."""

    begin_by: float = field(init=False)
    _reader: StatementReader = field(init=False)
    _run: RunEvents = field(init=False)
    _ticket: int = field(default=0, init=False)
    _wait: asyncio.Timeout | None = field(default=None, init=False)
    _last_event_at: float = field(default=math.inf, init=False)
    _is_sending: bool = field(default=False, init=False)
    """Whether bytes of the request may have reached the connection."""

    activity: RunActivity = field(init=False)
    """What arrives from the upstream, once the request has been sent."""

    def __attrs_post_init__(self) -> None:
        """Initialise the deadline to begin and the reader of statements."""
        self.begin_by = self.timeouts.begin_by
        self._reader = StatementReader(
            statements=self._upstreams.statements,
            dialect=self._dialect,
            request_id=self.call.request_id,
        )
        self.activity = RunActivity(
            upstream_id=self.choice.forecast.upstream.id,
            first_s=self.timeouts.first_s,
            pause_s=self.timeouts.pause_s,
            heard_at=clock_s(),
            urgency=self.urgency or 0,
            on_silent=self._on_silent,
        )

    async def run(self) -> AttemptOutcome:
        """Run the attempt and return how it ended."""
        upstream = self.choice.forecast.upstream
        began_at = clock_s()
        try:
            conn = await self._upstreams.pool.acquire(
                upstream.address, timeout_s=CONNECT_S
            )
        except ConnectionLimitError as exc:
            # The upstream isn't at fault.
            self._upstreams.capacity.on_connection_limit()
            return NotSent(str(exc))
        except NotConnectedError as exc:
            self.connect_s = clock_s() - began_at
            self.is_refused = exc.is_refused
            if exc.is_timeout:
                # This process may have noticed the timeout late.
                self.choice.forecast.transit.on_unacknowledged(
                    sent_at=began_at, now=began_at + CONNECT_S
                )
            self.choice.forecast.on_failure(now=clock_s(), avoid=True)
            return NotSent(str(exc))
        self.connect_s = clock_s() - began_at
        try:
            return await self._run_on(conn)
        except BaseException:
            self._abandon(conn)
            raise

    async def _run_on(self, conn: HttpConnection) -> AttemptOutcome:
        now = clock_s()
        transit = self.choice.forecast.transit
        transit_s = transit.delay_s(now)
        refusal = self._refusal_to_send(now, transit_s=transit_s)
        if refusal:
            self._upstreams.pool.put_back(conn)
            return NotSent(refusal)
        request = self._dialect.upstream_request(
            self.call, self.body, self._terms(now + transit_s)
        )
        self._is_sending = True
        try:
            conn.send(request)
        except NotConnectedError as exc:
            return NotSent(str(exc))
        try:
            self._on_sent(conn, now=now)
            return await self._read_delivered(conn)
        except (BrokenAnswerError, TimeoutError) as exc:
            return self._on_broken(conn, exc)
        finally:
            self._upstreams.remove_pending(self._ticket)
            self._upstreams.silences.remove(self.activity)
            for each in self.choice.forecasts:
                each.on_ended(self._ticket)

    def _on_sent(self, conn: HttpConnection, *, now: float) -> None:
        """Record the request at its upstream."""
        forecast = self.choice.forecast
        upstream = forecast.upstream
        self.dispatch.on_sent(upstream.id, now=now)
        self._reader.on_sent(conn, upstream)
        self._run = self.events.begin_run()
        self.sent_at = now
        self.delivery = self._upstreams.deliveries.start(
            conn, forecast.transit, sent_at=now
        )
        if self.retry is not None:
            self._upstreams.retries.on_sent(self.retry, self.delivery)
        begin_left_s = self.begin_by - now
        if math.isfinite(begin_left_s):
            self.begin_left_s = begin_left_s
        self._ticket = self._upstreams.add_pending(self)
        self.activity.heard_at = now
        self._upstreams.silences.add(self.activity)
        self.load_report_age_s = forecast.load_report_age_s(now)
        memory = self.choice.memory_of(
            self.call.prompt_tokens, self.call.answer_tokens
        )
        for each, taken in zip(self.choice.forecasts, memory, strict=True):
            each.on_sent(
                self._ticket,
                InFlightRequest(
                    self.call.prompt_tokens,
                    now,
                    urgency=self.urgency or 0,
                    memory=taken,
                ),
            )

    def _on_broken(self, conn: HttpConnection, exc: Exception) -> Broken:
        """Close the connection of an answer that isn't whole."""
        self._reader.read_received(conn)
        unsent_bytes = conn.unsent_bytes
        self.is_cut_off = conn.was_ended_by_peer
        conn.close()
        if isinstance(exc, AnswerBoundError):
            self.bound = exc.bound
            self.received_bytes = conn.received_bytes
        if self._is_start_overdue:
            self.cancellation = Cancellation(
                late_s=clock_s() - self.begin_by, unsent_bytes=unsent_bytes
            )
            return Broken('not begun as its version ends')
        self._record_failure()
        return Broken(str(exc) or 'silent for too long')

    def _abandon(self, conn: HttpConnection) -> None:
        """Stop the upstream; keep a connection on which nothing was sent."""
        if not self._is_sending:
            self._upstreams.pool.put_back(conn)
            return
        try:
            self._reader.read_received(conn)
        finally:
            # Closing the connection makes the upstream stop.
            conn.close()

    def _refusal_to_send(self, now: float, *, transit_s: float) -> str:
        """Return why the request may not be sent now; empty if it may.

        The only place that decides so, for a first send, a repeated and a
        resumed one, right before its bytes are written. All that was known at
        the choice may be old: the connection may have taken long, and other
        work of the same turn of the loop as well.

        Raises
        ------
        CallerGoneError
            If the caller has left.
        """
        if self._side.has_left():
            raise CallerGoneError
        if not self.dispatch.may_send(now, transit_s=transit_s):
            return 'no time left'
        # A newer version may have been announced since the choice.
        begin_by = self._upstreams.begin_by(self.choice, self.call.model)
        self.begin_by = min(self.begin_by, begin_by)
        if self.begin_by - now - transit_s < MIN_START_WINDOW_S:
            return 'no time left to begin in'
        return self._upstreams.take_send(
            self.choice,
            prompt=self.call.prompt_tokens,
            answer=self.call.answer_tokens,
            regions=self._allowed_regions(),
        )

    @property
    def statements(self) -> UpstreamStatements:
        """The upstream's statements about itself in its answer."""
        return self._reader.stated

    @property
    def ran_s(self) -> float:
        """Seconds since the first event; 0 before it."""
        if not self._has_begun:
            return 0
        return clock_s() - self.sent_at - self.time_to_first_event_s

    @property
    def _is_start_overdue(self) -> bool:
        """Whether no event has arrived by ``begin_by``."""
        return not self._has_begun and clock_s() >= self.begin_by

    @property
    def _has_begun(self) -> bool:
        """Whether an event has arrived."""
        return self.time_to_first_event_s >= 0

    def _on_silent(self) -> bool:
        """Report that the upstream is silent; return if it had an effect."""
        if not self.dispatch.repeatable:
            return False
        if self.silence is None:
            self._record_failure()
            self.silence = self._upstreams.silences.describe(
                self.activity, after_event=self.events.last_id
            )
        return self.observer.on_silent(self)

    def _record_failure(self) -> None:
        """Record a failure, unless the engine ended it to load a version."""
        now = clock_s()
        forecast = self.choice.forecast
        if not forecast.is_changing(now):
            forecast.on_failure(now=now, avoid=True)

    def _terms(self, arrives_at: float) -> SendTerms:
        """Return the terms; the upstream counts the time left from arrival."""
        forecast = self.choice.forecast
        return SendTerms(
            upstream_id=forecast.upstream.id,
            left_s=self.dispatch.deadline_at - arrives_at,
            customer=self.customer,
            weights=self.choice.weights,
            urgency=self.urgency,
            resume_after=self.events.last_id or self.call.resume_after,
            path=self.choice.path.parts if self.choice.path else (),
        )

    async def _read_delivered(self, conn: HttpConnection) -> AttemptOutcome:
        """Read the answer, and stop watching the delivery of the request."""
        try:
            return await self._read(conn)
        finally:
            self._record_body_end(conn)
            if self.delivery is not None:
                self._upstreams.deliveries.finish(self.delivery)

    async def _read(self, conn: HttpConnection) -> AttemptOutcome:
        head, metadata = await self._matching_head(conn)
        self.activity.on_heard()
        self.time_to_head_s = clock_s() - self.sent_at
        if metadata.not_run:
            return await self._not_run(conn, head, metadata)
        if self.is_stream and head.status < FIRST_NON_SUCCESS_STATUS:
            if not metadata.is_authentic:
                raise BrokenAnswerError(
                    'nobody vouches for it', step='answer', peer=conn.peer
                )
            return await self._stream(conn, head)
        return await self._buffer_answer(conn, head, metadata)

    async def _matching_head(
        self, conn: HttpConnection
    ) -> tuple[WireHead, ResponseMetadata]:
        """Return the head of this request's answer; discard other answers.

        An upstream may answer an earlier request of the connection twice.
        Without this check the caller would get an answer to another request.
        """
        async with self._waiting(self.begin_by - clock_s()):
            for _ in range(MAX_STRAY_ANSWERS):
                head = await conn.head()
                metadata = self._reader.read(head)
                if self._reader.is_own(metadata):
                    return head, metadata
                await conn.drain()
                conn.skip()
        raise AnswerBoundError(AnswerBound.STRAY, peer=conn.peer)

    async def _not_run(
        self,
        conn: HttpConnection,
        head: WireHead,
        metadata: ResponseMetadata,
    ) -> NotRun:
        reason = f'answered {head.status}'
        try:
            async with asyncio.timeout(REFUSED_BODY_S):
                await conn.drain()
        except (BrokenAnswerError, TimeoutError) as exc:
            # The head said that the request wasn't run.
            conn.close()
            reason = f'{reason}, body without end: {exc or "silent"}'
        else:
            self._upstreams.pool.keep(conn, head)
        failed = stage_at_fault(self.choice, metadata)
        failed.on_failure(
            now=clock_s(), avoid=failed is not self.choice.forecast
        )
        return NotRun(reason)

    async def _buffer_answer(
        self,
        conn: HttpConnection,
        head: WireHead,
        metadata: ResponseMetadata,
    ) -> AttemptOutcome:
        """Buffer an answer until it is complete."""
        parts: list[bytes] = []
        size = 0
        while (part := await self._read_part(conn, has_begun=True)) is not None:
            parts.append(part)
            size += len(part)
            if (
                size > MAX_BODY_BYTES
                or conn.received_bytes > MAX_BUFFERED_ANSWER_BYTES
                or len(parts) > MAX_BUFFERED_PARTS
            ):
                raise AnswerBoundError(AnswerBound.BODY, peer=conn.peer)
        if not metadata.is_authentic or head.status in NOT_EXECUTED_STATUSES:
            raise BrokenAnswerError(
                f'answered {head.status}, which is no answer to pass on',
                step='answer',
                peer=conn.peer,
            )
        arrived_at = clock_s() - conn.socket_state().data_age_s
        completeness = answer_completeness(
            conn.body_end, status=head.status, size=size
        )
        _check_whole(conn, completeness)
        self._upstreams.pool.keep(conn, head)
        self.answer = WireAnswer(head=head, body=b''.join(parts))
        self._record_completion(
            completeness,
            arrived_at=arrived_at,
            is_good=head.status < FIRST_NON_SUCCESS_STATUS + 200,
        )
        return Answered(head.status, completeness)

    async def _stream(
        self, conn: HttpConnection, head: WireHead
    ) -> AttemptOutcome:
        """Forward complete events as they arrive."""
        while not self._has_begun:
            part = await self._read_part(conn, has_begun=False)
            if part is None:
                break
            complete_events = self._take(conn, part)
            if complete_events:
                self._record_first_event(conn)
                self.observer.on_events(self)
                self._record_pause()
                await self._forward(head, complete_events)
        else:
            await conn.relay(partial(self._push, conn), pause_s=NO_TIMEOUT_S)
        completeness = self._run.completeness(conn.body_end)
        _check_whole(conn, completeness)
        if not self._run.finish():
            raise BrokenAnswerError(
                'another run has begun in its place',
                step='answer',
                peer=conn.peer,
            )
        await self._forward(head, self._run.rest())
        self._upstreams.pool.keep(conn, head)
        self.is_streamed = True
        self._record_completion(
            completeness, arrived_at=clock_s(), is_good=True
        )
        return Answered(head.status, completeness)

    def _take(self, conn: HttpConnection, part: bytes) -> bytes:
        """Return the events that a part of the body completes."""
        complete_events = self._run.take(part, conn.received_bytes)
        if self._run.exceeded is not None:
            raise AnswerBoundError(self._run.exceeded, peer=conn.peer)
        return complete_events

    def _push(
        self, conn: HttpConnection, part: bytes
    ) -> asyncio.Future[None] | None:
        """Forward the events that a part of the body completes."""
        self.activity.on_heard()
        complete_events = self._take(conn, part)
        if not complete_events:
            return None
        self.observer.on_events(self)
        self._record_pause()
        held = self._side.push(complete_events)
        self.activity.on_held(held)
        return held

    async def _read_part(
        self, conn: HttpConnection, *, has_begun: bool
    ) -> bytes | None:
        if has_begun:
            part = await conn.part()
            self.activity.on_heard()
            return part
        # An upstream may send the head of its answer before it begins. If only
        # the head had to arrive by `begin_by`, a request that has not begun
        # would be cancelled up to `pause_s` too late; the log shows this as
        # `late_s` together with a `head_s`.
        async with self._waiting(self.begin_by - clock_s()):
            part = await conn.part()
        self.activity.on_heard()
        return part

    @contextlib.asynccontextmanager
    async def _waiting(self, left_s: float) -> AsyncIterator[None]:
        """Apply a timeout that ``update_begin_by`` may shorten."""
        try:
            timeout_s = left_s if math.isfinite(left_s) else None
            async with asyncio.timeout(timeout_s) as wait:
                self._wait = wait
                yield
        finally:
            self._wait = None

    def update_begin_by(self) -> None:
        """Update the deadline to begin after a change of versions.

        The deadline can move up while a request waits: the age of a version
        is corrected, or engines of a pipeline drop their layers for a newly
        announced version. If it were computed at the send alone, one token
        could be made by two versions.
        """
        begin_by = self._upstreams.begin_by(self.choice, self.call.model)
        self.begin_by = min(self.begin_by, begin_by)
        wait = self._wait
        if wait is None or wait.expired() or self._has_begun:
            return
        left_s = max(self.begin_by - clock_s(), 0)
        due_at = asyncio.get_running_loop().time() + left_s
        wait.reschedule(min(due_at, wait.when() or due_at))

    async def _forward(self, head: WireHead, complete_events: bytes) -> None:
        with self.activity.held():
            if self._side.has_begun:
                await self._side.write(complete_events)
                return
            headers = self._dialect.response_headers(head)
            await self._side.begin(head.status, headers, complete_events)

    def _record_first_event(self, conn: HttpConnection) -> None:
        if self._has_begun:
            return
        now = clock_s()
        self.time_to_first_event_s = now - self.sent_at
        self.activity.has_begun = True
        delivery = self.delivery
        self.choice.forecast.on_begun(
            self._ticket,
            forecast_s=self.choice.first_s - self.choice.transit_s,
            now=now - conn.socket_state().data_age_s,
            transit_s=delivery.unacknowledged_s if delivery else 0,
        )

    def _record_pause(self) -> None:
        """Record a pause in the stream that the caller notices.

        An upstream with a congested link starts streams in time and stalls
        later. If only failures and first events were counted, it would keep
        its full share of the requests.
        """
        now = clock_s()
        self.events.on_forwarded(now)
        if now - self._last_event_at > self.timeouts.late_pause_s:
            self.choice.forecast.on_stream_stall()
        self._last_event_at = now

    def _record_body_end(self, conn: HttpConnection) -> None:
        self.framing = conn.body.framing
        self.body_end = conn.body_end
        if self.is_stream and self.framing is not None:
            self.stream_events = self._run.events
            self.rest_bytes = len(self._run.rest())

    def _record_completion(
        self,
        completeness: Completeness,
        *,
        arrived_at: float,
        is_good: bool,
    ) -> None:
        """Record an answer whose last bytes arrived at a time.

        The time until this process read them isn't the upstream's.
        """
        now = clock_s()
        if is_good:
            self.choice.forecast.on_success(
                max(arrived_at - self.sent_at, 0),
                now=now,
                is_proven=completeness is Completeness.COMPLETE,
            )
        else:
            self.choice.forecast.on_failure(now=now, avoid=False)
