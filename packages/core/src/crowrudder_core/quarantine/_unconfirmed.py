"""Runs whose connection was closed, until it is known whether a life ended."""

from __future__ import annotations

from attrs import define, field, frozen

from crowrudder_core.quarantine._suspect import RAN_ON_S, End

SOUND_AFTER_S = 0.5
"""A word so long after a close that the upstream is there clears its runs.

An agent tells that its engine is gone after two reads without an answer."""

UNCONFIRMED_S = 6.0
"""How long a close is remembered of which nobody says what it was; the record
of an upstream that ended lapses within that."""


@frozen
class _Broken:
    digest: int
    end: End


@define
class UnconfirmedEnds:
    """Runs that broke off, by the upstream's life.

    A reset, a truncated answer and a crash look alike to an entry. Only an
    end of the upstream itself speaks against what it ran.
    """

    _broken: dict[str, list[_Broken]] = field(factory=dict)

    def on_broken(
        self, digest: int, life: str, *, ran_s: float, now: float
    ) -> None:
        """Take a run whose connection the upstream closed."""
        self._forget(now)
        end = End(now, is_fresh=ran_s <= RAN_ON_S)
        self._broken.setdefault(life, []).append(_Broken(digest, end))

    def on_ended(self, life: str, *, now: float) -> list[tuple[int, End]]:
        """Take that a life ended; give the requests that it had."""
        self._forget(now)
        broken = self._broken.pop(life, [])
        return [(each.digest, each.end) for each in broken]

    def on_sound(self, life: str, *, as_of: float) -> None:
        """Take that an upstream is there and lives on."""
        broken = self._broken.get(life)
        if not broken:
            return
        latest = max(each.end.at for each in broken)
        if as_of - latest > SOUND_AFTER_S:
            self._broken.pop(life)

    def lives_under(self, digest: int, *, now: float) -> set[str]:
        """Give the lives that may have ended under a request."""
        if not self._broken:
            return set()
        self._forget(now)
        return {
            life
            for life, broken in self._broken.items()
            if any(each.digest == digest for each in broken)
        }

    def _forget(self, now: float) -> None:
        kept = {
            life: [each for each in broken if now - each.end.at < UNCONFIRMED_S]
            for life, broken in self._broken.items()
        }
        self._broken = {life: broken for life, broken in kept.items() if broken}
