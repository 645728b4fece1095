"""One attempt of a request at one upstream."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.dispatch import (
    Answered,
    Broken,
    EventStream,
    NotRun,
    NotSent,
)
from crowrudder_core.forecast import Work
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet.ports import SendTerms
from crowrudder_daemon.fleet_entry._ends import ON_THE_WAY_S
from crowrudder_daemon.http import (
    BrokenAnswerError,
    NotConnectedError,
    WireAnswer,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from crowrudder_core.dispatch import Dispatch, Ending
    from crowrudder_core.forecast import Choice
    from crowrudder_daemon.fleet.ports import (
        AnswerMark,
        Call,
        CallersDialect,
    )
    from crowrudder_daemon.fleet_entry._caller_side import CallerSide
    from crowrudder_daemon.fleet_entry._patience import Patience
    from crowrudder_daemon.fleet_entry._upstreams import Upstreams
    from crowrudder_daemon.http import HttpConnection, WireHead

CONNECT_S = 0.3
"""Longest wait for a connection; a host without power never answers, and
between regions the way takes some milliseconds."""

MOST_BODY_BYTES = 4 * 1024 * 1024
"""Longest answer that is held whole before it is passed on."""

MOST_STRAYS = 4
"""Answers to other requests that are read over before one's own."""

FIRST_ERROR = 300
PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that say to a caller that its request hasn't run."""


@frozen(kw_only=True)
class TakenAway:
    """How late an attempt was taken away, and what its connection still held.

    ``late_s`` is counted from the moment by which it had to begin;
    ``unsent_bytes`` is -1 where the connection was gone.
    """

    late_s: float
    unsent_bytes: int


