"""The state of a caller's connection, without a network."""

from __future__ import annotations

import math

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from crowrudder_core.connections import (
    CallerConnection,
    CloseRule,
    ConnectionLimits,
    ConnectionState,
    IdleConnections,
)
from crowrudder_core.connections._caller_connection import (
    LATE_S,
    MAX_EXTENSION_S,
    RECHECK_S,
)

LIMITS = ConnectionLimits(idle_s=5, head_s=3, body_s=10, version=1)


def check(conn, now, *, late_s=0.0, unread_bytes=0, is_reading=True):
    return conn.on_check(
        now=now,
        late_s=late_s,
        unread_bytes=unread_bytes,
        is_reading=is_reading,
    )


class TestSilence:
    def test_it_ends_a_wait_at_its_limit(self):
        conn = CallerConnection(LIMITS, 0)
        assert check(conn, 4.9) is None
        assert check(conn, 5.0) is CloseRule.IDLE

    def test_a_slow_head_and_a_slow_body_have_limits_of_their_own(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_bytes(1, now=4.0)
        assert check(conn, 6.9) is None
        assert check(conn, 7.0, unread_bytes=1) is None
        conn.on_head(now=7.0)
        assert check(conn, 17.0) is CloseRule.SLOW_BODY

    def test_a_request_in_progress_may_last(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_request(now=1)
        assert check(conn, 1e9) is None

    def test_an_answer_that_began_early_is_not_followed_by_another(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_head(now=1)
        conn.on_answer(now=2)
        assert check(conn, 1e9) is None


class TestBytesAtADueCheck:
    """Guards against a close by a timer of silence of what has arrived."""

    def test_unread_bytes_are_read_first(self):
        conn = CallerConnection(LIMITS, 0)
        assert check(conn, 5.0, unread_bytes=1) is None
        conn.on_bytes(1, now=5.001)
        assert conn.due_at == 5.001 + LIMITS.head_s

    def test_bytes_that_end_a_head_are_passed_on_first(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_bytes(1, now=1)
        assert check(conn, 4.2, is_reading=False) is None
        assert check(conn, 4.2 + RECHECK_S) is CloseRule.SLOW_HEAD

    def test_bytes_that_go_on_arriving_extend_a_limit_for_a_while(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_bytes(1, now=1)
        end = 4.0 + MAX_EXTENSION_S
        assert check(conn, 4.0, unread_bytes=1) is None
        assert check(conn, end - 0.1, unread_bytes=1) is None
        assert check(conn, end, unread_bytes=1) is CloseRule.SLOW_HEAD

    def test_a_process_that_stands_still_again_looks_again(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_bytes(1, now=1)
        assert check(conn, 4.0, late_s=0.5, unread_bytes=1) is None
        assert check(conn, 6.0, late_s=0.9, unread_bytes=1) is None

    def test_a_body_that_is_still_passed_on_is_not_slow(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_head(now=0)
        conn.on_bytes(100, now=9.9)
        assert check(conn, 10, is_reading=False) is None
        assert check(conn, 12, is_reading=False) is None
        assert check(conn, 12 + RECHECK_S) is CloseRule.SLOW_BODY

    def test_a_head_read_ahead_counts_as_begun(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_wait(LIMITS, now=2, read_ahead=7)
        assert conn.state is ConnectionState.READING_HEAD
        assert conn.read_bytes == 7


class TestLimits:
    """Guards against a wait that ends by a limit that no longer holds."""

    def test_a_raised_limit_holds_at_once(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_limits(ConnectionLimits(idle_s=50, version=2))
        assert check(conn, 49.9) is None
        assert conn.close(CloseRule.IDLE, now=50).version == 2

    def test_a_lowered_limit_holds_from_the_next_wait(self):
        lowered = ConnectionLimits(idle_s=1)
        conn = CallerConnection(LIMITS, 0)
        conn.on_limits(lowered)
        assert check(conn, 4.9) is None
        conn.on_wait(lowered, now=5)
        assert check(conn, 6.0) is CloseRule.IDLE

    def test_a_connection_is_kept_for_the_time_of_notice(self):
        limits = ConnectionLimits(idle_s=5, notice_s=2)
        conn = CallerConnection(limits, 0)
        assert check(conn, 6.9) is None
        assert check(conn, 7.0) is CloseRule.IDLE
        assert conn.close(CloseRule.IDLE, now=7).limit_s == 5


class TestIdleConnections:
    def test_the_oldest_is_in_excess(self):
        idle: IdleConnections[str] = IdleConnections(max_count=2)
        for name in 'abc':
            idle.add(name)
        assert idle.excess() == 'a'
        idle.remove('a')
        assert idle.excess() is None


def some_limits(idle_s, head_s):
    return ConnectionLimits(idle_s=idle_s, head_s=head_s, body_s=30, notice_s=1)


def in_state(state, *, is_wanted=True):
    """Return a precondition on the state of the connection."""
    return precondition(
        lambda life: (life.conn.state is state) is is_wanted,
    )


seconds = st.floats(0.1, 60)


class ConnectionLife(RuleBasedStateMachine):
    """Any order of bytes, steps, changed limits and late checks."""

    @initialize(idle_s=seconds, head_s=seconds)
    def accept(self, idle_s, head_s):
        self.now = 0.0
        self.limits = some_limits(idle_s, head_s)
        self.conn = CallerConnection(self.limits, self.now)
        self._entered()

    def _entered(self):
        """Remember until when the new state may last."""
        self.promised_until = self.conn.due_at

    def _is(self, state):
        return self.conn.state is state

    @rule(waited_s=st.floats(0, 20))
    def wait(self, waited_s):
        self.now += waited_s

    @in_state(ConnectionState.IN_PROGRESS, is_wanted=False)
    @rule(count=st.integers(1, 100))
    def bytes_read(self, count):
        was_waiting = self._is(ConnectionState.WAITING)
        self.conn.on_bytes(count, now=self.now)
        if was_waiting:
            self._entered()

    @in_state(ConnectionState.READING_HEAD)
    @rule()
    def head_read(self):
        self.conn.on_head(now=self.now)
        self._entered()

    @in_state(ConnectionState.READING_BODY)
    @rule()
    def request_read(self):
        self.conn.on_request(now=self.now)
        self._entered()

    @in_state(ConnectionState.IN_PROGRESS)
    @rule(read_ahead=st.integers(0, 10))
    def answered(self, read_ahead):
        self.conn.on_wait(self.limits, now=self.now, read_ahead=read_ahead)
        self._entered()

    @rule(idle_s=seconds, head_s=seconds)
    def limits_changed(self, idle_s, head_s):
        self.limits = some_limits(idle_s, head_s)
        self.conn.on_limits(self.limits)
        self.promised_until = max(self.promised_until, self.conn.due_at)

    @rule(
        late_s=st.floats(0, 1),
        unread=st.integers(0, 3),
        is_reading=st.booleans(),
    )
    def check(self, late_s, unread, is_reading):
        found = check(
            self.conn,
            self.now,
            late_s=late_s,
            unread_bytes=unread,
            is_reading=is_reading,
        )
        if found is not None:
            over_s = self.now - self.promised_until
            assert not self._is(ConnectionState.IN_PROGRESS)
            assert is_reading
            assert over_s >= 0
            assert not unread or (
                found is not CloseRule.IDLE
                and over_s >= MAX_EXTENSION_S
                and late_s < LATE_S
            )
            self.accept(self.limits.idle_s, self.limits.head_s)
        elif self.now >= self.promised_until:
            assert unread or not is_reading or self.now < self.conn.due_at

    @invariant()
    def nothing_in_progress_is_due(self):
        if self._is(ConnectionState.IN_PROGRESS):
            assert math.isinf(self.conn.due_at)


TestConnectionLife = ConnectionLife.TestCase


class TestLimitsOfThoseWhoWait:
    """Guards against less time for what is awaited, by whichever limit."""

    def test_each_limit_is_kept(self):
        limits = ConnectionLimits(idle_s=5, notice_s=2, head_s=3, body_s=9)
        lowered = ConnectionLimits(idle_s=1, notice_s=1, head_s=1, body_s=1)
        assert limits.extended_by(lowered) == limits
        assert lowered.extended_by(limits) == limits

    def test_a_new_state_has_a_further_check_of_its_own(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_bytes(1, now=1)
        assert check(conn, 4.0, unread_bytes=1) is None
        conn.on_head(now=4.001)
        end = 14.1 + MAX_EXTENSION_S
        assert check(conn, 14.5, unread_bytes=1) is None
        assert check(conn, end, unread_bytes=1) is CloseRule.SLOW_BODY


class TestUnreadBytesOfAWait:
    """Guards against a close of an idle connection with bytes unread."""

    def test_they_are_read_first_at_each_check(self):
        conn = CallerConnection(LIMITS, 0)
        conn.on_bytes(1, now=1)
        conn.on_head(now=1)
        conn.on_request(now=1)
        conn.on_wait(LIMITS, now=2)
        # The bytes of the request before count as read since the last check.
        check(conn, 7.0)
        assert check(conn, 7.0 + RECHECK_S, unread_bytes=1) is None
