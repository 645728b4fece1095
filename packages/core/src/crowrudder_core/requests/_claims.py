"""Claims of request ids: the book of a home, and the count of an owner."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from crowrudder_core.requests._homes import quorum
from crowrudder_model.messages import (
    ClaimAsk,
    ClaimState,
    HeldClaim,
    ReleaseAsk,
)

REMEMBER_S = 600.0
"""Seconds after a request's deadline in which its id may not run again."""

MOST_CLAIMS = 200_000
"""Records that a home keeps at most; about 60 MB."""


@frozen(kw_only=True)
class _Record:
    owner: str
    serial: int
    until: float
    released: bool = False


@define
class ClaimBook:
    """What one home remembers of request ids.

    Invariant: until a record's time is over, an id is held by one owner,
    unless that owner gave it back as never run.

    Example
    -------
    >>> book = ClaimBook()
    >>> ask = ClaimAsk(request_id='r', owner='e1', serial=1, keep_s=9.0)
    >>> book.claim(ask, now=0.0)
    <ClaimState.GRANTED: 'granted'>
    >>> book.claim(evolve(ask, owner='e2'), now=1.0)
    <ClaimState.TAKEN: 'taken'>
    """

    most: int = MOST_CLAIMS
    leaving: bool = field(default=False, init=False)
    _records: dict[str, _Record] = field(factory=dict, init=False)

    def __len__(self) -> int:
        """Give the number of records."""
        return len(self._records)

    def claim(self, ask: ClaimAsk, *, now: float) -> ClaimState:
        """Decide on a claim."""
        known = self._known(ask.request_id, now)
        if known is not None and not _may_follow(known, ask):
            return ClaimState.TAKEN
        if self.leaving:
            return ClaimState.ABSTAINED
        if known is None and len(self._records) >= self.most:
            return ClaimState.ABSTAINED
        self._records[ask.request_id] = _Record(
            owner=ask.owner,
            serial=ask.serial,
            until=now + ask.keep_s,
        )
        return ClaimState.GRANTED

    def release(self, ask: ReleaseAsk, *, now: float) -> None:
        """Take a claim back; a claim that comes later is then refused.

        Messages overtake each other. Without the mark a claim that arrives
        after its release would block the id for the whole window.
        """
        known = self._known(ask.request_id, now)
        if known is not None and not _may_release(known, ask):
            return
        self._records[ask.request_id] = _Record(
            owner=ask.owner,
            serial=ask.serial,
            until=now + REMEMBER_S,
            released=True,
        )

    def held(self, *, now: float) -> list[HeldClaim]:
        """Give what other homes are to know when this one leaves."""
        return [
            HeldClaim(
                request_id=request_id,
                owner=record.owner,
                serial=record.serial,
                keep_s=record.until - now,
            )
            for request_id, record in self._records.items()
            if record.until > now and not record.released
        ]

    def take_over(self, claims: Iterable[HeldClaim], *, now: float) -> int:
        """Take in the claims of a home that leaves; give the number kept.

        What is known here stays, but for its time, which only grows.
        """
        kept = 0
        for claim in claims:
            known = self._known(claim.request_id, now)
            until = now + claim.keep_s
            if known is None or (known.released and _is_later(claim, known)):
                known = _Record(
                    owner=claim.owner,
                    serial=claim.serial,
                    until=until,
                )
                kept += 1
            longest = max(known.until, until)
            self._records[claim.request_id] = evolve(known, until=longest)
        return kept

    def forget(self, *, now: float) -> int:
        """Drop records whose time is over; give the number dropped."""
        old = [
            request_id
            for request_id, record in self._records.items()
            if record.until <= now
        ]
        for request_id in old:
            self._records.pop(request_id)
        return len(old)

    def _known(self, request_id: str, now: float) -> _Record | None:
        known = self._records.get(request_id)
        return known if known is not None and known.until > now else None


def _may_follow(known: _Record, ask: ClaimAsk) -> bool:
    if known.released:
        return known.owner != ask.owner or ask.serial > known.serial
    return known.owner == ask.owner and known.serial == ask.serial


def _may_release(known: _Record, ask: ReleaseAsk) -> bool:
    """Only the request that holds an id gives it back.

    A second request of the same owner was refused; its release must not free
    what the first one still runs.
    """
    if known.owner != ask.owner:
        return False
    if known.released:
        return ask.serial > known.serial
    return ask.serial == known.serial


def _is_later(claim: HeldClaim, known: _Record) -> bool:
    return claim.owner != known.owner or claim.serial > known.serial


class Vote(enum.Enum):
    """Where a claim stands."""

    OPEN = 'open'
    HELD = 'held'
    TAKEN = 'taken'
    CONTENDED = 'contended'
    """Some homes hold the id for another owner, too few to be sure of it."""

    OUT_OF_REACH = 'out_of_reach'


@define
class ClaimCount:
    """Count the homes' words on one claim.

    Example
    -------
    >>> count = ClaimCount(('a', 'b'))
    >>> count.take('a', ClaimState.GRANTED)
    <Vote.OPEN: 'open'>
    >>> count.take('b', ClaimState.GRANTED)
    <Vote.HELD: 'held'>
    """

    homes: tuple[str, ...]
    _words: dict[str, ClaimState] = field(factory=dict, init=False)

    def take(self, home: str, state: ClaimState) -> Vote:
        """Take a home's word; a second one of the same home is ignored."""
        if home in self.homes:
            self._words.setdefault(home, state)
        return self.vote

    @property
    def vote(self) -> Vote:
        """What the words so far amount to.

        A single home that remembers another owner keeps the claim from being
        held: it may be the only one left that knows of a run.
        """
        words = list(self._words.values())
        needed = quorum(len(self.homes))
        taken = words.count(ClaimState.TAKEN)
        if self.homes and taken >= needed:
            return Vote.TAKEN
        if self.homes and not taken and self._granted >= needed:
            return Vote.HELD
        if not taken and self._reachable < needed:
            return Vote.OUT_OF_REACH
        if len(words) < len(self.homes):
            return Vote.OPEN
        return Vote.CONTENDED if taken else Vote.OUT_OF_REACH

    def close(self) -> Vote:
        """Count every home without a word as silent."""
        for home in self.homes:
            self.take(home, ClaimState.ABSTAINED)
        return self.vote

    @property
    def _granted(self) -> int:
        return list(self._words.values()).count(ClaimState.GRANTED)

    @property
    def _reachable(self) -> int:
        silent = list(self._words.values()).count(ClaimState.ABSTAINED)
        return len(self.homes) - silent
