"""Claim request ids at their voters, and release them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.requests import (
    CLAIM_RETENTION_S,
    ClaimResult,
    ClaimTally,
    VoterCandidate,
    voters_of,
)
from crowrudder_model import CrowrudderError
from crowrudder_model.messages import ClaimRequest, ClaimState, ReleaseRequest
from crowrudder_model.rpc import CLAIM, RELEASE

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model import Member

CLAIM_TIMEOUT_S = 0.5
"""Maximum wait for the voters; bounds the delay that a paused one causes."""

RELEASE_TIMEOUT_S = 2.0


@frozen
class Claim:
    """One id claimed for one request; ``addresses`` are by voter."""

    request_id: str
    owner: str
    serial: int
    addresses: dict[str, str]


def select_voters(
    request_id: str,
    members: Iterable[Member],
    suspects: Collection[str] = (),
) -> dict[str, str]:
    """Return the voters of an id and their addresses.

    A leaving agent is excluded, as it hands its claims over. A single
    suspected agent is excluded as well; otherwise a small fleet would refuse
    all requests until the member list drops it. If several agents are
    suspected, this entry itself may be partitioned. All of them are then kept,
    so that claims fail rather than be held on both sides of a partition.
    """
    agents = {
        member.host: member for member in members if _is_eligible_voter(member)
    }
    suspected = [host for host in agents if host in suspects]
    if len(suspected) == 1:
        agents.pop(suspected[0])
    candidates = (
        VoterCandidate(host, member.failure_domain)
        for host, member in agents.items()
    )
    return {
        host: agents[host].rpc_address
        for host in voters_of(request_id, candidates)
    }


def _is_eligible_voter(member: Member) -> bool:
    return member.role == 'agent' and member.state == 'live'


async def acquire_claim(
    peers: PeerClient,
    claim: Claim,
    *,
    budget_s: float,
) -> ClaimResult:
    """Send the claim to all voters; return once the tally is decided."""
    tally = ClaimTally(tuple(claim.addresses))
    request = ClaimRequest(
        request_id=claim.request_id,
        owner=claim.owner,
        serial=claim.serial,
        keep_s=budget_s + CLAIM_RETENTION_S,
    )
    jobs = [
        asyncio.ensure_future(_request_claim(peers, voter, address, request))
        for voter, address in claim.addresses.items()
    ]
    # The requests continue after the decision: a voter that answers late has
    # still recorded the claim, which only adds redundancy.
    for answered in asyncio.as_completed(jobs):
        result = tally.take(*await answered)
        if result is not ClaimResult.OPEN:
            return result
    return tally.close()


async def release_claim(peers: PeerClient, claim: Claim) -> None:
    """Release an id that provably did not run."""
    request = ReleaseRequest(
        request_id=claim.request_id,
        owner=claim.owner,
        serial=claim.serial,
    )
    await asyncio.gather(
        *(
            peers.call(address, RELEASE, request, timeout_s=RELEASE_TIMEOUT_S)
            for address in claim.addresses.values()
        ),
        return_exceptions=True,
    )


async def _request_claim(
    peers: PeerClient,
    voter: str,
    address: str,
    request: ClaimRequest,
) -> tuple[str, ClaimState]:
    try:
        reply = await peers.call(
            address,
            CLAIM,
            request,
            timeout_s=CLAIM_TIMEOUT_S,
        )
    except CrowrudderError:
        return voter, ClaimState.ABSTAINED
    return voter, reply.state
