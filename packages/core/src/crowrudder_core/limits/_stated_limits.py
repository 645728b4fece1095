"""The limits that upstreams name in their answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from attrs import define, field

from crowrudder_core.limits._shared_rate import SharedRate
from crowrudder_model.messages import LimitWord

if TYPE_CHECKING:
    from collections.abc import Iterable

NO_LIMIT = -1.0

RENEW_S = 2.0
"""A word that is newer by so much is passed on though it says the same: the
entries that get no answers themselves would else forget the limit."""

CHANGED = 0.1
"""Part by which a limit has to change before others are told at once."""

TOLD_EVERY_S = 0.3
"""Least time between two words on one upstream, which may name another limit
in each answer."""

MOST_LIMITS = 1024
"""Upstreams whose limits are remembered."""

MOST_ID_CHARS = 64
_MS = 1000


class PartOf(Protocol):
    """Gives an entry's part of the rate of an upstream, 0 to 1."""

    def __call__(self, upstream_id: str, per_s: float) -> float:
        """Work it out."""


@define
class _Said:
    rate: SharedRate
    told_at: float = -math.inf
    told_per_s: float = NO_LIMIT


@define
class NamedLimits:
    """What upstreams said of their limits, to this entry or to others.

    Parameters
    ----------
    part_of
        Gives this entry's part of an upstream's rate.
    """

    _part_of: PartOf
    _said: dict[str, _Said] = field(factory=dict)

    def on_answer(
        self, upstream_id: str, per_s: float | None, *, now: float
    ) -> LimitWord | None:
        """Take what an answer says; give what others are to be told."""
        if per_s is None and upstream_id not in self._said:
            return None
        word = LimitWord(upstream_id, NO_LIMIT if per_s is None else per_s, 0)
        return self.on_word(word, now=now)

    def on_word(self, word: LimitWord, *, now: float) -> LimitWord | None:
        """Take another entry's word; give it back if it is to be passed on."""
        if not math.isfinite(word.per_s) or word.age_ms < 0:
            return None
        upstream_id = word.upstream_id[:MOST_ID_CHARS]
        said = self._said.get(upstream_id)
        said_at = now - word.age_ms / _MS
        if said is not None and said_at <= said.rate.said_at:
            return None
        if said is None:
            if word.per_s < 0 or not self._has_place(now):
                return None
            said = _Said(SharedRate(per_s=word.per_s, said_at=said_at))
            self._said[upstream_id] = said
        said.rate.per_s, said.rate.said_at = word.per_s, said_at
        return word if self._is_news(said, now) else None

    def has_room(self, upstream_id: str, *, now: float) -> bool:
        """Whether a request may be sent to an upstream now."""
        rate = self._rate(upstream_id, now)
        return rate is None or rate.has_room(now=now)

    def take(self, upstream_id: str, *, now: float) -> bool:
        """Spend a request, if there is a limit and it allows one."""
        rate = self._rate(upstream_id, now)
        return rate is None or rate.take(now=now)

    def wait_s(self, upstream_ids: Iterable[str], *, now: float) -> float:
        """Give the seconds until one of some upstreams has room.

        Infinite where none of them has a limit that is in the way.
        """
        rates = [self._rate(upstream_id, now) for upstream_id in upstream_ids]
        waits = [rate.wait_s(now=now) for rate in rates if rate is not None]
        return min((wait for wait in waits if wait > 0), default=math.inf)

    def on_gone(self, upstream_id: str) -> None:
        """Forget an upstream whose life has ended."""
        self._said.pop(upstream_id, None)

    def _has_place(self, now: float) -> bool:
        """Whether one more limit can be remembered."""
        if len(self._said) >= MOST_LIMITS:
            self._said = {
                upstream_id: said
                for upstream_id, said in self._said.items()
                if said.rate.per_s >= 0 and not said.rate.is_over(now)
            }
        return len(self._said) < MOST_LIMITS

    def _rate(self, upstream_id: str, now: float) -> SharedRate | None:
        said = self._said.get(upstream_id)
        if said is None or said.rate.per_s < 0:
            return None
        if said.rate.is_over(now):
            del self._said[upstream_id]
            return None
        part = self._part_of(upstream_id, said.rate.per_s)
        said.rate.set_part(part, now=now)
        return said.rate

    def _is_news(self, said: _Said, now: float) -> bool:
        """Whether others are to be told, and note that they are."""
        since_s = now - said.told_at
        before, per_s = said.told_per_s, said.rate.per_s
        is_other = (before < 0) != (per_s < 0)
        is_other |= abs(per_s - before) > CHANGED * max(abs(before), CHANGED)
        if since_s < (TOLD_EVERY_S if is_other else RENEW_S):
            return False
        said.told_at, said.told_per_s = now, per_s
        return True
