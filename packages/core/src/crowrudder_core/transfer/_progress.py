"""How far a transfer is, how fast it goes and when it may end."""

from __future__ import annotations

from collections import deque

from attrs import define, field

SPAN_S = 10.0


@define
class Progress:
    """Bytes that came, over the last seconds."""

    total: int
    held: int = 0
    _came: deque[tuple[float, int]] = field(factory=deque, init=False)

    def on_bytes(self, size: int, now: float) -> None:
        """Note bytes that were verified."""
        self.held += size
        self._came.append((now, size))
        self._forget(now)

    def rate(self, now: float) -> float:
        """Give bytes a second over the last seconds."""
        self._forget(now)
        if not self._came:
            return 0
        span = max(now - self._came[0][0], 1.0)
        return sum(size for _, size in self._came) / span

    def left_s(self, now: float) -> float | None:
        """Estimate the seconds to the last byte; None while nothing comes."""
        left = self.total - self.held
        rate = self.rate(now)
        if left <= 0:
            return 0
        return left / rate if rate else None

    def _forget(self, now: float) -> None:
        while self._came and self._came[0][0] < now - SPAN_S:
            self._came.popleft()
