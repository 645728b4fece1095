"""The delay that round trips to several peers have in common."""

from __future__ import annotations

from attrs import define, field, frozen

ANSWER_TTL_S = 1.0
"""How long the time of an answered probe counts."""


@frozen
class _Answer:
    took_s: float
    received_at: float


@define
class RoundTrips:
    """Estimates the queueing delay of this host's link from probes.

    What delays the probes to a single peer isn't this host's link but the
    peer's, or one between regions. So the least delay of all peers counts.
    A probe without an answer has taken at least as long as it is under way.
    """

    _sent_at: dict[str, float] = field(factory=dict, init=False)
    _answers: dict[str, _Answer] = field(factory=dict, init=False)

    def on_sent(self, peer: str, *, now: float) -> None:
        """Record a probe."""
        self._sent_at[peer] = now

    def on_answered(self, peer: str, *, now: float) -> None:
        """Record the answer to a probe."""
        sent_at = self._sent_at.pop(peer, None)
        if sent_at is not None:
            self._answers[peer] = _Answer(now - sent_at, now)

    def on_failed(self, peer: str) -> None:
        """Record a probe that a lost peer will not answer."""
        self._sent_at.pop(peer, None)
        self._answers.pop(peer, None)

    def forget(self) -> None:
        """Forget all probes: this process may have been late, not the link."""
        self._sent_at.clear()
        self._answers.clear()

    def is_waiting(self, peer: str) -> bool:
        """Return whether a probe to a peer is under way."""
        return peer in self._sent_at

    def delay_s(self, now: float) -> float:
        """Return the delay in seconds; 0 while nothing is known."""
        self._answers = {
            peer: answer
            for peer, answer in self._answers.items()
            if now - answer.received_at <= ANSWER_TTL_S
        }
        delays_s = {peer: each.took_s for peer, each in self._answers.items()}
        for peer, sent_at in self._sent_at.items():
            delays_s[peer] = max(delays_s.get(peer, 0), now - sent_at)
        return min(delays_s.values(), default=0)
