"""The agent as a home of request ids: claims, releases and their hand-over."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

from crowrudder_core.requests import ClaimBook, Place, homes_of
from crowrudder_model import CrowrudderError
from crowrudder_model.messages import (
    ClaimAsk,
    ClaimReply,
    HandOver,
    HeldClaim,
    ReleaseAsk,
    Taken,
)
from crowrudder_model.rpc import CLAIM, HAND_OVER, RELEASE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from crowrudder_daemon.knowledge import KnowledgeTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_model import Member

FORGET_EVERY_S = 30.0
HAND_OVER_TIMEOUT_S = 2.0
BATCH = 2000
"""Records in one message: far below gRPC's limit of 4 MB."""


class ClaimService:
    """Owns the book of claims; every handler is one step without a wait."""

    def __init__(
        self,
        runtime: Runtime,
        peers: PeerClient,
        knowledge: KnowledgeTask,
    ) -> None:
        self.book = ClaimBook()
        self._runtime = runtime
        self._peers = peers
        self._knowledge = knowledge

    def serve(self, server: PeerServer) -> None:
        """Add the calls to the server."""
        server.add(CLAIM, self._on_claim)
        server.add(RELEASE, self._on_release)
        server.add(HAND_OVER, self._on_hand_over)

    def start(self) -> None:
        """Start the clock that forgets."""
        self._runtime.spawn(self._forget_for_ever(), step='forget claims')

    async def hand_over(self) -> None:
        """Vouch for nothing more, and give what is remembered to the others.

        A rolling restart empties one home after the other. Without this the
        last one that remembers an id would be restarted within minutes, seen
        as a second run of an id that is sent again afterwards.
        """
        self.book.leaving = True
        await asyncio.gather(
            *(self._send(address, batch) for address, batch in self._batches()),
        )

    async def _on_claim(self, ask: ClaimAsk, _context: object) -> ClaimReply:
        return ClaimReply(state=self.book.claim(ask, now=_now()))

    async def _on_release(self, ask: ReleaseAsk, _context: object) -> Taken:
        self.book.release(ask, now=_now())
        return Taken(count=1)

    async def _on_hand_over(self, ask: HandOver, _context: object) -> Taken:
        return Taken(count=self.book.take_over(ask.claims, now=_now()))

    def _batches(self) -> Iterator[tuple[str, HandOver]]:
        own = self._runtime.cfg.process.host
        members = {
            member.host: member
            for member in self._knowledge.snapshot.by_role('agent')
            if member.host != own
        }
        for host, claims in self._by_home(members).items():
            for first in range(0, len(claims), BATCH):
                batch = tuple(claims[first : first + BATCH])
                yield members[host].rpc_address, HandOver(claims=batch)

    def _by_home(
        self,
        members: dict[str, Member],
    ) -> dict[str, list[HeldClaim]]:
        places = [
            Place(host, member.failure_domain)
            for host, member in members.items()
        ]
        by_home: defaultdict[str, list[HeldClaim]] = defaultdict(list)
        for claim in self.book.held(now=_now()):
            for host in homes_of(claim.request_id, places):
                by_home[host].append(claim)
        return by_home

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

    async def _forget_for_ever(self) -> None:
        while True:
            await asyncio.sleep(FORGET_EVERY_S)
            self.book.forget(now=_now())


def _now() -> float:
    return asyncio.get_running_loop().time()