@define(kw_only=True, eq=False)
class Attempt:
    """One send, until the answer is whole or the attempt has failed.

    Events of a stream go to the caller as they come; any other answer is held
    until it is whole, so that a half one is never passed on.

    ``begin_left_s`` is how long it had to begin in when it was sent, None if
    nothing bounds that.
    """

    call: Call
    body: bytes
    choice: Choice
    customer: str
    urgency: int | None
    patience: Patience
    dispatch: Dispatch
    events: EventStream
    is_stream: bool
    _side: CallerSide
    _dialect: CallersDialect
    _upstreams: Upstreams
    answer: WireAnswer | None = field(default=None, init=False)
    is_whole: bool = field(default=False, init=False)
    first_took_s: float = field(default=-1, init=False)
    sent_at: float = field(default=0, init=False)
    word_age_s: float = field(default=-1, init=False)
    begin_left_s: float | None = field(default=None, init=False)
    head_took_s: float = field(default=-1, init=False)
    taken_away: TakenAway | None = field(default=None, init=False)
    is_cut_off: bool = field(default=False, init=False)
    """Whether the upstream closed the connection before its answer's end."""

    is_refused: bool = field(default=False, init=False)
    """Whether nobody listens at the upstream's address."""

    limit_per_s: float | None = field(default=None, init=False)
    """The limit that the upstream named in its answer."""

    begin_by: float = field(init=False)
    _ticket: int = field(default=0, init=False)
    _wait: asyncio.Timeout | None = field(default=None, init=False)
    _event_at: float = field(default=math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        """Begin with the end that is known at the send."""
        self.begin_by = self.patience.begin_by

    async def run(self) -> Ending:
        """Make the attempt."""
        upstream = self.choice.outlook.upstream
        if not self._upstreams.limits.take(upstream.id):
            return NotSent('its limit allows no more requests now')
        try:
            conn = await self._upstreams.pool.take(
                upstream.address, timeout_s=CONNECT_S
            )
        except NotConnectedError as exc:
            self.is_refused = exc.is_refused
            self.choice.outlook.on_bad(now=clock_s(), avoid=True)
            return NotSent(str(exc))
        try:
            return await self._run_on(conn)
        except BaseException:
            # The caller left or the time is over: the upstream has to notice.
            conn.close()
            raise

    async def _run_on(self, conn: HttpConnection) -> Ending:
        upstream = self.choice.outlook.upstream
        now = clock_s()
        if not self.dispatch.may_send(now):
            conn.close()
            return NotSent('no time left')
        # A newer version may have been named since the choice.
        begin_by = self._upstreams.begin_by(self.choice, self.call.model)
        self.begin_by = min(self.begin_by, begin_by)
        if self.begin_by - now < ON_THE_WAY_S:
            # The wait for the connection has taken what was left.
            conn.close()
            return NotSent('no time left to begin in')
        request = self._dialect.request_for(
            self.call, self.body, self._terms(now)
        )
        try:
            conn.send(request)
        except NotConnectedError as exc:
            return NotSent(str(exc))
        self.dispatch.on_sent(upstream.id, now=now)
        self.sent_at = now
        begin_left_s = self.begin_by - now
        if math.isfinite(begin_left_s):
            self.begin_left_s = begin_left_s
        self._ticket = self._upstreams.begin_wait(self)
        outlook = self.choice.outlook
        self.word_age_s = outlook.word_age_s(now)
        for each in self.choice.outlooks:
            each.on_sent(self._ticket, Work(self.call.prompt_tokens, now))
        try:
            return await self._read(conn)
        except (BrokenAnswerError, TimeoutError) as exc:
            unsent_bytes = conn.unsent_bytes
            self.is_cut_off = conn.was_ended_by_peer
            conn.close()
            if self._is_overtaken:
                self._note_taken_away(unsent_bytes)
                return Broken('not begun as its version ends')
            self._note_broken()
            return Broken(str(exc) or 'silent for too long')
        finally:
            self._upstreams.end_wait(self._ticket)
            for each in self.choice.outlooks:
                each.on_ended(self._ticket)

    @property
    def ran_s(self) -> float:
        """How long ago its first event came, in seconds; 0 before it."""
        if not self._has_begun:
            return 0
        return clock_s() - self.sent_at - self.first_took_s

    @property
    def _is_overtaken(self) -> bool:
        """Whether it had not begun when it had to."""
        return not self._has_begun and clock_s() >= self.begin_by

    @property
    def _has_begun(self) -> bool:
        """Whether an event has come."""
        return self.first_took_s >= 0

    def _note_taken_away(self, unsent_bytes: int) -> None:
        self.taken_away = TakenAway(
            late_s=clock_s() - self.begin_by,
            unsent_bytes=unsent_bytes,
        )

    def _note_broken(self) -> None:
        """Count a failure, unless the engine cut it off for a load."""
        now = clock_s()
        outlook = self.choice.outlook
        if not outlook.is_changing(now):
            outlook.on_bad(now=now, avoid=True)

    def _terms(self, now: float) -> SendTerms:
        outlook = self.choice.outlook
        return SendTerms(
            upstream_id=outlook.upstream.id,
            left_s=self.dispatch.limit_at - now,
            customer=self.customer,
            weights=self.choice.weights,
            urgency=self.urgency,
            resume_after=self.events.last_id or self.call.resume_after,
            path=self.choice.path.parts if self.choice.path else (),
        )

    async def _read(self, conn: HttpConnection) -> Ending:
        head, mark = await self._own_head(conn)
        self.head_took_s = clock_s() - self.sent_at
        self.limit_per_s = mark.limit_per_s
        self._upstreams.limits.on_answer(
            self.choice.outlook.upstream.id, mark.limit_per_s
        )
        if mark.not_run:
            return await self._not_run(conn, head, mark)
        if self.is_stream and head.status < FIRST_ERROR:
            if not mark.is_vouched:
                raise BrokenAnswerError(
                    'nobody vouches for it', step='answer', peer=conn.peer
                )
            return await self._stream(conn, head)
        return await self._whole(conn, head, mark)

    async def _own_head(
        self, conn: HttpConnection
    ) -> tuple[WireHead, AnswerMark]:
        """Wait for the answer to this request, past those to others.

        An upstream may answer an earlier request of the connection twice; its
        caller would get what belongs to someone else.
        """
        left_s = min(self.patience.first_s, self.begin_by - clock_s())
        async with self._waiting(left_s):
            for _ in range(MOST_STRAYS):
                head = await conn.head()
                mark = self._dialect.mark_of(head)
                own = self.call.request_id
                if not own or mark.request_id in {'', own}:
                    return head, mark
                await conn.drain()
                conn.skip()
        raise BrokenAnswerError(
            'only answers to other requests', step='answer', peer=conn.peer
        )

    async def _not_run(
        self,
        conn: HttpConnection,
        head: WireHead,
        mark: AnswerMark,
    ) -> NotRun:
        async with asyncio.timeout(self.patience.pause_s):
            await conn.drain()
        self._upstreams.pool.keep(conn, head)
        self.choice.outlook.on_bad(now=clock_s(), avoid=False)
        return NotRun(f'answered {head.status}', mark.retry_after_s)

    async def _whole(
        self,
        conn: HttpConnection,
        head: WireHead,
        mark: AnswerMark,
    ) -> Ending:
        """Hold an answer until it is whole."""
        parts: list[bytes] = []
        size = 0
        while (part := await self._part(conn, has_begun=True)) is not None:
            parts.append(part)
            size += len(part)
            if size > MOST_BODY_BYTES:
                raise BrokenAnswerError(
                    'longer than allowed', step='answer', peer=conn.peer
                )
        if not mark.is_vouched or head.status in PROMISES:
            raise BrokenAnswerError(
                f'answered {head.status}, which is no answer to pass on',
                step='answer',
                peer=conn.peer,
            )
        self._upstreams.pool.keep(conn, head)
        self.answer = WireAnswer(head=head, body=b''.join(parts))
        self._note_whole(is_good=head.status < FIRST_ERROR + 200)
        return Answered(head.status)

    async def _stream(self, conn: HttpConnection, head: WireHead) -> Ending:
        """Pass whole events on as they come."""
        self.events.begin_attempt()
        while not self._has_begun:
            part = await self._part(conn, has_begun=False)
            if part is None:
                break
            whole = self.events.take(part)
            if whole:
                self._note_first()
                self._note_pause()
                await self._pass_on(head, whole)
        else:
            await conn.relay(self._push, pause_s=self.patience.pause_s)
        await self._pass_on(head, self.events.rest())
        self._upstreams.pool.keep(conn, head)
        self.is_whole = True
        self._note_whole(is_good=True)
        return Answered(head.status)

    def _push(self, part: bytes) -> asyncio.Future[None] | None:
        """Pass the whole events on that a part completes."""
        whole = self.events.take(part)
        if not whole:
            return None
        self._note_pause()
        return self._side.push(whole)

    async def _part(
        self, conn: HttpConnection, *, has_begun: bool
    ) -> bytes | None:
        if has_begun:
            async with asyncio.timeout(self.patience.pause_s):
                return await conn.part()
        # What goes wrong where only the head of an answer has to come in time:
        # an upstream sends it before it begins, and what has not begun is taken
        # away as late as a pause of a stream may last, seen as `late_s` beside
        # a `head_s` in the line of the request.
        left_s = min(self.patience.pause_s, self.begin_by - clock_s())
        async with self._waiting(left_s):
            return await conn.part()

    @contextlib.asynccontextmanager
    async def _waiting(self, left_s: float) -> AsyncIterator[None]:
        """Bound a wait, by less if a version's end is seen to come sooner."""
        try:
            async with asyncio.timeout(left_s) as wait:
                self._wait = wait
                yield
        finally:
            self._wait = None

    def on_versions(self) -> None:
        """Take note that other versions may be in force than at the send.

        What goes wrong where the end is looked up at the send alone: an age
        is corrected while a request waits, or it waits at the first engine of
        a path whose others give their parts up for a version that was named
        meanwhile. It is seen as a token made by two versions.
        """
        begin_by = self._upstreams.begin_by(self.choice, self.call.model)
        self.begin_by = min(self.begin_by, begin_by)
        wait = self._wait
        if wait is None or wait.expired() or self._has_begun:
            return
        left_s = max(self.begin_by - clock_s(), 0)
        due_at = asyncio.get_running_loop().time() + left_s
        wait.reschedule(min(due_at, wait.when() or due_at))

    async def _pass_on(self, head: WireHead, whole: bytes) -> None:
        if self._side.has_begun:
            await self._side.write(whole)
            return
        headers = self._dialect.passed_back(head)
        await self._side.begin(head.status, headers, whole)

    def _note_first(self) -> None:
        if self._has_begun:
            return
        now = clock_s()
        self.first_took_s = now - self.sent_at
        self.choice.outlook.on_begun(
            self._ticket, forecast_s=self.choice.first_s, now=now
        )

    def _note_pause(self) -> None:
        """Count a pause that the caller notices against the upstream.

        Its link may be squeezed: it begins streams in time, and they stand
        still later on. Only failures and first events told of an upstream
        before, and such a one got its full share of the requests.
        """
        now = clock_s()
        self.events.note_passed(now)
        if now - self._event_at > self.patience.late_s:
            self.choice.outlook.on_paused()
        self._event_at = now

    def _note_whole(self, *, is_good: bool) -> None:
        now = clock_s()
        if is_good:
            self.choice.outlook.on_good(now - self.sent_at)
        else:
            self.choice.outlook.on_bad(now=now, avoid=False)
