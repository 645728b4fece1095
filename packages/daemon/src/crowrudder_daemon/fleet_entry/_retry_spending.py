"""Spends this entry's part of the retry budget that all entries share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

from crowrudder_core.limits import SharedRetryBudget
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.limits import RetryPermit
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.fleet_entry._delivery import Delivery
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Bounds

LOG_INTERVAL_S = 1.0
"""Seconds between two log lines of denied retries of one service: overload
denies many at once."""


@define(eq=False)
class SpentRetry:
    """A retry that was spent, and its delivery once it is sent."""

    permit: RetryPermit
    delivery: Delivery | None = None

    @property
    def is_unsent(self) -> bool:
        """Whether it was never sent, and not returned either."""
        return self.delivery is None and self.permit.is_open

    @property
    def has_arrived(self) -> bool:
        """Whether no part of it can be on its way any more."""
        return self.delivery is not None and self.delivery.is_over


class RetrySpending:
    """Spends retries, and says in the log why one is denied."""

    def __init__(
        self, runtime: Runtime, bounds: Bounds, peers: PeersTask
    ) -> None:
        self._log = runtime.log
        self._peers = peers
        self._started_at = clock_s()
        self._logged_at: dict[str, float] = {}
        self._sent: set[SpentRetry] = set()
        self._budget = SharedRetryBudget(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window_s=bounds.retry_window_s,
            started_at=self._started_at,
        )
        self._retries = runtime.metrics.counter(
            'fleet_retries',
            'Retries by what became of them in the shared budget.',
            labels=('outcome',),
        )

    def on_request(self, service: str) -> None:
        """Record a request for a service."""
        self._budget.on_first(service, now=clock_s())

    def spend(self, service: str) -> SpentRetry | None:
        """Take a retry from the budget of all entries; None if it denies it."""
        now = clock_s()
        self._settle(now)
        entry_share = self._peers.roster.budget_share(now=now)
        permit = self._budget.take(service, entry_share=entry_share, now=now)
        if permit is None:
            self._on_denied(service, entry_share, now)
            return None
        self._retries.add(outcome='spent')
        return SpentRetry(permit)

    def on_sent(self, spent: SpentRetry, delivery: Delivery) -> None:
        """Record that a retry is sent; it may arrive until the delivery ends."""
        spent.delivery = delivery
        self._sent.add(spent)

    def give_back(self, spent: SpentRetry) -> None:
        """Return a retry to the budget if it was never sent."""
        if spent.is_unsent:
            self._budget.give_back(spent.permit, now=clock_s())
            self._retries.add(outcome='returned')

    def is_left(self, service: str) -> bool:
        """Return whether the shared budget has a retry left."""
        now = clock_s()
        self._settle(now)
        entry_share = self._peers.roster.budget_share(now=now)
        return self._budget.has(service, entry_share=entry_share, now=now)

    def _settle(self, now: float) -> None:
        """Record the retries that have arrived."""
        arrived = {spent for spent in self._sent if spent.has_arrived}
        self._sent -= arrived
        for spent in arrived:
            self._budget.on_arrived(spent.permit, now=now)

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
                'unarrived': state.unarrived,
                'allowed': round(state.allowed, 2),
                'earned': round(state.earned, 2),
                'entry_share': round(entry_share, 4),
                'sharers': self._peers.roster.budget_sharers(now=now),
                'process_age_s': round(now - self._started_at, 3),
            },
        )
