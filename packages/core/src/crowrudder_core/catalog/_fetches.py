"""The aggregate that decides from which peers newer records are fetched."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.catalog._answer_timeout import AnswerTimeout

if TYPE_CHECKING:
    from crowrudder_model import StorePosition

MAX_FETCHES = 2
"""Fetches at the same time. More would only load the own link."""

MAX_PEERS_AHEAD = 8
"""Peers remembered as ahead; any of them has what this process lacks."""

HEDGE_SHARE = 0.5
"""Share of its timeout after which a fetch counts as slow, and another peer is
asked as well. The timeout is at least twice the duration of the last fetch, so
that a slow link doesn't carry each change twice."""


@define
class FetchPolicy:
    """Fetch from one peer, and from a second one if the first is slow.

    With one fetch at a time, a peer that doesn't answer delays a change by the
    whole timeout, although other peers have reported that they have it.

    Times are seconds of one clock.
    """

    timeout: AnswerTimeout = field(factory=AnswerTimeout)
    _ahead: dict[str, StorePosition] = field(factory=dict)
    _began_at: dict[str, float] = field(factory=dict)

    @property
    def hedge_s(self) -> float:
        """Time after which a fetch counts as slow."""
        return HEDGE_SHARE * self.timeout.seconds

    def on_ahead(self, address: str, position: StorePosition) -> None:
        """Record a peer's report of a newer position."""
        self._ahead.pop(address, None)
        self._ahead[address] = position
        while len(self._ahead) > MAX_PEERS_AHEAD:
            del self._ahead[next(iter(self._ahead))]

    def next_peer(self, known: StorePosition, *, now: float) -> str | None:
        """Return the peer from which to fetch now; None for none.

        Parameters
        ----------
        known
            The own position.
        """
        self._ahead = {
            address: position
            for address, position in self._ahead.items()
            if position > known
        }
        free = self._ahead.keys() - self._began_at.keys()
        if not free or not self._may_begin(now):
            return None
        return max(free, key=lambda address: (self._ahead[address], address))

    def on_begun(self, address: str, *, now: float) -> None:
        """Record the start of a fetch."""
        self._began_at[address] = now

    def on_answer(self, address: str, *, now: float) -> None:
        """Record the end of a fetch."""
        self.timeout.on_answer(now - self._began_at.pop(address))

    def on_failure(self, address: str, *, now: float) -> None:
        """Record a failed fetch; the peer is asked again when it reports."""
        self._ahead.pop(address, None)
        self.timeout.on_failure(now - self._began_at.pop(address))

    def _may_begin(self, now: float) -> bool:
        if not self._began_at:
            return True
        latest = max(self._began_at.values())
        return (
            len(self._began_at) < MAX_FETCHES and now - latest >= self.hedge_s
        )
