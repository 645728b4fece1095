"""The limits of callers' connections, and a record of their closes."""

from __future__ import annotations

import asyncio
import math
import resource
from typing import TYPE_CHECKING, Protocol

from crowrudder_core.connections import (
    CallerConnection,
    CloseRule,
    ConnectionLimits,
    ConnectionState,
    IdleConnections,
)
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.connections import Close
    from crowrudder_daemon._runtime import Runtime

IDLE_MEMORY_SHARE = 0.125
"""Share of the memory of this process that idle connections may take."""

IDLE_CONNECTION_BYTES = 12 * 1024
"""Memory of an idle connection, with what the HTTP server holds for it."""

IDLE_DESCRIPTOR_SHARE = 0.5
"""Share of this process's descriptors that idle connections may take; the rest
is for requests in progress, upstreams and peers."""

CLOSE_INTERVAL_S = 0.01
"""Interval of the attempts to close connections that still carry a request."""

MAX_IDLE_CONNECTIONS = 4096
"""The bound where neither memory nor descriptors are limited."""

_QUIET_RULES = frozenset((CloseRule.CALLER_LEFT, CloseRule.LAST_ANSWER))
"""Closes that are the usual end of a connection: they are only counted."""


class WatchedStream(Protocol):
    """The stream of a caller's connection, as far as the watch uses it."""

    connection: CallerConnection | None

    def close_by(self, rule: CloseRule) -> None:
        """Close the connection by a rule."""

    def unread_bytes(self) -> int:
        """Return how many bytes stand in the socket."""


class ConnectionWatch:
    """Knows the connections of callers, and records how they end.

    Parameters
    ----------
    memory_bytes
        Memory of this process, 0 if not known.

    Attributes
    ----------
    limits
        Limits of requests that are awaited from now on.
    is_leaving
        Whether each connection is to be closed after its next answer.
    """

    def __init__(self, runtime: Runtime, *, memory_bytes: int = 0) -> None:
        self._log = runtime.log
        self.limits = ConnectionLimits()
        self.is_leaving = False
        self._open: set[WatchedStream] = set()
        self._idle: IdleConnections[WatchedStream] = IdleConnections(
            max_idle_connections(memory_bytes)
        )
        self._closed = runtime.metrics.counter(
            'caller_connections_closed',
            "Closes of callers' connections, by the rule that ended them.",
            labels=('rule',),
        )
        runtime.metrics.gauge(
            'caller_connections_idle',
            "Callers' connections that wait for a request.",
            lambda: float(len(self._idle)),
        )

    def open(self, stream: WatchedStream) -> CallerConnection:
        """Return the state of a connection that was just accepted."""
        self._open.add(stream)
        return CallerConnection(self.limits, clock_s())

    def set_limits(self, limits: ConnectionLimits) -> None:
        """Apply the limits of a configuration, also to those who wait."""
        if limits.has_same_times(self.limits):
            return
        self.limits = limits
        for stream in self._open:
            if stream.connection is not None:
                stream.connection.on_limits(limits)

    def close_idle(self) -> int:
        """Close the connections that wait for a request, none with bytes unread.

        Returns
        -------
        int
            How many connections are still open.
        """
        for stream in list(self._open):
            connection = stream.connection
            if (
                connection is not None
                and connection.state is ConnectionState.WAITING
                and not stream.unread_bytes()
            ):
                stream.close_by(CloseRule.LEAVING)
        return len(self._open)

    async def close_all(self, *, within_s: float) -> None:
        """Close each connection once nothing of it is unanswered.

        The end of the process closes them without asking what has arrived.
        """
        until = clock_s() + within_s
        still_open = self.close_idle()
        while still_open and clock_s() < until:
            await asyncio.sleep(CLOSE_INTERVAL_S)
            still_open = self.close_idle()

    def on_idle(self, stream: WatchedStream) -> None:
        """Record that a connection waits; close the oldest if too many do."""
        self._idle.add(stream)
        oldest = self._idle.excess()
        if oldest is not None:
            # One with unread bytes is about to be read, and then isn't idle.
            self._idle.remove(oldest)
            if not oldest.unread_bytes():
                oldest.close_by(CloseRule.TOO_MANY_IDLE)

    def on_busy(self, stream: WatchedStream) -> None:
        """Record that a connection no longer waits."""
        self._idle.remove(stream)

    def on_closed(
        self,
        stream: WatchedStream,
        close: Close,
        *,
        late_s: float,
    ) -> None:
        """Record the close of a connection.

        Parameters
        ----------
        late_s
            How late the event loop came to the check that ended it; 0 if
            another rule did.
        """
        self._open.discard(stream)
        self._idle.remove(stream)
        self._closed.add(rule=close.rule.value)
        if close.rule in _QUIET_RULES:
            return
        self._log.info(
            'caller connection closed',
            extra={
                'step': 'close',
                'rule': close.rule.value,
                'state': close.state.value,
                'for_s': round(close.for_s, 3),
                'limit_s': _finite(close.limit_s),
                'since_version': close.version,
                'late_s': round(late_s, 3),
                'read_bytes': close.read_bytes,
                # The close resets the connection if there are any.
                'unread_bytes': stream.unread_bytes(),
                'requests': close.requests,
            },
        )


def max_idle_connections(memory_bytes: int) -> int:
    """Return how many connections may wait for a request.

    Parameters
    ----------
    memory_bytes
        Memory of this process, 0 if not known.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    bounds = [math.inf]
    if descriptors != resource.RLIM_INFINITY:
        bounds.append(IDLE_DESCRIPTOR_SHARE * descriptors)
    if memory_bytes:
        bounds.append(IDLE_MEMORY_SHARE * memory_bytes / IDLE_CONNECTION_BYTES)
    least = min(bounds)
    return MAX_IDLE_CONNECTIONS if math.isinf(least) else int(least)


def _finite(limit_s: float) -> float | None:
    return None if math.isinf(limit_s) else round(limit_s, 3)
