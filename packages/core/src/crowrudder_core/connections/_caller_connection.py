"""The state of one caller's connection."""

from __future__ import annotations

import math

from attrs import define, field

from crowrudder_core.connections._closes import Close, CloseRule
from crowrudder_core.connections._limits import ConnectionLimits
from crowrudder_core.connections._states import ConnectionState

RECHECK_S = 0.01
"""Time in which the loop passes on what it has read, and reads what stands in
the socket."""

MAX_EXTENSION_S = 1.0
"""How long the limit of a read is extended for bytes that stand unread."""

LATE_S = 0.1
"""Lateness of a check from which the process stood still, so that bytes may have
arrived in time; they extend the limit whatever the extension is by now."""

_TIME_RULES = {
    ConnectionState.WAITING: CloseRule.IDLE,
    ConnectionState.READING_HEAD: CloseRule.SLOW_HEAD,
    ConnectionState.READING_BODY: CloseRule.SLOW_BODY,
}


@define(eq=False)
class CallerConnection:
    """What a caller's connection is doing, since when, and until when.

    A time limit ends only what still waits for bytes while none stand unread: a
    late process finds the bytes and the due limit in the same turn, and the
    bytes came first as far as anyone can tell. Times are in seconds on one
    clock, passed as ``now``.

    Parameters
    ----------
    limits
        Limits in force as the connection was accepted.
    since
        When it was accepted.

    Example
    -------
    >>> conn = CallerConnection(ConnectionLimits(idle_s=5, head_s=2), 0.0)
    >>> conn.due_at
    5.0
    >>> conn.on_bytes(40, now=1.0)
    >>> conn.state, conn.due_at
    (<ConnectionState.READING_HEAD: 'reading a head'>, 3.0)
    """

    limits: ConnectionLimits
    since: float
    state: ConnectionState = field(default=ConnectionState.WAITING, init=False)
    read_bytes: int = field(default=0, init=False)
    requests: int = field(default=0, init=False)
    _extended_to: float = field(default=-math.inf, init=False)

    @property
    def due_at(self) -> float:
        """When its present state has lasted too long; infinite if it may last."""
        return max(self.since + self._limit_s(), self._extended_to)

    def on_wait(
        self, limits: ConnectionLimits, *, now: float, read_ahead: int = 0
    ) -> None:
        """Record that the head of the next request is awaited.

        Parameters
        ----------
        read_ahead
            Bytes of it that were read together with the request before.
        """
        self.limits = limits
        self.read_bytes = read_ahead
        is_begun = read_ahead > 0
        self._enter(
            ConnectionState.READING_HEAD
            if is_begun
            else ConnectionState.WAITING,
            now,
        )

    def on_limits(self, limits: ConnectionLimits) -> None:
        """Apply changed limits; nothing that is awaited gets less time.

        The caller may have chosen this connection by the limit that held then.
        """
        self.limits = self.limits.extended_by(limits)

    def on_bytes(self, count: int, *, now: float) -> None:
        """Record bytes that were read."""
        self.read_bytes += count
        if self.state is ConnectionState.WAITING:
            self._enter(ConnectionState.READING_HEAD, now)

    def on_head(self, *, now: float) -> None:
        """Record that the head of a request was read."""
        self._enter(ConnectionState.READING_BODY, now)

    def on_request(self, *, now: float) -> None:
        """Record that a request was read completely."""
        self.requests += 1
        self._enter(ConnectionState.IN_PROGRESS, now)

    def on_answer(self, *, now: float) -> None:
        """Record that an answer began before the request was read."""
        self._enter(ConnectionState.IN_PROGRESS, now)

    def on_check(
        self,
        *,
        now: float,
        late_s: float,
        unread_bytes: int,
        is_reading: bool = True,
    ) -> CloseRule | None:
        """Return the rule that ends the connection now; None if none does.

        Parameters
        ----------
        late_s
            How late this check is.
        unread_bytes
            Bytes that stand in the socket.
        is_reading
            Whether the reader waits for bytes; if not, what it has got is
            still being passed on.
        """
        if now < self.due_at:
            return None
        may_extend = unread_bytes > 0 and self._may_extend(now, late_s)
        if may_extend or not is_reading:
            self._extended_to = now + RECHECK_S
            return None
        return _TIME_RULES[self.state]

    def close(self, rule: CloseRule, *, now: float) -> Close:
        """Return the close of the connection by a rule."""
        return Close(
            rule=rule,
            state=self.state,
            for_s=now - self.since,
            limit_s=self._published_limit_s(),
            version=self.limits.version,
            read_bytes=self.read_bytes,
            requests=self.requests,
        )

    def _may_extend(self, now: float, late_s: float) -> bool:
        if self.state is ConnectionState.WAITING or late_s >= LATE_S:
            return True
        return now < self.since + self._limit_s() + MAX_EXTENSION_S

    def _enter(self, state: ConnectionState, now: float) -> None:
        self.state = state
        self.since = now
        self._extended_to = -math.inf

    def _limit_s(self) -> float:
        if self.state is ConnectionState.WAITING:
            return self.limits.kept_s
        return self._published_limit_s()

    def _published_limit_s(self) -> float:
        match self.state:
            case ConnectionState.WAITING:
                return self.limits.idle_s
            case ConnectionState.READING_HEAD:
                return self.limits.head_s
            case ConnectionState.READING_BODY:
                return self.limits.body_s
            case ConnectionState.IN_PROGRESS:
                return math.inf
