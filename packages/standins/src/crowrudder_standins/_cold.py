"""A replica's warm-up, during which it survives only few requests a second."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field

COLD_EXCESS = 1.5
COLD_EXTRA = 5
"""A cold replica ends if it gets more requests in a second than the rate of its
service times `COLD_EXCESS` plus `COLD_EXTRA`, as the platform states."""

WINDOW_S = 1.0


@define(eq=False)
class WarmUp:
    """How long a replica is cold, and the requests that it gets meanwhile.

    Requests count after ``notice_s``, within which senders may not know that
    the replica is cold. `on_overrun` is called if there are too many.
    """

    per_s: float = 0
    lasts_s: float = 0
    notice_s: float = 0
    on_overrun: Callable[[], object] = bool
    began_at: float = field(factory=time.monotonic)
    overrun_at: float = 0
    most: int = 0
    _times: list[float] = field(factory=list)

    @property
    def left_ms(self) -> int:
        """Time until the replica is warm."""
        left_s = self.began_at + self.lasts_s - time.monotonic()
        return max(round(1000 * left_s), 0)

    def take(self) -> bool:
        """Count a request; return whether the replica survives it."""
        now = time.monotonic()
        if not self.left_ms or now < self.began_at + self.notice_s:
            return True
        self._times = [at for at in self._times if at > now - WINDOW_S] + [now]
        self.most = max(self.most, len(self._times))
        if len(self._times) <= self.per_s * COLD_EXCESS + COLD_EXTRA:
            return True
        if not self.overrun_at:
            self.overrun_at = now
            self.on_overrun()
        return False
