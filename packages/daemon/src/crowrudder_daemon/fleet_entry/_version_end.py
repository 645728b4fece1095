"""Margins before a version's end for sending and cancelling requests."""

from __future__ import annotations

from typing import Protocol

CANCEL_MARGIN_S = 0.3
"""How long before a version's end a request that has not begun is cancelled.

A request begins with its first token. The entry notices that up to one event
of several tokens later, and an engine notices a cancellation between two
passes. With all slots in use a pass takes some 0.1 s by the engines' figures.
"""

START_WINDOW_FORECASTS = 3.0
"""Least time to begin, in multiples of the forecast, so that few requests have
to be cancelled."""

NOT_RETRYABLE_MARGIN_S = 1.6
"""How long before a version's end requests that can't be retried are sent.

Such a request fails when it is cancelled, so few should be. At a full engine
the first token took 1.05 s.
"""

MIN_START_WINDOW_S = 0.6
"""Least time to begin. A request that is sent later may still be in transit
when it is cancelled, and begin after the version's end. Over a saturated link
the way to the engine took 0.49 s, and a request began 52 ms after the end
although its connection had been closed for 0.35 s. More heavily loaded links
take up to 1.7 s, which the engine's agent has to handle."""


class PendingAttempt(Protocol):
    """An attempt that was sent and may not have begun."""

    def update_begin_by(self) -> None:
        """Update the deadline to begin after a change of versions."""
