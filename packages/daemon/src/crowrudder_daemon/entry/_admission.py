"""Admission control of an entry; performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from crowrudder_core.limits import ConcurrencyShares, TokenBucket
from crowrudder_core.requests import CLAIM_RETENTION_S
from crowrudder_daemon.entry._final_outcome import FinalOutcome, refused

if TYPE_CHECKING:
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.knowledge import Snapshot
    from crowrudder_model.declared import Customer

RETRY_AFTER_S = 1.0


@define
class Admission:
    """Customers' limits and the request ids that this entry has seen."""

    max_concurrent: int
    _buckets: dict[Customer, TokenBucket] = field(factory=dict, init=False)
    _shares: ConcurrencyShares = field(init=False)
    _seen: dict[str, float] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._shares = ConcurrencyShares(self.max_concurrent)

    def enter(
        self,
        req: CallerRequest,
        snapshot: Snapshot,
        *,
        now: float,
    ) -> CallerRequest | FinalOutcome:
        """Admit a request with its permitted priority, or refuse it."""
        head = req.head
        bundle = snapshot.bundle
        # A request without a service was parsed before the first bundle.
        if bundle is None or not req.service:
            return refused('no_configuration', 503, RETRY_AFTER_S)
        customer = bundle.declaration.customer(head.customer)
        if customer is None:
            return refused('unknown_customer', 404)
        if not customer.may_use(req.service):
            return refused('not_allowed', 403)
        if not head.idempotent and head.request_id in self._seen:
            return refused('already_used', 409)
        refusal = self._over_limit(customer, now)
        if refusal is not None:
            return refusal
        if not self._shares.enter(customer.name, share=customer.share):
            return refused('overloaded', 503, RETRY_AFTER_S)
        if not head.idempotent:
            # The retention window starts after the deadline, the latest end.
            self._seen[head.request_id] = (
                now + head.budget_s + CLAIM_RETENTION_S
            )
        priority = max(head.priority, customer.priority_floor)
        return evolve(req, head=evolve(head, priority=priority))

    def leave(self, customer: str) -> None:
        """Release the slot of a request."""
        self._shares.leave(customer)

    def release_id(self, request_id: str) -> None:
        """Allow an id that never ran to be used again.

        A caller that is told to retry sends the same id again. If the id were
        kept, every retry would be refused as already used.
        """
        self._seen.pop(request_id, None)

    def remove_expired(self, *, now: float) -> None:
        """Remove ids whose retention window has passed."""
        self._seen = {
            request_id: until
            for request_id, until in self._seen.items()
            if until > now
        }

    def _over_limit(
        self, customer: Customer, now: float
    ) -> FinalOutcome | None:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = TokenBucket(
                rate=customer.rate_per_s,
                burst=float(customer.burst),
                refilled_at=now,
            )
            self._buckets[customer] = bucket
        if bucket.take(1, now=now):
            return None
        return refused('over_limit', 429, bucket.wait_s(1, now=now))
