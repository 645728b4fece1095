"""How old staged chunks may be when an engine takes them."""

from __future__ import annotations

from attrs import frozen

MAX_TAKEN_AGE_S = 3.0
"""Age up to which a staged chunk may be taken. Staged chunks may become corrupted,
and an engine doesn't verify them."""

ACCEPTANCE_S = 1.0
"""Part of that age which is left to the engine, from the send of the order to its
acceptance."""


@frozen
class Staging:
    """The staging of a load's chunks.

    Parameters
    ----------
    began_at
        When the first chunk was sent, in seconds on a clock that counts the time
        in which the process is stopped or suspended.
    """

    began_at: float

    def age_s(self, now: float) -> float:
        """Return the age of the oldest chunk, in seconds."""
        return now - self.began_at

    def may_order(self, now: float) -> bool:
        """Return whether an order sent now leaves the engine enough time."""
        return self.age_s(now) <= MAX_TAKEN_AGE_S - ACCEPTANCE_S

    def proves(self, accepted_by: float) -> bool:
        """Return whether an order accepted by then took chunks young enough."""
        return self.age_s(accepted_by) <= MAX_TAKEN_AGE_S
