"""The state of one caller's connection."""

from __future__ import annotations

import math

from attrs import define, field

from crowrudder_core.connections._closes import Close, CloseRule
from crowrudder_core.connections._limits import ConnectionLimits
from crowrudder_core.connections._states import ConnectionState


@define(eq=False)
class CallerConnection:
    """What a caller's connection is doing, and since when.

    Times are in seconds on one clock, passed as ``now``.

    Example
    -------
    >>> conn = CallerConnection(ConnectionLimits(idle_s=5, version=3), 0.0)
    >>> conn.on_bytes(40, now=1.0)
    >>> conn.state
    <ConnectionState.READING_HEAD: 'reading a head'>
    """

    _limits: ConnectionLimits
    since: float
    state: ConnectionState = field(default=ConnectionState.WAITING, init=False)
    read_bytes: int = field(default=0, init=False)
    requests: int = field(default=0, init=False)

    def on_wait(self, limits: ConnectionLimits, *, now: float) -> None:
        """Record that the head of the next request is awaited."""
        self._limits = limits
        self.read_bytes = 0
        self._enter(ConnectionState.WAITING, now)

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

    def close(self, rule: CloseRule, *, now: float) -> Close:
        """Return the close of the connection by a rule."""
        return Close(
            rule=rule,
            state=self.state,
            for_s=now - self.since,
            limit_s=self._limit_s(),
            version=self._limits.version,
            read_bytes=self.read_bytes,
            requests=self.requests,
        )

    def _enter(self, state: ConnectionState, now: float) -> None:
        self.state = state
        self.since = now

    def _limit_s(self) -> float:
        match self.state:
            case ConnectionState.WAITING:
                return self._limits.idle_s
            case ConnectionState.READING_HEAD:
                return self._limits.head_s
            case ConnectionState.READING_BODY:
                return self._limits.body_s
            case ConnectionState.IN_PROGRESS:
                return math.inf
