"""The exchange with one peer, as its caller."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypeVar

from attrs import frozen

from crowrudder_core.config import ConfigOrder
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model.rpc import EXCHANGE, GIVE, TAKE

if TYPE_CHECKING:
    from crowrudder_model import Member
    from crowrudder_model.messages import Hello, Knowledge, TakeAsk
    from crowrudder_model.rpc import Method

_Ask = TypeVar('_Ask')
_Reply = TypeVar('_Reply')

HELLO_TIMEOUT_S = 1.0
PART_TIMEOUT_S = 5.0


@frozen
class HelloHeard:
    """A peer told what it has."""

    hello: Hello


@frozen
class PeerAnswered:
    """A peer answered a call, or a stream from it began."""

    host: str


@frozen
class PeerSilent:
    """A peer didn't answer, or a stream from it broke."""

    host: str
    reason: str


@frozen
class KnowledgeCame:
    """A peer gave what was newer."""

    knowledge: Knowledge


class PeerCalls:
    """Calls to neighbours, on channels of their own.

    The channels are apart from those that carry requests: the ones to former
    neighbours are closed, and nothing that runs may be cut off by that.
    """

    def __init__(self) -> None:
        self._client = PeerClient()
        self._in_flight: Counter[str] = Counter()

    async def hello(self, member: Member, hello: Hello) -> Hello:
        """Exchange greetings."""
        return await self._call(member, EXCHANGE, hello, HELLO_TIMEOUT_S)

    async def give(self, member: Member, knowledge: Knowledge) -> Hello:
        """Give a peer what it lacks; it answers what it then has."""
        return await self._call(member, GIVE, knowledge, PART_TIMEOUT_S)

    async def take(self, member: Member, ask: TakeAsk) -> Knowledge:
        """Ask a peer for what is newer."""
        return await self._call(member, TAKE, ask, PART_TIMEOUT_S)

    async def keep_only(self, addresses: set[str]) -> None:
        """Close the channels to all other addresses, but for running calls.

        A channel that closes cancels its calls, which would end the job that
        waits for one: a process that tells nobody anything any more.
        """
        busy = {peer for peer, calls in self._in_flight.items() if calls}
        await self._client.keep_only(addresses | busy)

    async def close(self) -> None:
        """Close all channels."""
        await self._client.close()

    async def _call(
        self,
        member: Member,
        method: Method[_Ask, _Reply],
        ask: _Ask,
        timeout_s: float,
    ) -> _Reply:
        peer = member.rpc_address
        self._in_flight[peer] += 1
        try:
            return await self._client.call(
                peer,
                method,
                ask,
                timeout_s=timeout_s,
            )
        finally:
            self._in_flight[peer] -= 1
            if not self._in_flight[peer]:
                del self._in_flight[peer]


def order_in(hello: Hello) -> ConfigOrder:
    """Give the place of the bundle that a peer has."""
    return ConfigOrder(hello.generation, hello.digest)
