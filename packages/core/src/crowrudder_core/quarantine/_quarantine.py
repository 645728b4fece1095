"""The aggregate that keeps requests from upstreams that end under them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.quarantine._ledger import SuspectLedger
from crowrudder_core.quarantine._suspect import CONVICTING, SHARED, Suspect
from crowrudder_core.quarantine._unconfirmed import UnconfirmedEnds
from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from crowrudder_model.messages import SuspectNews, SuspectWord

OWNERS = 2
"""Entries that add up what others saw of a request; one of them may die."""

MOST_WORDS = 8
"""Words in one datagram."""


class Audience(Enum):
    """Whom a word is for."""

    OWNERS = 'owners'
    PARTNERS = 'partners'


@frozen
class Tell:
    """Tell other entries what is known of a request."""

    word: SuspectWord
    audience: Audience


@frozen
class Convicted:
    """A request is sent to no upstream any more."""

    digest: int
    lives: tuple[str, ...]


Effect = Tell | Convicted


@define
class Quarantine:
    """What one entry knows of requests that end their upstreams.

    A request whose runs end the upstream each time must not be tried until no
    upstream is left; those that were beside it must not be blamed for long. A
    run that ends whole clears its request everywhere.
    """

    _ledger: SuspectLedger = field(factory=SuspectLedger)
    _unconfirmed: UnconfirmedEnds = field(factory=UnconfirmedEnds)

    def is_convicted(self, digest: int, *, now: float) -> bool:
        """Whether a request is to be refused."""
        suspect = self._ledger.get(digest, now=now)
        return suspect is not None and suspect.is_convicted

    def lives_under(self, digest: int, *, now: float) -> tuple[str, ...]:
        """Give the lives that ended under a request."""
        suspect = self._ledger.get(digest, now=now)
        return tuple(suspect.ends) if suspect else ()

    def may_send_again(self, digest: int, *, now: float) -> bool:
        """Whether another upstream may be tried after a break.

        Counts closes that may still turn out to be something else.
        """
        suspect = self._ledger.get(digest, now=now)
        known = suspect.ends if suspect else {}
        unconfirmed = self._unconfirmed.lives_under(digest, now=now)
        weight = suspect.weight if suspect else 0
        return weight + len(unconfirmed - known.keys()) < CONVICTING

    def on_broken(
        self, digest: int, lives: Iterable[str], *, ran_s: float, now: float
    ) -> None:
        """Take a run whose connection was closed by its upstream."""
        for life in lives:
            self._unconfirmed.on_broken(digest, life, ran_s=ran_s, now=now)

    def on_sound(self, life: str, *, as_of: float) -> None:
        """Take that an upstream is there and lives on."""
        self._unconfirmed.on_sound(life, as_of=as_of)

    def on_ended(self, life: str, *, now: float) -> list[Effect]:
        """Take that an upstream's life ended."""
        effects: list[Effect] = []
        for digest, end in self._unconfirmed.on_ended(life, now=now):
            suspect = self._ledger.take(digest, now=now)
            before = suspect.weight
            suspect.on_end(life, end)
            effects += _effects(digest, suspect, before, now)
        return effects

    def on_whole(self, digest: int, *, now: float) -> list[Effect]:
        """Take that a run ended whole."""
        suspect = self._ledger.get(digest, now=now)
        before = suspect.weight if suspect else 0
        cleared = self._ledger.on_whole(digest, now=now)
        if cleared is None or not before:
            return []
        return _effects(digest, cleared, before, now)

    def on_refused(self, digest: int, *, now: float) -> None:
        """Take that a convicted request came again."""
        self._ledger.take(digest, now=now).refused_at = now

    def on_news(self, news: SuspectNews, *, now: float) -> list[Effect]:
        """Take what another entry tells; what is new to this one goes on."""
        effects: list[Effect] = []
        for word in news.words[:MOST_WORDS]:
            suspect = self._ledger.take(word.digest, now=now)
            claimed = Suspect()
            claimed.on_word(word, now=now)
            before = suspect.weight
            is_news = suspect.on_word(word, now=now)
            if not is_news and claimed.weight > suspect.weight:
                # The sender doesn't know of a run that ended whole.
                before = claimed.weight
            effects += _effects(word.digest, suspect, before, now)
        return [each for each in effects if not _is_for_owners(each)]

    def reminder(self, random: Random, *, now: float) -> list[SuspectWord]:
        """Draw some words that all entries are to know.

        For entries that start, or that missed the news.
        """
        shared = [
            (digest, suspect)
            for digest, suspect in self._ledger.suspects(now=now).items()
            if suspect.weight >= SHARED
        ]
        drawn = random.sample(shared, min(len(shared), MOST_WORDS))
        return [suspect.word(digest, now=now) for digest, suspect in drawn]


def owners(digest: int, entry_ips: Iterable[str]) -> list[str]:
    """Give the entries that add up what is seen of a request."""
    return ranked(f'suspect|{digest}', entry_ips)[:OWNERS]


def _effects(
    digest: int, suspect: Suspect, before: float, now: float
) -> list[Effect]:
    weight = suspect.weight
    if weight == before:
        return []
    is_shared = max(weight, before) >= SHARED
    audience = Audience.PARTNERS if is_shared else Audience.OWNERS
    effects: list[Effect] = [Tell(suspect.word(digest, now=now), audience)]
    if before < CONVICTING <= weight:
        effects.append(Convicted(digest, tuple(suspect.ends)))
    return effects


def _is_for_owners(effect: Effect) -> bool:
    return isinstance(effect, Tell) and effect.audience is Audience.OWNERS
