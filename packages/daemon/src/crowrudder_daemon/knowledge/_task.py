"""Learn configuration and members from the platform and from peers."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.config import ConfigOrder, Offer, ReadingMode
from crowrudder_daemon._task import Task
from crowrudder_daemon.knowledge._peers import (
    HelloHeard,
    KnowledgeCame,
    PeerAnswered,
    PeerCalls,
    PeerSilent,
    order_in,
)
from crowrudder_daemon.knowledge._platform import (
    BundleRead,
    MembersRead,
    NothingNew,
    PlatformClient,
    ReadFailed,
    Source,
)
from crowrudder_daemon.knowledge._snapshot import Snapshot
from crowrudder_daemon.knowledge._state import KnowledgeState
from crowrudder_model import PeerLostError
from crowrudder_model.messages import Hello, Knowledge
from crowrudder_model.rpc import EXCHANGE, GIVE, TAKE

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_core.config import ConfigBook
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerServer
    from crowrudder_model import Member
    from crowrudder_model.messages import TakeAsk

FROZEN_S = 5.0
"""A loop that stood still for so long was frozen with its process."""


@frozen(kw_only=True)
class Pace:
    """How often a process acts by itself, in seconds.

    ``exchange_s`` is the mean time between exchanges with one neighbour after
    the other; ``push_gap_s`` stands between two rounds of telling all of
    them, so that news gathers; ``tick_s`` is how often times are looked at.
    """

    exchange_s: float = 2.0
    push_gap_s: float = 0.5
    tick_s: float = 0.5


DEFAULT_PACE = Pace()


class KnowledgeTask(Task):
    """Owns what a process knows of configuration and membership."""

    def __init__(
        self,
        runtime: Runtime,
        on_change: Callable[[Snapshot], None],
        *,
        calls: PeerCalls | None = None,
        platform: PlatformClient | None = None,
        pace: Pace = DEFAULT_PACE,
    ) -> None:
        super().__init__(runtime.log)
        self.hinders = ''
        self.snapshot = Snapshot()
        self._state = KnowledgeState(runtime, self._take_snapshot)
        self._on_change = on_change
        self._poll_s = runtime.cfg.platform.poll_s
        self._platform = platform or PlatformClient(runtime)
        self._calls = calls or PeerCalls()
        self._pace = pace
        self._urgent = asyncio.Event()
        self._random = random.Random(runtime.incarnation)

    @property
    def book(self) -> ConfigBook:
        """The bundle in force."""
        return self._state.book

    def serve(self, server: PeerServer) -> None:
        """Answer the calls of peers."""
        server.add(EXCHANGE, self._on_exchange)
        server.add(GIVE, self._on_give)
        server.add(TAKE, self._on_take)

    def start(self) -> None:
        """Start to learn, and to exchange with peers."""
        super().start()
        self.spawn(self._begin())
        self.spawn(self._notice_freezes())

    async def stop(self) -> None:
        """End all jobs and close the connections."""
        await super().stop()
        self._platform.close()
        await self._calls.close()

    async def leave(self) -> None:
        """Tell the neighbours that this process takes no new work.

        They tell theirs at once, so that all know after a few hops.
        """
        self._state.view.own.leave()
        self._state.publish()
        await self._tell_neighbours()

    def status(self) -> dict[str, Any]:
        """Tell what is in force here, since when, and what was refused."""
        return self._state.status()

    def on_bundle_read(self, message: BundleRead) -> None:
        """Offer the platform's value to the aggregate."""
        self._state.reading.on_read(time.monotonic())
        self._push_if(
            self._state.take_offer(
                Offer(
                    payload=message.payload,
                    revision=message.revision,
                    teller='platform',
                )
            )
        )

    def on_members_read(self, message: MembersRead) -> None:
        """Take the platform's member list."""
        self._state.reading.on_read(time.monotonic())
        self._push_if(
            self._state.take_members(message.members, message.revision)
        )

    def on_nothing_new(self, message: NothingNew) -> None:
        """Note that the platform answers."""
        self._state.reading.on_read(time.monotonic())
        if message.source is Source.MEMBERS:
            self._push_if(self._state.take_same_members())

    def on_read_failed(self, message: ReadFailed) -> None:
        """Note that the platform doesn't answer."""
        self._state.reading.on_failed()
        self._log.warning(
            'platform not read: %s',
            message.reason,
            extra={'step': message.source.value},
        )

    def on_hello_heard(self, message: HelloHeard) -> None:
        """Take what a peer says of itself and of others."""
        self._push_if(self._state.take_hello(message.hello))

    def on_peer_answered(self, message: PeerAnswered) -> None:
        """Take note of a call that another task made."""
        self._state.view.on_call_answered(message.host)

    def on_peer_silent(self, message: PeerSilent) -> None:
        """Take note of a call that failed."""
        self._log.debug('no exchange: %s', message.reason)
        self._state.take_silence(message.host)

    def on_knowledge_came(self, message: KnowledgeCame) -> None:
        """Take what a peer had newer."""
        self._push_if(self._state.take_knowledge(message.knowledge))

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._on_change(snapshot)

    def _push_if(self, urgent: bool) -> None:
        if urgent:
            self._urgent.set()

    async def _begin(self) -> None:
        """Learn the members, ask peers, and only then trust the platform.

        The first call waits for a random time: hosts that come up together,
        as after a power cut, must not call all at once.
        """
        self.hinders = 'asks platform and peers what is in force'
        await asyncio.sleep(self._random.uniform(0, self._poll_s))
        while not self._state.knows_members:
            await self._read(Source.MEMBERS, watch=False)
            if not self._state.knows_members:
                reading = self._state.reading
                await asyncio.sleep(
                    reading.start_pause_s(self._poll_s, self._random)
                )
        await self._tell_neighbours()
        self._push_if(self._state.open_book())
        self.hinders = ''
        for source in Source:
            self.spawn(self._follow(source))
        self.spawn(self._exchange_for_ever())
        self.spawn(self._push_for_ever())

    async def _follow(self, source: Source) -> None:
        """Read one source for ever, in the way that the aggregate says."""
        reading, is_polling = self._state.reading, False
        while True:
            match reading.mode(time.monotonic()):
                case ReadingMode.WATCH:
                    pause_s = await self._watch(source)
                case ReadingMode.POLL if is_polling:
                    await self._read(source, watch=False)
                    pause_s = reading.poll_pause_s(self._poll_s, self._random)
                case ReadingMode.POLL:
                    is_polling = True
                    pause_s = reading.first_poll_s(self._poll_s, self._random)
                case ReadingMode.LISTEN:
                    is_polling = False
                    pause_s = self._pace.tick_s
            await asyncio.sleep(pause_s)

    async def _watch(self, source: Source) -> float:
        """Watch once; the seconds to wait before the next, if it failed."""
        if await self._read(source, watch=True):
            return 0
        return self._state.reading.retry_pause_s(self._poll_s, self._random)

    async def _read(self, source: Source, *, watch: bool) -> bool:
        """Read once; false when there was no answer."""
        word = await self._platform.read(source, watch=watch)
        await self._handle(word)
        return not isinstance(word, ReadFailed)

    async def _notice_freezes(self) -> None:
        """Ask the neighbours first after the process stood still.

        A process that was frozen believes what was true before; it would be
        seen as old rules in force on one host for some seconds.
        """
        last = time.monotonic()
        while True:
            await asyncio.sleep(self._pace.tick_s)
            now = time.monotonic()
            stood_s, last = now - last, now
            if stood_s > FROZEN_S and self.book.is_open:
                self._log.warning('stood still for %.1f s', stood_s)
                self.hinders = 'stood still and asks peers what is in force'
                await self._tell_neighbours()
                self.hinders = ''

    async def _exchange_for_ever(self) -> None:
        while True:
            pause_s = self._pace.exchange_s * self._random.uniform(0.5, 1.5)
            await asyncio.sleep(pause_s)
            member = self._state.next_partner(self._random)
            if member is not None:
                await self._exchange(member)
            neighbours = self._state.neighbours
            await self._calls.keep_only(
                {neighbour.rpc_address for neighbour in neighbours}
            )

    async def _push_for_ever(self) -> None:
        """Tell all neighbours at once what can't wait for their turn."""
        while True:
            await self._urgent.wait()
            self._urgent.clear()
            await self._tell_neighbours()
            await asyncio.sleep(self._pace.push_gap_s)

    async def _tell_neighbours(self) -> None:
        await asyncio.gather(
            *(self._exchange(member) for member in self._state.neighbours),
        )

    async def _exchange(self, member: Member) -> None:
        ours = self._state.hello(member.host)
        try:
            hello = await self._calls.hello(member, ours)
            await self._handle(HelloHeard(hello))
            await self._level(member, hello)
        except PeerLostError as exc:
            await self._handle(PeerSilent(member.host, str(exc)))

    async def _level(self, member: Member, hello: Hello) -> None:
        """Give the peer what it lacks, and take what this process lacks."""
        given = self._state.lacking(order_in(hello), hello)
        if given is not None:
            after = await self._calls.give(member, given)
            # It may no longer have had the base of the change.
            whole = self._state.lacking(order_in(after), after, whole=True)
            if whole is not None and given.bundle is not None:
                await self._calls.give(member, whole)
        if self._state.is_behind(hello):
            taken = await self._calls.take(member, self._state.ask())
            await self._handle(KnowledgeCame(taken))

    async def _on_exchange(self, hello: Hello, _context: object) -> Hello:
        await self._handle(HelloHeard(hello))
        return self._state.hello(hello.sender.host)

    async def _on_give(self, knowledge: Knowledge, _context: object) -> Hello:
        await self._handle(KnowledgeCame(knowledge))
        return self._state.hello(knowledge.host)

    async def _on_take(self, ask: TakeAsk, _context: object) -> Knowledge:
        order = ConfigOrder(ask.generation, ask.digest)
        found = self._state.lacking(order, ask)
        return found or Knowledge(host=self._state.host)
