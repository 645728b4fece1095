"""Progress, rate and estimated remaining time of a transfer."""

from __future__ import annotations

from collections import deque

from attrs import define, field

RATE_WINDOW_S = 10.0


@define
class Progress:
    """Verified bytes, in total and over the last seconds."""

    total: int
    held: int = 0
    _received: deque[tuple[float, int]] = field(factory=deque, init=False)

    def on_bytes(self, size: int, now: float) -> None:
        """Record verified bytes."""
        self.held += size
        self._received.append((now, size))
        self._discard_old(now)

    def rate(self, now: float) -> float:
        """Return the bytes per second over the last seconds."""
        self._discard_old(now)
        if not self._received:
            return 0
        span = max(now - self._received[0][0], 1.0)
        return sum(size for _, size in self._received) / span

    def left_s(self, now: float) -> float | None:
        """Estimate the seconds to completion; None while no bytes arrive."""
        left = self.total - self.held
        rate = self.rate(now)
        if left <= 0:
            return 0
        return left / rate if rate else None

    def _discard_old(self, now: float) -> None:
        while self._received and self._received[0][0] < now - RATE_WINDOW_S:
            self._received.popleft()
