"""Task that replicates configuration and members from platform and peers."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.config import ConfigOrder, Offer, ReadingMode
from crowrudder_daemon._task import Task
from crowrudder_daemon.knowledge._peers import (
    HelloReceived,
    KnowledgeReceived,
    PeerAnswered,
    PeerCalls,
    PeerUnreachable,
    order_of_hello,
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

    from crowrudder_core.config import ActiveConfig
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerServer
    from crowrudder_model import Member
    from crowrudder_model.messages import SnapshotRequest

SUSPENSION_THRESHOLD_S = 5.0
"""A pause of the event loop from which the process counts as suspended."""


@frozen(kw_only=True)
class ExchangeIntervals:
    """Intervals of periodic work, in seconds.

    ``exchange_s`` is the mean time between two exchanges with a neighbour
    each; ``push_gap_s`` is the pause between two rounds of notifying all of
    them, in which updates are collected; ``tick_s`` is the interval at which
    times are checked.
    """

    exchange_s: float = 2.0
    push_gap_s: float = 0.5
    tick_s: float = 0.5


DEFAULT_PACE = ExchangeIntervals()


class KnowledgeTask(Task):
    """Owns the configuration and membership state of a process."""

    def __init__(
        self,
        runtime: Runtime,
        on_change: Callable[[Snapshot], None],
        *,
        calls: PeerCalls | None = None,
        platform: PlatformClient | None = None,
        pace: ExchangeIntervals = DEFAULT_PACE,
    ) -> None:
        super().__init__(runtime.log)
        self.blocking_reason = ''
        self.snapshot = Snapshot()
        self._state = KnowledgeState(runtime, self._apply_snapshot)
        self._on_change = on_change
        self._poll_s = runtime.cfg.platform.poll_s
        self._platform = platform or PlatformClient(runtime)
        self._calls = calls or PeerCalls()
        self._pace = pace
        self._urgent = asyncio.Event()
        self._random = random.Random(runtime.incarnation)

    @property
    def active_config(self) -> ActiveConfig:
        """The bundle in force."""
        return self._state.active_config

    def serve(self, server: PeerServer) -> None:
        """Register the handlers for calls of peers."""
        server.add(EXCHANGE, self._on_exchange)
        server.add(GIVE, self._on_give)
        server.add(TAKE, self._on_take)

    def start(self) -> None:
        """Start to read the platform and to exchange with peers."""
        super().start()
        self.spawn(self._bootstrap())
        self.spawn(self._detect_suspensions())

    async def stop(self) -> None:
        """Stop all background tasks and close the connections."""
        await super().stop()
        self._platform.close()
        await self._calls.close()

    async def leave(self) -> None:
        """Notify the neighbours that this process accepts no new work.

        They notify theirs at once, so that all hosts know it after a few hops.
        """
        self._state.view.own.leave()
        self._state.publish()
        await self._exchange_with_neighbours()

    def status(self) -> dict[str, Any]:
        """Return what is in force here, since when, and what was refused."""
        return self._state.status()

    def on_bundle_read(self, message: BundleRead) -> None:
        """Offer the platform's bundle to the aggregate."""
        self._state.reading.on_read(time.monotonic())
        self._push_if(
            self._state.apply_offer(
                Offer(
                    payload=message.payload,
                    revision=message.revision,
                    teller='platform',
                )
            )
        )

    def on_members_read(self, message: MembersRead) -> None:
        """Apply the platform's member list."""
        self._state.reading.on_read(time.monotonic())
        self._push_if(
            self._state.apply_members(message.members, message.revision)
        )

    def on_nothing_new(self, message: NothingNew) -> None:
        """Record that the platform answers."""
        self._state.reading.on_read(time.monotonic())
        if message.source is Source.MEMBERS:
            self._push_if(self._state.apply_unchanged_members())

    def on_read_failed(self, message: ReadFailed) -> None:
        """Record that the platform doesn't answer."""
        self._state.reading.on_failed()
        self._log.warning(
            'platform not read: %s',
            message.reason,
            extra={'step': message.source.value},
        )

    def on_hello_received(self, message: HelloReceived) -> None:
        """Apply a peer's status message and its updates on others."""
        self._push_if(self._state.apply_hello(message.hello))

    def on_peer_answered(self, message: PeerAnswered) -> None:
        """Record a successful call that another task made."""
        self._state.view.on_call_answered(message.host)

    def on_peer_unreachable(self, message: PeerUnreachable) -> None:
        """Record a failed call."""
        self._log.debug('no exchange: %s', message.reason)
        self._state.apply_call_failure(message.host)

    def on_knowledge_received(self, message: KnowledgeReceived) -> None:
        """Apply newer data from a peer."""
        self._push_if(self._state.apply_knowledge(message.knowledge))

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._on_change(snapshot)

    def _push_if(self, urgent: bool) -> None:
        if urgent:
            self._urgent.set()

    async def _bootstrap(self) -> None:
        """Read the members, ask peers, and only then accept a bundle.

        The first call waits for a random time, because hosts that start
        together, as after a power cut, must not call all at once.
        """
        self.blocking_reason = 'asks platform and peers what is in force'
        await asyncio.sleep(self._random.uniform(0, self._poll_s))
        while not self._state.knows_members:
            await self._read(Source.MEMBERS, watch=False)
            if not self._state.knows_members:
                reading = self._state.reading
                await asyncio.sleep(
                    reading.start_pause_s(self._poll_s, self._random)
                )
        await self._exchange_with_neighbours()
        self._push_if(self._state.open_config())
        self.blocking_reason = ''
        for source in Source:
            self.spawn(self._follow(source))
        self.spawn(self._exchange_loop())
        self.spawn(self._push_loop())

    async def _follow(self, source: Source) -> None:
        """Read one source continuously in the mode that the aggregate chooses."""
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
        """Watch once; return the pause in seconds before the next watch."""
        if await self._read(source, watch=True):
            return 0
        return self._state.reading.retry_pause_s(self._poll_s, self._random)

    async def _read(self, source: Source, *, watch: bool) -> bool:
        """Read once; return whether there was a valid answer."""
        result = await self._platform.read(source, watch=watch)
        await self._handle(result)
        return not isinstance(result, ReadFailed)

    async def _detect_suspensions(self) -> None:
        """Exchange with the neighbours at once after a suspension.

        The state of a suspended process may be outdated when it resumes, and
        old rules would stay in force on its host for some seconds.
        """
        last = time.monotonic()
        while True:
            await asyncio.sleep(self._pace.tick_s)
            now = time.monotonic()
            paused_s, last = now - last, now
            if paused_s > SUSPENSION_THRESHOLD_S and self.active_config.is_open:
                self._log.warning('event loop paused for %.1f s', paused_s)
                self.blocking_reason = (
                    'stood still and asks peers what is in force'
                )
                await self._exchange_with_neighbours()
                self.blocking_reason = ''

    async def _exchange_loop(self) -> None:
        while True:
            pause_s = self._pace.exchange_s * self._random.uniform(0.5, 1.5)
            await asyncio.sleep(pause_s)
            member = self._state.next_partner(self._random)
            if member is not None:
                await self._exchange(member)
            neighbours = self._state.neighbours
            await self._calls.close_others(
                {neighbour.rpc_address for neighbour in neighbours}
            )

    async def _push_loop(self) -> None:
        """Notify all neighbours at once of urgent updates."""
        while True:
            await self._urgent.wait()
            self._urgent.clear()
            await self._exchange_with_neighbours()
            await asyncio.sleep(self._pace.push_gap_s)

    async def _exchange_with_neighbours(self) -> None:
        await asyncio.gather(
            *(self._exchange(member) for member in self._state.neighbours),
        )

    async def _exchange(self, member: Member) -> None:
        ours = self._state.hello(member.host)
        try:
            hello = await self._calls.hello(member, ours)
            await self._handle(HelloReceived(hello))
            await self._synchronize(member, hello)
        except PeerLostError as exc:
            await self._handle(PeerUnreachable(member.host, str(exc)))

    async def _synchronize(self, member: Member, hello: Hello) -> None:
        """Send the peer what it is missing, and request what is missing here."""
        sent = self._state.missing_for(order_of_hello(hello), hello)
        if sent is not None:
            after = await self._calls.give(member, sent)
            # The peer may no longer have had the base of the delta.
            complete = self._state.missing_for(
                order_of_hello(after), after, complete=True
            )
            if complete is not None and sent.bundle is not None:
                await self._calls.give(member, complete)
        if self._state.is_behind(hello):
            received = await self._calls.take(
                member, self._state.snapshot_request()
            )
            await self._handle(KnowledgeReceived(received))

    async def _on_exchange(self, hello: Hello, _context: object) -> Hello:
        await self._handle(HelloReceived(hello))
        return self._state.hello(hello.sender.host)

    async def _on_give(self, knowledge: Knowledge, _context: object) -> Hello:
        await self._handle(KnowledgeReceived(knowledge))
        return self._state.hello(knowledge.host)

    async def _on_take(
        self, request: SnapshotRequest, _context: object
    ) -> Knowledge:
        order = ConfigOrder(request.generation, request.digest)
        found = self._state.missing_for(order, request)
        return found or Knowledge(host=self._state.host)
