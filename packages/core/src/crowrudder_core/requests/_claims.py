"""Claims of request ids: the voter's records and the owner's tally."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from crowrudder_core.requests._voters import quorum
from crowrudder_model.messages import (
    ClaimRequest,
    ClaimState,
    HeldClaim,
    ReleaseRequest,
)

CLAIM_RETENTION_S = 600.0
"""Time after a request's deadline during which its id may not run again."""

MAX_CLAIMS = 200_000
"""Maximum number of records of a voter; they take about 60 MB."""


@frozen(kw_only=True)
class _ClaimRecord:
    owner: str
    serial: int
    until: float
    released: bool = False


@define
class ClaimRegistry:
    """The claims of request ids that one voter has granted.

    Invariant: until its record expires, an id is held by one owner, unless
    that owner released it because the request never ran.

    Example
    -------
    >>> registry = ClaimRegistry()
    >>> request = ClaimRequest(request_id='r', owner='e1', serial=1, keep_s=9.0)
    >>> registry.claim(request, now=0.0)
    <ClaimState.GRANTED: 'granted'>
    >>> registry.claim(evolve(request, owner='e2'), now=1.0)
    <ClaimState.TAKEN: 'taken'>
    """

    most: int = MAX_CLAIMS
    leaving: bool = field(default=False, init=False)
    _records: dict[str, _ClaimRecord] = field(factory=dict, init=False)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def claim(self, request: ClaimRequest, *, now: float) -> ClaimState:
        """Grant or reject a claim, or abstain."""
        known = self._known(request.request_id, now)
        if known is not None and not _may_replace(known, request):
            return ClaimState.TAKEN
        if self.leaving:
            return ClaimState.ABSTAINED
        if known is None and len(self._records) >= self.most:
            return ClaimState.ABSTAINED
        self._records[request.request_id] = _ClaimRecord(
            owner=request.owner,
            serial=request.serial,
            until=now + request.keep_s,
        )
        return ClaimState.GRANTED

    def release(self, request: ReleaseRequest, *, now: float) -> None:
        """Release a claim and reject the same claim if it arrives afterwards.

        Messages may be reordered. Without the released record, a claim that
        arrives after its release would block the id for the whole window.
        """
        known = self._known(request.request_id, now)
        if known is not None and not _may_release(known, request):
            return
        self._records[request.request_id] = _ClaimRecord(
            owner=request.owner,
            serial=request.serial,
            until=now + CLAIM_RETENTION_S,
            released=True,
        )

    def held(self, *, now: float) -> list[HeldClaim]:
        """Return the claims to transfer when this voter leaves."""
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

    def import_claims(self, claims: Iterable[HeldClaim], *, now: float) -> int:
        """Import the claims of a leaving voter; return the number added.

        Existing claims stay unless they were released; their expiry is only
        ever extended.
        """
        added = 0
        for claim in claims:
            known = self._known(claim.request_id, now)
            until = now + claim.keep_s
            if known is None or (known.released and _is_later(claim, known)):
                known = _ClaimRecord(
                    owner=claim.owner,
                    serial=claim.serial,
                    until=until,
                )
                added += 1
            longest = max(known.until, until)
            self._records[claim.request_id] = evolve(known, until=longest)
        return added

    def forget(self, *, now: float) -> int:
        """Drop expired records; return the number dropped."""
        expired_ids = [
            request_id
            for request_id, record in self._records.items()
            if record.until <= now
        ]
        for request_id in expired_ids:
            self._records.pop(request_id)
        return len(expired_ids)

    def _known(self, request_id: str, now: float) -> _ClaimRecord | None:
        known = self._records.get(request_id)
        return known if known is not None and known.until > now else None


def _may_replace(known: _ClaimRecord, request: ClaimRequest) -> bool:
    if known.released:
        return known.owner != request.owner or request.serial > known.serial
    return known.owner == request.owner and known.serial == request.serial


def _may_release(known: _ClaimRecord, request: ReleaseRequest) -> bool:
    """Return whether the release comes from the request that holds the id.

    A second request of the same owner is rejected, and its release must not
    free the id while the first one still runs.
    """
    if known.owner != request.owner:
        return False
    if known.released:
        return request.serial > known.serial
    return request.serial == known.serial


def _is_later(claim: HeldClaim, known: _ClaimRecord) -> bool:
    return claim.owner != known.owner or claim.serial > known.serial


class ClaimResult(enum.Enum):
    """Result of the tally of a claim."""

    OPEN = 'open'
    HELD = 'held'
    TAKEN = 'taken'
    CONTENDED = 'contended'
    """Some voters hold the id for another owner, but fewer than a quorum."""

    OUT_OF_REACH = 'out_of_reach'


@define
class ClaimTally:
    """Tally of the voters' answers on one claim.

    Example
    -------
    >>> tally = ClaimTally(('a', 'b'))
    >>> tally.take('a', ClaimState.GRANTED)
    <ClaimResult.OPEN: 'open'>
    >>> tally.take('b', ClaimState.GRANTED)
    <ClaimResult.HELD: 'held'>
    """

    voters: tuple[str, ...]
    _answers: dict[str, ClaimState] = field(factory=dict, init=False)

    def take(self, voter: str, state: ClaimState) -> ClaimResult:
        """Record a voter's first answer; ignore further ones."""
        if voter in self.voters:
            self._answers.setdefault(voter, state)
        return self.vote

    @property
    def vote(self) -> ClaimResult:
        """Result of the answers received so far.

        A single voter that holds the id for another owner prevents the claim
        from being held: it may be the only one left with a record of a run.
        """
        answers = list(self._answers.values())
        needed = quorum(len(self.voters))
        taken = answers.count(ClaimState.TAKEN)
        if self.voters and taken >= needed:
            return ClaimResult.TAKEN
        if self.voters and not taken and self._granted >= needed:
            return ClaimResult.HELD
        if not taken and self._reachable < needed:
            return ClaimResult.OUT_OF_REACH
        if len(answers) < len(self.voters):
            return ClaimResult.OPEN
        return ClaimResult.CONTENDED if taken else ClaimResult.OUT_OF_REACH

    def close(self) -> ClaimResult:
        """Count voters without an answer as abstained; return the result."""
        for voter in self.voters:
            self.take(voter, ClaimState.ABSTAINED)
        return self.vote

    @property
    def _granted(self) -> int:
        return list(self._answers.values()).count(ClaimState.GRANTED)

    @property
    def _reachable(self) -> int:
        abstained = list(self._answers.values()).count(ClaimState.ABSTAINED)
        return len(self.voters) - abstained
