"""Observe how long sent requests remain unacknowledged by the peer's host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from attrs import define

from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.transit import TransitDelay

POLL_INTERVAL_S = 0.05
"""Interval of checks while a request is unacknowledged. A check costs one system
call for each of them, and most are acknowledged before the first one."""


class SendQueue(Protocol):
    """A connection whose unacknowledged bytes can be counted."""

    @property
    def unsent_bytes(self) -> int:
        """Return the number of unacknowledged bytes; -1 if unknown."""


@define(kw_only=True, eq=False)
class Delivery:
    """A sent request, until the peer's host has acknowledged its bytes.

    Attributes
    ----------
    unacknowledged_s
        Time from the send to the last check that found bytes unacknowledged;
        0 if none did.
    unacknowledged_bytes
        Bytes found by the last check; 0 once all are acknowledged.
    """

    sent_at: float
    unacknowledged_s: float = 0
    unacknowledged_bytes: int = 0
    is_over: bool = False
    """Whether no byte of it can be on its way any more."""

    _queue: SendQueue
    _transit: TransitDelay

    def check(self, now: float) -> bool:
        """Record what is unacknowledged; return whether to check again."""
        size = self._queue.unsent_bytes
        self.is_over = size <= 0
        if size < 0:
            return False
        self.unacknowledged_bytes = size
        if size:
            self.unacknowledged_s = now - self.sent_at
            self._transit.on_unacknowledged(sent_at=self.sent_at, now=now)
        elif not self.unacknowledged_s:
            self._transit.on_acknowledged(sent_at=self.sent_at)
        return bool(size)


class DeliveryWatch:
    """Checks the requests that are in transit to upstreams."""

    def __init__(self) -> None:
        self._in_transit: set[Delivery] = set()
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self, queue: SendQueue, transit: TransitDelay, *, sent_at: float
    ) -> Delivery:
        """Watch a request that was just sent, and tell the host's estimate."""
        delivery = Delivery(queue=queue, transit=transit, sent_at=sent_at)
        self._in_transit.add(delivery)
        if self._timer is None:
            self._schedule()
        return delivery

    def finish(self, delivery: Delivery) -> None:
        """Check a request a last time, before its connection is closed."""
        if delivery in self._in_transit:
            self._in_transit.discard(delivery)
            delivery.check(clock_s())
            delivery.is_over = True

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            POLL_INTERVAL_S, self._poll
        )

    def _poll(self) -> None:
        now = clock_s()
        self._timer = None
        try:
            self._in_transit = {
                each for each in self._in_transit if each.check(now)
            }
        finally:
            # An error must not end the checks.
            if self._in_transit:
                self._schedule()
