"""Spends this entry's part of the retry budget that all entries share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from crowrudder_core.limits import SharedRetryBudget
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Bounds

LOG_INTERVAL_S = 1.0
"""Seconds between two log lines of denied retries of one service: overload
denies many at once."""


class RetrySpending:
    """Spends retries, and says in the log why one is denied."""

    def __init__(
        self, runtime: Runtime, bounds: Bounds, peers: PeersTask
    ) -> None:
        self._log = runtime.log
        self._peers = peers
        self._started_at = clock_s()
        self._logged_at: dict[str, float] = {}
        self._budget = SharedRetryBudget(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window_s=bounds.retry_window_s,
        )
        self._retries = runtime.metrics.counter(
            'fleet_retries',
            'Retries by what became of them in the shared budget.',
            labels=('outcome',),
        )

    def on_request(self, service: str) -> None:
        """Record a request for a service."""
        self._budget.on_first(service, now=clock_s())

    def spend(self, service: str) -> bool:
        """Return whether a retry was taken from the budget of all entries."""
        now = clock_s()
        entry_share = self._peers.roster.budget_share(now=now)
        if self._budget.take(service, entry_share=entry_share, now=now):
            self._retries.add(outcome='spent')
            return True
        self._on_denied(service, entry_share, now)
        return False

    def give_back(self, service: str) -> None:
        """Return a retry to the budget that was spent and never sent."""
        self._budget.give_back(service)
        self._retries.add(outcome='returned')

    def is_left(self, service: str) -> bool:
        """Return whether the shared budget has a retry left."""
        now = clock_s()
        entry_share = self._peers.roster.budget_share(now=now)
        return self._budget.has(service, entry_share=entry_share, now=now)

    def _on_denied(self, service: str, entry_share: float, now: float) -> None:
        self._retries.add(outcome='denied')
        if now - self._logged_at.get(service, -math.inf) < LOG_INTERVAL_S:
            return
        self._logged_at[service] = now
        state = self._budget.state(service, entry_share=entry_share, now=now)
        self._log.info(
            'retry denied',
            extra={
                'step': 'budget',
                'service': service,
                'requests': state.requests,
                'arrivals': state.arrivals,
                'allowed': round(state.allowed, 2),
                'entry_share': round(entry_share, 4),
                'known_entries': len(self._peers.roster.known(now=now)),
                'process_age_s': round(now - self._started_at, 3),
            },
        )
