"""Knowledge tasks of a whole fleet over fakes of network and platform."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import Counter
from typing import TYPE_CHECKING, Any, TypeVar

from crowrudder_daemon.knowledge import KnowledgeTask, Pace, Snapshot
from crowrudder_daemon.knowledge._peers import PeerCalls
from crowrudder_daemon.knowledge._platform import (
    BundleRead,
    MembersRead,
    NothingNew,
    PlatformClient,
    ReadFailed,
    Source,
)
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.settings import (
    PlatformSection,
    ProcessSection,
    Settings,
)
from crowrudder_model import PeerLostError, decode_message, encode_message
from crowrudder_model.messages import Hello, Knowledge, TakeAsk

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.knowledge._platform import ReadResult
    from crowrudder_model import Member

WATCH_S = 0.02
PACE = Pace(exchange_s=0.02, push_gap_s=0.001, tick_s=0.01)
GARBAGE = bytes(range(128, 256))
_Message = TypeVar('_Message', Hello, Knowledge, TakeAsk)


class FakePlatform:
    """Published values, the member list, and what is wrong with them."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.values: list[bytes] = []
        self.members = members
        self.members_revision = 1
        self.fault = ''
        self.reads: Counter[str] = Counter()
        self.asked = asyncio.Event()
        self.turns = 0
        self._changed = asyncio.Event()

    def publish(self, value: bytes) -> None:
        """Publish a bundle."""
        self.values.append(value)
        self.wake()

    def list_members(self, members: tuple[Member, ...]) -> None:
        """Publish a member list."""
        self.members = members
        self.members_revision += 1
        self.wake()

    def wake(self) -> None:
        """Answer those who wait."""
        self._changed.set()
        self._changed = asyncio.Event()

    def word(self, source: Source) -> ReadResult:
        """Answer a call."""
        self.turns += 1
        if self.fault == 'down' or (
            self.fault == 'flapping' and self.turns % 2
        ):
            return ReadFailed(source, self.fault)
        if source is Source.MEMBERS:
            return MembersRead(self.members, self.members_revision)
        if not self.values:
            return NothingNew(source)
        revision = len(self.values)
        value = self.values[-1]
        if self.fault == 'stale':
            revision, value = 1, self.values[0]
        if self.fault == 'garbage':
            value = GARBAGE
        if self.fault == 'half':
            value = value[: len(value) // 2]
        return BundleRead(value, revision)

    async def changed(self) -> None:
        """Wait for a change, or the end of a watch."""
        # Python 3.11's `wait_for` may swallow a cancellation.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WATCH_S):
                await self._changed.wait()


class FakePlatformClient(PlatformClient):
    """One process's calls to the fake platform."""

    def __init__(
        self,
        runtime: Runtime,
        platform: Callable[[], FakePlatform],
    ) -> None:
        super().__init__(runtime)
        self._host = runtime.cfg.process.host
        self._where = platform
        self._last: dict[Source, ReadResult] = {}

    async def read(self, source: Source, *, watch: bool) -> ReadResult:
        """Read or watch."""
        platform = self._where()
        platform.reads[self._host] += 1
        platform.asked.set()
        if platform.fault == 'slow':
            await asyncio.sleep(WATCH_S)
        word = platform.word(source)
        if watch and word == self._last.get(source):
            await platform.changed()
            word = platform.word(source)
        if word == self._last.get(source):
            return NothingNew(source)
        if not isinstance(word, ReadFailed):
            self._last[source] = word
        return word


class FakeCalls(PeerCalls):
    """Calls that hand messages over, unless the link is cut."""

    def __init__(self, host: str, fleet: FakeFleet) -> None:
        super().__init__()
        self._host = host
        self._fleet = fleet

    async def hello(self, member: Member, hello: Hello) -> Hello:
        """Exchange greetings."""
        task = await self._peer(member)
        return _sent(await task._on_exchange(_sent(hello), None))

    async def give(self, member: Member, knowledge: Knowledge) -> Hello:
        """Give a peer what it lacks."""
        task = await self._peer(member)
        return _sent(await task._on_give(_sent(knowledge), None))

    async def take(self, member: Member, ask: TakeAsk) -> Knowledge:
        """Ask a peer for what is newer."""
        task = await self._peer(member)
        return _sent(await task._on_take(_sent(ask), None))

    async def _peer(self, member: Member) -> KnowledgeTask:
        await asyncio.sleep(0)
        task = self._fleet.tasks.get(member.host)
        if task is None or self._fleet.is_cut(self._host, member.host):
            raise PeerLostError('cut', step='fake', peer=member.host)
        return task


class FakeFleet:
    """The knowledge tasks of all members, without sockets.

    Parameters
    ----------
    members
        Where each side of a partition begins: hosts are cut by their name.
    """

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members
        self.platform = FakePlatform(members)
        self.other_platform: FakePlatform | None = None
        self.far_side: frozenset[str] = frozenset()
        self.tasks: dict[str, KnowledgeTask] = {}
        self.runtimes: dict[str, Runtime] = {}
        self.history: dict[str, list[Snapshot]] = {}
        self._came = asyncio.Event()

    async def __aenter__(self) -> FakeFleet:
        """Start everyone."""
        for member in self.members:
            self.start(member)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stop everyone."""
        for host in list(self.tasks):
            await self.stop(host)

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two hosts are on different sides."""
        return (one in self.far_side) != (other in self.far_side)

    def start(self, member: Member) -> KnowledgeTask:
        """Start a new life of a host."""
        host = member.host
        runtime = runtime_of(member)
        seen: list[Snapshot] = []

        def on_change(snapshot: Snapshot) -> None:
            seen.append(snapshot)
            self._came.set()

        task = KnowledgeTask(
            runtime,
            on_change,
            calls=FakeCalls(host, self),
            platform=FakePlatformClient(runtime, lambda: self._platform(host)),
            pace=PACE,
        )
        self.tasks[host] = task
        self.runtimes[host] = runtime
        self.history[host] = seen
        task.start()
        return task

    async def stop(self, host: str) -> None:
        """Let a host die."""
        task = self.tasks.pop(host)
        await task.stop()
        self.runtimes[host].metrics.close()

    async def until(self, holds: Callable[[KnowledgeTask], bool]) -> None:
        """Wait until something holds for every task."""
        while not all(holds(task) for task in self.tasks.values()):
            self._came.clear()
            await self._came.wait()

    async def in_force(self, generation: int) -> None:
        """Wait until a generation is in force everywhere."""
        await self.until(lambda task: task.book.order.generation == generation)

    async def read_by_all(self) -> None:
        """Wait until every host has read the platform twice more."""
        before = Counter(self.platform.reads)
        behind = set(self.tasks)
        while behind:
            await self.platform.asked.wait()
            self.platform.asked.clear()
            reads = self.platform.reads
            behind = {host for host in behind if reads[host] < before[host] + 4}

    def reverts(self) -> list[str]:
        """Name the hosts whose snapshots ever went back."""
        return [
            host
            for host, seen in self.history.items()
            if [each.order for each in seen]
            != sorted(each.order for each in seen)
        ]

    def audited(self, host: str, word: str) -> list[Any]:
        """Give the audit events of a host whose subject has a word."""
        trail = self.runtimes[host].audit.trail
        return [event for event in trail.after(0) if word in event.subject]

    def _platform(self, host: str) -> FakePlatform:
        if self.other_platform is not None and host in self.far_side:
            return self.other_platform
        return self.platform


def _sent(message: _Message) -> _Message:
    """Put a message through the codec, as the network does."""
    return decode_message(encode_message(message), type(message))


def runtime_of(member: Member) -> Runtime:
    """Make the surroundings of an entry's knowledge."""
    process = ProcessSection(
        role='entry',
        host=member.host,
        address=member.address,
        rpc_port=member.rpc_port,
        admin_port=1,
        http_port=1,
        region=member.region,
        failure_domain=member.failure_domain,
    )
    return Runtime(
        cfg=Settings(
            process=process,
            platform=PlatformSection(address='127.0.0.1:9', poll_s=0.02),
        ),
        log=logging.getLogger('test'),
    )
