"""Claim request ids at their home agents, and give them back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.requests import (
    REMEMBER_S,
    ClaimCount,
    Place,
    Vote,
    homes_of,
)
from crowrudder_model import CrowrudderError
from crowrudder_model.messages import ClaimAsk, ClaimState, ReleaseAsk
from crowrudder_model.rpc import CLAIM, RELEASE

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model import Member

CLAIM_TIMEOUT_S = 0.5
"""Longest wait for the homes; one that is paused costs no more than this."""

RELEASE_TIMEOUT_S = 2.0


@frozen
class Claim:
    """One id claimed for one request; ``addresses`` are by home."""

    request_id: str
    owner: str
    serial: int
    addresses: dict[str, str]


def homes_among(
    request_id: str,
    members: Iterable[Member],
    suspects: Collection[str] = (),
) -> dict[str, str]:
    """Give the homes of an id and their addresses.

    An agent that says that it leaves is none: it hands its claims over. One
    that alone seems dead is left out as well, or a small fleet would refuse
    everything until the member list drops it. Where several seem dead, this
    entry may be the one that is cut off; then all stay, and claims fail rather
    than be held on both sides of a cut.
    """
    agents = {member.host: member for member in members if _may_vouch(member)}
    dead = [host for host in agents if host in suspects]
    if len(dead) == 1:
        agents.pop(dead[0])
    places = (
        Place(host, member.failure_domain) for host, member in agents.items()
    )
    return {
        host: agents[host].rpc_address for host in homes_of(request_id, places)
    }


def _may_vouch(member: Member) -> bool:
    return member.role == 'agent' and member.state == 'live'


async def take_claim(
    peers: PeerClient,
    claim: Claim,
    *,
    budget_s: float,
) -> Vote:
    """Ask all homes at once and return as soon as the count is decided."""
    count = ClaimCount(tuple(claim.addresses))
    ask = ClaimAsk(
        request_id=claim.request_id,
        owner=claim.owner,
        serial=claim.serial,
        keep_s=budget_s + REMEMBER_S,
    )
    jobs = [
        asyncio.ensure_future(_ask_home(peers, home, address, ask))
        for home, address in claim.addresses.items()
    ]
    # The asks go on after the decision: a home that answers late has then
    # noted the claim all the same, which only widens the margin.
    for answered in asyncio.as_completed(jobs):
        vote = count.take(*await answered)
        if vote is not Vote.OPEN:
            return vote
    return count.close()


async def release_claim(peers: PeerClient, claim: Claim) -> None:
    """Give an id back that provably did not run."""
    ask = ReleaseAsk(
        request_id=claim.request_id,
        owner=claim.owner,
        serial=claim.serial,
    )
    await asyncio.gather(
        *(
            peers.call(address, RELEASE, ask, timeout_s=RELEASE_TIMEOUT_S)
            for address in claim.addresses.values()
        ),
        return_exceptions=True,
    )


async def _ask_home(
    peers: PeerClient,
    home: str,
    address: str,
    ask: ClaimAsk,
) -> tuple[str, ClaimState]:
    try:
        reply = await peers.call(
            address,
            CLAIM,
            ask,
            timeout_s=CLAIM_TIMEOUT_S,
        )
    except CrowrudderError:
        return home, ClaimState.ABSTAINED
    return home, reply.state
