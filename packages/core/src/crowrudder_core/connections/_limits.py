"""How long the parts of a caller's connection may take."""

from __future__ import annotations

import math

from attrs import evolve, frozen


@frozen(kw_only=True)
class ConnectionLimits:
    """Limits of a caller's connection, in seconds.

    Attributes
    ----------
    idle_s
        How long a connection may wait for a request, as callers know it.
    notice_s
        How long callers may know of a raised limit before this process does.
        A connection is kept for this much longer than ``idle_s``.
    head_s
        How long the head of a request may take from its first byte.
    body_s
        How long its body may take.
    version
        Version of the configuration that set them; 0 before the first one.
    """

    idle_s: float = math.inf
    notice_s: float = 0
    head_s: float = math.inf
    body_s: float = math.inf
    version: int = 0

    @property
    def kept_s(self) -> float:
        """How long an idle connection is kept."""
        return self.idle_s + self.notice_s

    @property
    def check_interval_s(self) -> float:
        """Longest time between two checks of a connection.

        With it, a timer that was set for another state is never late by more
        than the limit of the present one.
        """
        return min(self.kept_s, self.head_s, self.body_s)

    def extended_by(self, newer: ConnectionLimits) -> ConnectionLimits:
        """Return newer limits, but none lower than it is here."""
        return evolve(
            newer,
            idle_s=max(newer.idle_s, self.idle_s),
            notice_s=max(newer.notice_s, self.notice_s),
            head_s=max(newer.head_s, self.head_s),
            body_s=max(newer.body_s, self.body_s),
        )

    def has_same_times(self, other: ConnectionLimits) -> bool:
        """Return whether both set the same times, in whatever version."""
        return evolve(other, version=self.version) == self
