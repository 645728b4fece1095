"""Whether an entry takes a request in; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from crowrudder_core.limits import ConcurrencyShares, TokenBucket
from crowrudder_core.requests import REMEMBER_S
from crowrudder_daemon.entry._parts import Ended, refused

if TYPE_CHECKING:
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.knowledge import Snapshot
    from crowrudder_model.declared import Customer

RETRY_S = 1.0


@define
class Admission:
    """Limits of the customers, and the ids that this entry has seen."""

    most: int
    _buckets: dict[Customer, TokenBucket] = field(factory=dict, init=False)
    _room: ConcurrencyShares = field(init=False)
    _seen: dict[str, float] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._room = ConcurrencyShares(self.most)

    def enter(
        self,
        req: CallerRequest,
        snapshot: Snapshot,
        *,
        now: float,
    ) -> CallerRequest | Ended:
        """Take a request in, with the priority it may have, or refuse it."""
        head = req.head
        bundle = snapshot.bundle
        # Without a service it was read before the first bundle came.
        if bundle is None or not req.service:
            return refused('no_configuration', 503, RETRY_S)
        customer = bundle.declaration.customer(head.customer)
        if customer is None:
            return refused('unknown_customer', 404)
        if not customer.may_use(req.service):
            return refused('not_allowed', 403)
        if not head.idempotent and head.request_id in self._seen:
            return refused('already_used', 409)
        over = self._over_limit(customer, now)
        if over is not None:
            return over
        if not self._room.enter(customer.name, share=customer.share):
            return refused('overloaded', 503, RETRY_S)
        if not head.idempotent:
            # A run may last until the deadline; the window comes after it.
            self._seen[head.request_id] = now + head.budget_s + REMEMBER_S
        priority = max(head.priority, customer.priority_floor)
        return evolve(req, head=evolve(head, priority=priority))

    def leave(self, customer: str) -> None:
        """Give the room of a request back."""
        self._room.leave(customer)

    def free(self, request_id: str) -> None:
        """Let an id that never ran be used again.

        A caller who is told "not run, try again" sends the same id again; it
        would be refused for good as already used.
        """
        self._seen.pop(request_id, None)

    def forget(self, *, now: float) -> None:
        """Drop ids whose window is over."""
        self._seen = {
            request_id: until
            for request_id, until in self._seen.items()
            if until > now
        }

    def _over_limit(self, customer: Customer, now: float) -> Ended | None:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = TokenBucket(
                rate=customer.rate_per_s,
                burst=float(customer.burst),
                at=now,
            )
            self._buckets[customer] = bucket
        if bucket.take(1, now=now):
            return None
        return refused('over_limit', 429, bucket.wait_s(1, now=now))
