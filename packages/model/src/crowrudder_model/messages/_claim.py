"""Messages with which entries claim request ids at the voters of the ids.

Voters are the agents that keep the claims of an id.
"""

from __future__ import annotations

import enum

from attrs import frozen


class ClaimState(enum.Enum):
    """A voter's answer to a claim."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    """Another owner holds the id, or this claim was released already."""

    ABSTAINED = 'abstained'
    """The voter is leaving or full and neither grants nor denies."""


@frozen(kw_only=True)
class ClaimRequest:
    """Claim a request id for an owner, for ``keep_s`` seconds from receipt.

    ``serial`` increases with each request for which the owner claims an id.
    """

    request_id: str
    owner: str
    serial: int
    keep_s: float


@frozen(kw_only=True)
class ClaimReply:
    """A voter's reply to a claim."""

    state: ClaimState


@frozen(kw_only=True)
class ReleaseRequest:
    """Release an id whose request provably did not run."""

    request_id: str
    owner: str
    serial: int


@frozen(kw_only=True)
class HeldClaim:
    """A voter's record of a claim, with its remaining lifetime in seconds."""

    request_id: str
    owner: str
    serial: int
    keep_s: float


@frozen(kw_only=True)
class HandOver:
    """Claims that a leaving voter transfers to the other voters of the ids."""

    claims: tuple[HeldClaim, ...]


@frozen(kw_only=True)
class AcceptedCount:
    """How many records were accepted."""

    count: int
