"""Client side of the exchange with peers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypeVar

from attrs import frozen

from crowrudder_core.config import ConfigOrder
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model.rpc import EXCHANGE, GIVE, TAKE

if TYPE_CHECKING:
    from crowrudder_model import Member
    from crowrudder_model.messages import Hello, Knowledge, SnapshotRequest
    from crowrudder_model.rpc import Method

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')

HELLO_TIMEOUT_S = 1.0
PART_TIMEOUT_S = 5.0


@frozen
class HelloReceived:
    """A peer sent its hello message."""

    hello: Hello


@frozen
class PeerAnswered:
    """A peer answered a call or started a stream."""

    host: str


@frozen
class PeerUnreachable:
    """A peer didn't answer, or a stream from it broke."""

    host: str
    reason: str


@frozen
class KnowledgeReceived:
    """A peer sent newer data."""

    knowledge: Knowledge


class PeerCalls:
    """Calls to neighbours on dedicated channels.

    Requests use other channels, because channels to former neighbours are
    closed here, and that must not cancel a running request.
    """

    def __init__(self) -> None:
        self._client = PeerClient()
        self._in_flight: Counter[str] = Counter()

    async def hello(self, member: Member, hello: Hello) -> Hello:
        """Exchange hello messages."""
        return await self._call(member, EXCHANGE, hello, HELLO_TIMEOUT_S)

    async def give(self, member: Member, knowledge: Knowledge) -> Hello:
        """Send a peer what it is missing; return its state afterwards."""
        return await self._call(member, GIVE, knowledge, PART_TIMEOUT_S)

    async def take(self, member: Member, request: SnapshotRequest) -> Knowledge:
        """Request newer data from a peer."""
        return await self._call(member, TAKE, request, PART_TIMEOUT_S)

    async def close_others(self, addresses: set[str]) -> None:
        """Close the channels to other addresses that have no running calls.

        Closing a channel cancels its calls, which would end the background
        task that waits for one, and the process would no longer inform its
        peers.
        """
        busy = {peer for peer, calls in self._in_flight.items() if calls}
        await self._client.close_others(addresses | busy)

    async def close(self) -> None:
        """Close all channels."""
        await self._client.close()

    async def _call(
        self,
        member: Member,
        method: Method[_Request, _Reply],
        request: _Request,
        timeout_s: float,
    ) -> _Reply:
        peer = member.rpc_address
        self._in_flight[peer] += 1
        try:
            return await self._client.call(
                peer,
                method,
                request,
                timeout_s=timeout_s,
            )
        finally:
            self._in_flight[peer] -= 1
            if not self._in_flight[peer]:
                del self._in_flight[peer]


def order_of_hello(hello: Hello) -> ConfigOrder:
    """Return the order of the bundle that a peer has."""
    return ConfigOrder(hello.generation, hello.digest)
