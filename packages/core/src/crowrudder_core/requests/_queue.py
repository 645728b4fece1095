"""The bounded queue of attempts that wait for a slot of the upstream."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from crowrudder_model.messages import AttemptKey

USAGE_TAU_S = 5.0
"""Seconds over which past use of the slots counts."""

FADED = 0.01
"""Use below this is forgotten."""

LEAST_WEIGHT = 0.01
"""Weight of a customer without a share where the others' shares fill all."""


@frozen(kw_only=True)
class Waiting:
    """An attempt in the queue.

    ``share`` is the part of the slots that is kept for the customer,
    ``tokens`` the most that the answer may have (0 where it has none), and
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
        """The work, for the count of the customer's use."""
        return max(self.tokens, 1)


@define
class _Usage:
    """Work given to one customer, fading with time."""

    amount: float = 0
    at: float = 0

    def read(self, now: float) -> float:
        passed = max(now - self.at, 0)
        return self.amount * math.exp(-passed / USAGE_TAU_S)

    def add(self, cost: float, now: float) -> None:
        self.amount = self.read(now) + cost
        self.at = now


@define
class AdmissionQueue:
    """Attempts of many customers; who is below the share goes first.

    Among the customers below their declared share, and then among the others,
    the better priority goes first, then the customer that has used least for
    its weight, then the order of arrival. A full queue drops the latest
    attempt of the customer that is furthest above its places, so that one
    customer can't keep the others out.

    Parameters
    ----------
    length
        Most attempts that may wait.
    """

    length: int
    waiting: dict[AttemptKey, Waiting] = field(factory=dict, init=False)
    _counter: int = field(default=0, init=False)
    _used: dict[str, _Usage] = field(factory=dict, init=False)

    def __len__(self) -> int:
        """Give the number of waiting attempts."""
        return len(self.waiting)

    def push(self, item: Waiting) -> AttemptKey | None:
        """Put an attempt in; give the one that has no place, perhaps itself."""
        self._counter += 1
        self.waiting[item.key] = evolve(item, order=self._counter)
        if len(self.waiting) <= self.length:
            return None
        dropped = self._least_entitled()
        self.waiting.pop(dropped)
        return dropped

    def pop(self, *, now: float) -> Waiting | None:
        """Take the next attempt out."""
        if not self.waiting:
            return None
        chosen = min(self.waiting.values(), key=self._order(now))
        return self.waiting.pop(chosen.key)

    def note_start(self, item: Waiting, *, now: float) -> None:
        """Count the work of an attempt that got its slot."""
        self._used.setdefault(item.customer, _Usage()).add(item.cost, now)

    def remove(self, key: AttemptKey) -> None:
        """Take an attempt out that no longer waits."""
        self.waiting.pop(key, None)

    def ahead_of(self, customer: str, share: float) -> float:
        """Estimate how many attempts start before a new one of a customer.

        A customer with a share waits for its own attempts at its share of the
        speed, if that is sooner than its turn behind everybody.
        """
        everybody = len(self.waiting)
        if share <= 0:
            return everybody
        own = self._count()[customer]
        return min(everybody, own / share)

    def forget(self, *, now: float) -> None:
        """Drop customers whose use has faded."""
        self._used = {
            customer: usage
            for customer, usage in self._used.items()
            if usage.read(now) > FADED
        }

    def _order(
        self,
        now: float,
    ) -> Callable[[Waiting], tuple[bool, int, float, int]]:
        """Give the key by which the next attempt is found."""
        used = {name: usage.read(now) for name, usage in self._used.items()}
        total = sum(used.values())
        weights = self._weights()

        def order(item: Waiting) -> tuple[bool, int, float, int]:
            own = used.get(item.customer, 0)
            above = own >= item.share * (total + item.cost)
            return (
                above,
                item.priority,
                own / weights[item.customer],
                item.order,
            )

        return order

    def _least_entitled(self) -> AttemptKey:
        """Find the latest attempt of who is furthest above its places.

        Each customer has places by its weight, at least one: a small one that
        comes with a single attempt isn't dropped for a large one's many.
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
        """Give each waiting customer its share, or a part of what is left."""
        shares = {item.customer: item.share for item in self.waiting.values()}
        without = sum(1 for share in shares.values() if share <= 0)
        left = max(1 - sum(shares.values()), 0) / max(without, 1)
        return {
            customer: max(share or left, LEAST_WEIGHT)
            for customer, share in shares.items()
        }

    def _count(self) -> Counter[str]:
        return Counter(item.customer for item in self.waiting.values())
