"""The aggregate that knows the fleet's own entries by their words."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from msgspec.structs import replace

from crowrudder_core.membership._partners import hops
from crowrudder_model.messages import (
    HeardWord,
    MemberWord,
    Sighting,
    life_of,
)

if TYPE_CHECKING:
    from random import Random

LIVE_S = 1.6
"""Without a word for so long, a process isn't offered to callers any more.

Heartbeats come every 0.4 s: three may be lost, as datagrams on a full link
are.
"""

HOP_S = 0.8
"""Added for each hop by which words reach everyone in a fleet too large to
tell everyone: two heartbeats, as the next partner is drawn by chance."""

REMEMBERED_S = 12.0
"""Without a word for so long, a process is forgotten.

It covers a window of the retry budget (10 s), in which the arrivals of a
process that died still count.
"""

MOST_PASSED_ON = 8
"""Words of others in one heartbeat; it must fit into one datagram."""

MOST_SIGHTINGS = 48
"""The same for sightings, of some 24 bytes each."""

_MS = 1000


@define
class _Heard:
    word: MemberWord
    heard_at: float


@define
class Roster:
    """Entries that this process has heard of, directly or through others.

    Nothing lists the fleet's own processes: they find each other through a
    few seeds and pass each other's words on. A word carries its age, so that
    the words of a dead process grow old everywhere, whoever repeats them.
    """

    own: MemberWord
    _others: dict[str, _Heard] = field(factory=dict)

    def on_word(self, word: MemberWord, age_s: float, *, now: float) -> bool:
        """Take a word; true when it is a process that wasn't known."""
        if word.ip == self.own.ip and word.role == self.own.role:
            return False
        if word.role != 'entry' or age_s > REMEMBERED_S:
            return False
        heard_at = now - max(age_s, 0)
        known = self._others.get(word.ip)
        if known is not None and not _replaces(word, heard_at, known):
            return False
        self._others[word.ip] = _Heard(word, heard_at)
        return known is None

    def on_sighting(self, sighting: Sighting, *, now: float) -> bool:
        """Take how lately an entry was heard of; true for one to be asked.

        Its whole word isn't known here: it is new, or lives anew.
        """
        if sighting.ip == self.own.ip and self.own.role == 'entry':
            return False
        heard_at = now - max(sighting.age_ms, 0) / _MS
        known = self._others.get(sighting.ip)
        if known is None or life_of(known.word) != sighting.life:
            is_later = known is None or heard_at > known.heard_at
            return is_later and now - heard_at <= self._live_s
        if heard_at > known.heard_at:
            word = replace(
                known.word, ready=sighting.ready, leaving=sighting.leaving
            )
            self._others[sighting.ip] = _Heard(word, heard_at)
        return False

    def sightings(
        self, random: Random, *, now: float, region: str | None = None
    ) -> tuple[Sighting, ...]:
        """Say how lately live entries were heard of, or those of a region."""
        live = [
            heard
            for heard in self._live(now)
            if region is None or heard.word.region == region
        ]
        drawn = random.sample(live, min(len(live), MOST_SIGHTINGS))
        return tuple(_sighting(heard, now) for heard in drawn)

    def entries(self, *, now: float) -> list[MemberWord]:
        """List the live entries, the own process included."""
        live = [heard.word for heard in self._live(now)]
        return [self.own, *live] if self.own.role == 'entry' else live

    def known(self, *, now: float) -> list[MemberWord]:
        """List all other entries not yet forgotten, live or not."""
        self._others = {
            ip: heard
            for ip, heard in self._others.items()
            if now - heard.heard_at <= REMEMBERED_S
        }
        return [heard.word for heard in self._others.values()]

    def knows(self, ip: str, *, now: float) -> bool:
        """Whether a host is another entry that isn't forgotten yet."""
        return any(word.ip == ip for word in self.known(now=now))

    def budget_share(self, *, now: float) -> float:
        """Give this entry's part of what all entries may do together.

        Entries that died a short while ago count as well: what they did is
        still in the window.
        """
        return 1 / (len(self.known(now=now)) + 1)

    def to_pass_on(
        self, random: Random, *, now: float
    ) -> tuple[HeardWord, ...]:
        """Draw some words for a heartbeat, live ones only."""
        live = self._live(now)
        drawn = random.sample(live, min(len(live), MOST_PASSED_ON))
        return tuple(
            HeardWord(heard.word, now - heard.heard_at) for heard in drawn
        )

    @property
    def _live_s(self) -> float:
        return LIVE_S + HOP_S * hops(len(self._others))

    def _live(self, now: float) -> list[_Heard]:
        live_s = self._live_s
        return [
            heard
            for heard in self._others.values()
            if now - heard.heard_at <= live_s
        ]

    def set_own(self, *, ready: bool, leaving: bool) -> bool:
        """Change the own word; true when it is another one now."""
        before = self.own
        self.own = replace(before, ready=ready, leaving=leaving)
        return self.own != before


def _sighting(heard: _Heard, now: float) -> Sighting:
    word = heard.word
    return Sighting(
        ip=word.ip,
        life=life_of(word),
        age_ms=int(max(now - heard.heard_at, 0) * _MS),
        ready=word.ready,
        leaving=word.leaving,
    )


def _replaces(word: MemberWord, heard_at: float, known: _Heard) -> bool:
    if word.incarnation != known.word.incarnation:
        return word.started_at > known.word.started_at
    return heard_at > known.heard_at
