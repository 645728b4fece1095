"""The agent as a voter on request ids: claims, releases and their hand-over."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

from crowrudder_core.requests import ClaimRegistry, VoterCandidate, voters_of
from crowrudder_model import CrowrudderError
from crowrudder_model.messages import (
    AcceptedCount,
    ClaimReply,
    ClaimRequest,
    HandOver,
    HeldClaim,
    ReleaseRequest,
)
from crowrudder_model.rpc import CLAIM, HAND_OVER, RELEASE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from crowrudder_daemon.knowledge import KnowledgeTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_model import Member

CLEANUP_INTERVAL_S = 30.0
HAND_OVER_TIMEOUT_S = 2.0
MAX_CLAIMS_PER_MESSAGE = 2000
"""Keeps a message far below gRPC's limit of 4 MB."""


class ClaimService:
    """Owns the claim registry.

    Handlers of claims, releases and hand-overs don't await, so each is atomic.
    """

    def __init__(
        self,
        runtime: Runtime,
        peers: PeerClient,
        knowledge: KnowledgeTask,
    ) -> None:
        self.book = ClaimRegistry()
        self._runtime = runtime
        self._peers = peers
        self._knowledge = knowledge

    def serve(self, server: PeerServer) -> None:
        """Register the calls on the server."""
        server.add(CLAIM, self._on_claim)
        server.add(RELEASE, self._on_release)
        server.add(HAND_OVER, self._on_hand_over)

    def start(self) -> None:
        """Start the periodic removal of expired claims."""
        self._runtime.spawn(
            self._remove_expired_periodically(), step='forget claims'
        )

    async def hand_over(self) -> None:
        """Stop voting and send the held claims to the other voters.

        A rolling restart clears the claims of one voter after the other.
        Without the hand-over the last voter that holds an id would restart
        within minutes, and an id that is sent again would run a second time.
        """
        self.book.leaving = True
        await asyncio.gather(
            *(self._send(address, batch) for address, batch in self._batches()),
        )

    async def _on_claim(
        self, request: ClaimRequest, _context: object
    ) -> ClaimReply:
        return ClaimReply(state=self.book.claim(request, now=_now()))

    async def _on_release(
        self, request: ReleaseRequest, _context: object
    ) -> AcceptedCount:
        self.book.release(request, now=_now())
        return AcceptedCount(count=1)

    async def _on_hand_over(
        self, request: HandOver, _context: object
    ) -> AcceptedCount:
        return AcceptedCount(
            count=self.book.import_claims(request.claims, now=_now())
        )

    def _batches(self) -> Iterator[tuple[str, HandOver]]:
        own = self._runtime.cfg.process.host
        members = {
            member.host: member
            for member in self._knowledge.snapshot.by_role('agent')
            if member.host != own
        }
        for host, claims in self._group_by_voter(members).items():
            for first in range(0, len(claims), MAX_CLAIMS_PER_MESSAGE):
                batch = tuple(claims[first : first + MAX_CLAIMS_PER_MESSAGE])
                yield members[host].rpc_address, HandOver(claims=batch)

    def _group_by_voter(
        self,
        members: dict[str, Member],
    ) -> dict[str, list[HeldClaim]]:
        candidates = [
            VoterCandidate(host, member.failure_domain)
            for host, member in members.items()
        ]
        by_voter: defaultdict[str, list[HeldClaim]] = defaultdict(list)
        for claim in self.book.held(now=_now()):
            for host in voters_of(claim.request_id, candidates):
                by_voter[host].append(claim)
        return by_voter

    async def _send(self, address: str, batch: HandOver) -> None:
        try:
            await self._peers.call(
                address,
                HAND_OVER,
                batch,
                timeout_s=HAND_OVER_TIMEOUT_S,
            )
        except CrowrudderError as exc:
            self._runtime.log.warning('claims not handed over: %s', exc)

    async def _remove_expired_periodically(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self.book.forget(now=_now())


def _now() -> float:
    return asyncio.get_running_loop().time()
