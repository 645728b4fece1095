"""Messages by which entries claim request ids at their home agents."""

from __future__ import annotations

import enum

from attrs import frozen


class ClaimState(enum.Enum):
    """What a home says to a claim."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    """Another owner holds the id, or this claim was given back already."""

    ABSTAINED = 'abstained'
    """The home is leaving or full: it vouches for nothing."""


@frozen(kw_only=True)
class ClaimAsk:
    """Claim an id for an owner, for ``keep_s`` seconds from arrival.

    ``serial`` rises with each request that the owner claims for.
    """

    request_id: str
    owner: str
    serial: int
    keep_s: float


@frozen(kw_only=True)
class ClaimReply:
    """A home's word on a claim."""

    state: ClaimState


@frozen(kw_only=True)
class ReleaseAsk:
    """Give an id back that provably did not run."""

    request_id: str
    owner: str
    serial: int


@frozen(kw_only=True)
class HeldClaim:
    """One record of a home, with the seconds that it is still to be kept."""

    request_id: str
    owner: str
    serial: int
    keep_s: float


@frozen(kw_only=True)
class HandOver:
    """Claims that a leaving home gives to the other homes of the ids."""

    claims: tuple[HeldClaim, ...]


@frozen(kw_only=True)
class Taken:
    """How many records were taken in."""

    count: int
