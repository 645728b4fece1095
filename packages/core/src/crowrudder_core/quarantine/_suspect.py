"""What is known of one request under which upstreams have ended."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from crowrudder_model.messages import LifeEnd, SuspectWord

CONVICTING = 3.0
"""Weight of ends from which on a request is sent to no upstream any more."""

SHARED = 2.0
"""Weight from which on all entries are told, and not only its owners."""

RAN_ON_S = 0.5
"""A run that gave events for so long before its upstream ended is the less
likely to be the cause."""

RAN_ON_WEIGHT = 0.5
"""Weight of the end of an upstream where the request had run on."""

WHOLE_COUNTS_S = 10.0
"""A run that ended whole speaks against ends up to so long after it."""

SUSPECT_S = 120.0
"""How long an end counts that convicts nobody."""

VERDICT_S = 600.0
"""How long a verdict holds after the last end or refusal, whichever is later."""

MOST_ENDS = 8
"""Ends that are kept of one request; six of the lightest convict it."""

MOST_LIFE_CHARS = 64
_MS = 1000


@frozen
class End:
    """When an upstream's life ended under a request, and how new its run was."""

    at: float
    is_fresh: bool

    @property
    def weight(self) -> float:
        """How much it speaks against the request, at most 1."""
        return 1 if self.is_fresh else RAN_ON_WEIGHT


@define
class Suspect:
    """Ends of upstreams under one request, and what speaks for it.

    Two such records of one request merge in any order into the same, so that
    words on it may be lost, late or repeated.
    """

    ends: dict[str, End] = field(factory=dict)
    whole_at: float = -math.inf
    refused_at: float = -math.inf

    @property
    def weight(self) -> float:
        """How much speaks against the request."""
        return sum(end.weight for end in self._counted())

    @property
    def is_convicted(self) -> bool:
        """Whether it is to be sent to no upstream any more."""
        return self.weight >= CONVICTING

    def is_over(self, now: float) -> bool:
        """Whether nothing that is known of it counts any more."""
        last = max((end.at for end in self._counted()), default=-math.inf)
        if self.is_convicted:
            return now - max(last, self.refused_at) > VERDICT_S
        return now - last > SUSPECT_S

    def on_end(self, life: str, end: End) -> bool:
        """Take an upstream's end; give whether it tells something new."""
        known = self.ends.get(life)
        if known is None:
            is_new = len(self.ends) < MOST_ENDS
        else:
            is_new = end.is_fresh and not known.is_fresh
        if is_new:
            self.ends[life] = end
        return is_new

    def on_whole(self, at: float) -> None:
        """Take that a run ended whole."""
        self.whole_at = max(self.whole_at, at)
        self.ends = {
            life: end
            for life, end in self.ends.items()
            if end.at > self.whole_at + WHOLE_COUNTS_S
        }

    def on_word(self, word: SuspectWord, *, now: float) -> bool:
        """Take another entry's word; give whether its weight changed."""
        before = self.weight
        if word.refused_ms >= 0:
            refused_at = now - word.refused_ms / _MS
            self.refused_at = max(self.refused_at, refused_at)
        for heard in word.ends[:MOST_ENDS]:
            if 0 <= heard.ended_ms <= VERDICT_S * _MS:
                end = End(now - heard.ended_ms / _MS, heard.is_fresh)
                self.on_end(heard.life[:MOST_LIFE_CHARS], end)
        if word.whole_ms >= 0:
            self.on_whole(now - word.whole_ms / _MS)
        return self.weight != before

    def word(self, digest: int, *, now: float) -> SuspectWord:
        """Give what other entries are told of it."""
        ends = tuple(
            LifeEnd(life, _age_ms(end.at, now), end.is_fresh)
            for life, end in self.ends.items()
        )
        return SuspectWord(
            digest=digest,
            ends=ends,
            whole_ms=_age_ms(self.whole_at, now),
            refused_ms=_age_ms(self.refused_at, now),
        )

    def _counted(self) -> list[End]:
        since = self.whole_at + WHOLE_COUNTS_S
        return [end for end in self.ends.values() if end.at > since]


def _age_ms(at: float, now: float) -> int:
    return int((now - at) * _MS) if math.isfinite(at) else -1
