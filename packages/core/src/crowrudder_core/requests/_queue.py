"""Bounded, weighted fair queue of attempts that wait for an upstream slot."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from crowrudder_model.messages import AttemptKey

USAGE_DECAY_S = 5.0
"""Time constant of the exponential decay of past usage."""

NEGLIGIBLE_USAGE = 0.01
"""Usage records below this amount are dropped."""

MIN_WEIGHT = 0.01
"""Weight of a customer without a share if the other shares sum to 1."""


@frozen(kw_only=True)
class Waiting:
    """An attempt in the queue.

    ``share`` is the fraction of the slots reserved for the customer,
    ``tokens`` the maximum length of the answer (0 if it has none), and
    ``deadline`` a monotonic time of this process.
    """

    key: AttemptKey
    customer: str
    priority: int
    share: float
    deadline: float
    tokens: int = 0
    order: int = 0

    @property
    def cost(self) -> int:
        """Work that is added to the customer's usage."""
        return max(self.tokens, 1)


@define
class _Usage:
    """Work done for one customer, with exponential decay."""

    amount: float = 0
    updated_at: float = 0

    def read(self, now: float) -> float:
        elapsed_s = max(now - self.updated_at, 0)
        return self.amount * math.exp(-elapsed_s / USAGE_DECAY_S)

    def add(self, cost: float, now: float) -> None:
        self.amount = self.read(now) + cost
        self.updated_at = now


@define
class AdmissionQueue:
    """Fair queue of attempts; customers below their share are served first.

    Among the customers below their declared share, and then among the others,
    the order is by priority, then by usage relative to the customer's weight,
    then by arrival. A full queue drops the latest attempt of the customer that
    exceeds its queue places most, so that one customer can't starve the others.

    Parameters
    ----------
    length
        Maximum number of waiting attempts.
    """

    length: int
    waiting: dict[AttemptKey, Waiting] = field(factory=dict, init=False)
    _arrivals: int = field(default=0, init=False)
    _usage_by_customer: dict[str, _Usage] = field(factory=dict, init=False)

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self.waiting)

    def push(self, item: Waiting) -> AttemptKey | None:
        """Add an attempt; return the dropped one if the queue is full.

        The dropped attempt may be the added one.
        """
        self._arrivals += 1
        self.waiting[item.key] = evolve(item, order=self._arrivals)
        if len(self.waiting) <= self.length:
            return None
        dropped = self._most_over_share()
        self.waiting.pop(dropped)
        return dropped

    def pop(self, *, now: float) -> Waiting | None:
        """Remove and return the next attempt, or None."""
        if not self.waiting:
            return None
        chosen = min(self.waiting.values(), key=self._order(now))
        return self.waiting.pop(chosen.key)

    def record_start(self, item: Waiting, *, now: float) -> None:
        """Add the work of a started attempt to its customer's usage."""
        self._usage_by_customer.setdefault(item.customer, _Usage()).add(
            item.cost, now
        )

    def remove(self, key: AttemptKey) -> None:
        """Remove an attempt that no longer waits."""
        self.waiting.pop(key, None)

    def ahead_of(self, customer: str, share: float) -> float:
        """Estimate how many attempts start before a new one of a customer.

        A customer with a share waits at most for its own attempts, which start
        at its share of the rate, and at most for all waiting attempts.
        """
        waiting_count = len(self.waiting)
        if share <= 0:
            return waiting_count
        own_count = self._count()[customer]
        return min(waiting_count, own_count / share)

    def forget(self, *, now: float) -> None:
        """Drop customers whose usage has become negligible."""
        self._usage_by_customer = {
            customer: usage
            for customer, usage in self._usage_by_customer.items()
            if usage.read(now) > NEGLIGIBLE_USAGE
        }

    def _order(
        self,
        now: float,
    ) -> Callable[[Waiting], tuple[bool, int, float, int]]:
        """Return the sort key of waiting attempts; the smallest is next."""
        usage_amounts = {
            name: usage.read(now)
            for name, usage in self._usage_by_customer.items()
        }
        total = sum(usage_amounts.values())
        weights = self._weights()

        def order(item: Waiting) -> tuple[bool, int, float, int]:
            own_usage = usage_amounts.get(item.customer, 0)
            above = own_usage >= item.share * (total + item.cost)
            return (
                above,
                item.priority,
                own_usage / weights[item.customer],
                item.order,
            )

        return order

    def _most_over_share(self) -> AttemptKey:
        """Return the latest attempt of the customer most above its places.

        Each customer has queue places by its weight, at least one, so that the
        only attempt of a small customer isn't dropped in favour of the many of
        a large one.
        """
        weights = self._weights()
        above = {
            customer: count - max(weights[customer] * self.length, 1)
            for customer, count in self._count().items()
        }
        return max(
            self.waiting.values(),
            key=lambda item: (
                above[item.customer],
                item.priority,
                item.order,
            ),
        ).key

    def _weights(self) -> dict[str, float]:
        """Return the weight of each waiting customer.

        Customers without a share divide what the shares leave equally.
        """
        shares = {item.customer: item.share for item in self.waiting.values()}
        count_without_share = sum(1 for share in shares.values() if share <= 0)
        remaining_share = max(1 - sum(shares.values()), 0) / max(
            count_without_share, 1
        )
        return {
            customer: max(share or remaining_share, MIN_WEIGHT)
            for customer, share in shares.items()
        }

    def _count(self) -> Counter[str]:
        return Counter(item.customer for item in self.waiting.values())
