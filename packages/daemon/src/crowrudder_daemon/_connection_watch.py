"""Records how the connections of callers end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from crowrudder_core.connections import (
    CallerConnection,
    CloseRule,
    ConnectionLimits,
    ConnectionState,
)
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.connections import Close
    from crowrudder_daemon._runtime import Runtime

_QUIET_RULES = frozenset((CloseRule.CALLER_LEFT, CloseRule.LAST_ANSWER))
"""Closes that are the usual end of a connection: they are only counted."""


class ConnectionWatch:
    """The limits of callers' connections, and a record of their closes.

    Attributes
    ----------
    limits
        Limits of requests that are awaited from now on.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._log = runtime.log
        self.limits = ConnectionLimits()
        self._closed = runtime.metrics.counter(
            'caller_connections_closed',
            "Closes of callers' connections, by the rule that ended them.",
            labels=('rule',),
        )

    def connection(self) -> CallerConnection:
        """Return the state of a connection that was just accepted."""
        return CallerConnection(self.limits, clock_s())

    def on_closed(self, close: Close, *, unread_bytes: int) -> None:
        """Record the close of a connection.

        Parameters
        ----------
        unread_bytes
            Bytes that stood in the socket; the close resets the connection if
            there are any.
        """
        self._closed.add(rule=close.rule.value)
        if close.rule in _QUIET_RULES:
            return
        late_s = 0.0
        if close.state is not ConnectionState.IN_PROGRESS:
            late_s = max(close.for_s - close.limit_s, 0)
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
                'unread_bytes': unread_bytes,
                'requests': close.requests,
            },
        )


def _finite(limit_s: float) -> float | None:
    return None if math.isinf(limit_s) else round(limit_s, 3)
