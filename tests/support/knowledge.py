"""Knowledge tasks of a fleet with a fake network and a fake platform."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import Counter
from typing import TYPE_CHECKING, Any, TypeVar

from crowrudder_daemon.knowledge import (
    ExchangeIntervals,
    KnowledgeTask,
    Snapshot,
)
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
from crowrudder_model.messages import Hello, Knowledge, SnapshotRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.knowledge._platform import ReadResult
    from crowrudder_model import Member

WATCH_S = 0.02
INTERVALS = ExchangeIntervals(exchange_s=0.02, push_gap_s=0.001, tick_s=0.01)
GARBAGE = bytes(range(128, 256))
_Message = TypeVar('_Message', Hello, Knowledge, SnapshotRequest)


class FakePlatform:
    """Published values, the member list and an injected fault."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.values: list[bytes] = []
        self.members = members
        self.members_revision = 1
        self.fault = ''
        self.reads: Counter[str] = Counter()
        self.asked = asyncio.Event()
        self.read_count = 0
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
        """Wake the watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    def word(self, source: Source) -> ReadResult:
        """Return the result of a read."""
        self.read_count += 1
        if self.fault == 'down' or (
            self.fault == 'flapping' and self.read_count % 2
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
        """Wait for a change or the timeout of a watch."""
        # Python 3.11's `wait_for` may suppress a cancellation.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WATCH_S):
                await self._changed.wait()


class FakePlatformClient(PlatformClient):
    """The platform client of one process, backed by the fake platform."""

    def __init__(
        self,
        runtime: Runtime,
        platform: Callable[[], FakePlatform],
    ) -> None:
        super().__init__(runtime)
        self._host = runtime.cfg.process.host
        self._current_platform = platform
        self._last: dict[Source, ReadResult] = {}

    async def read(self, source: Source, *, watch: bool) -> ReadResult:
        """Read a source, or watch it for a change."""
        platform = self._current_platform()
        platform.reads[self._host] += 1
        platform.asked.set()
        if platform.fault == 'slow':
            await asyncio.sleep(WATCH_S)
        result = platform.word(source)
        if watch and result == self._last.get(source):
            await platform.changed()
            result = platform.word(source)
        if result == self._last.get(source):
            return NothingNew(source)
        if not isinstance(result, ReadFailed):
            self._last[source] = result
        return result


class FakeCalls(PeerCalls):
    """Peer calls that deliver messages directly, unless partitioned."""

    def __init__(self, host: str, fleet: FakeFleet) -> None:
        super().__init__()
        self._host = host
        self._fleet = fleet

    async def hello(self, member: Member, hello: Hello) -> Hello:
        """Exchange hello messages."""
        task = await self._peer(member)
        return _round_trip(await task._on_exchange(_round_trip(hello), None))

    async def give(self, member: Member, knowledge: Knowledge) -> Hello:
        """Send a peer the knowledge that it lacks."""
        task = await self._peer(member)
        return _round_trip(await task._on_give(_round_trip(knowledge), None))

    async def take(self, member: Member, request: SnapshotRequest) -> Knowledge:
        """Request newer knowledge from a peer."""
        task = await self._peer(member)
        return _round_trip(await task._on_take(_round_trip(request), None))

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
        The hosts to start; `far_side` names those beyond a partition.
    """

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.members = members
        self.platform = FakePlatform(members)
        self.other_platform: FakePlatform | None = None
        self.far_side: frozenset[str] = frozenset()
        self.tasks: dict[str, KnowledgeTask] = {}
        self.runtimes: dict[str, Runtime] = {}
        self.history: dict[str, list[Snapshot]] = {}
        self._snapshot_received = asyncio.Event()

    async def __aenter__(self) -> FakeFleet:
        """Start the tasks of all members."""
        for member in self.members:
            self.start(member)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stop all tasks."""
        for host in list(self.tasks):
            await self.stop(host)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether a partition separates two hosts."""
        return (one in self.far_side) != (other in self.far_side)

    def start(self, member: Member) -> KnowledgeTask:
        """Start a new incarnation of a host."""
        host = member.host
        runtime = runtime_of(member)
        seen: list[Snapshot] = []

        def on_change(snapshot: Snapshot) -> None:
            seen.append(snapshot)
            self._snapshot_received.set()

        task = KnowledgeTask(
            runtime,
            on_change,
            calls=FakeCalls(host, self),
            platform=FakePlatformClient(runtime, lambda: self._platform(host)),
            pace=INTERVALS,
        )
        self.tasks[host] = task
        self.runtimes[host] = runtime
        self.history[host] = seen
        task.start()
        return task

    async def stop(self, host: str) -> None:
        """Stop a host."""
        task = self.tasks.pop(host)
        await task.stop()
        self.runtimes[host].metrics.close()

    async def until(self, condition: Callable[[KnowledgeTask], bool]) -> None:
        """Wait until a condition holds for every task."""
        while not all(condition(task) for task in self.tasks.values()):
            self._snapshot_received.clear()
            await self._snapshot_received.wait()

    async def in_force(self, generation: int) -> None:
        """Wait until a generation is in force everywhere."""
        await self.until(
            lambda task: task.active_config.order.generation == generation
        )

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
        """Return the hosts with a snapshot older than the one before it."""
        return [
            host
            for host, seen in self.history.items()
            if [each.order for each in seen]
            != sorted(each.order for each in seen)
        ]

    def audited(self, host: str, text: str) -> list[Any]:
        """Return the audit events of a host whose subject contains a text."""
        trail = self.runtimes[host].audit.trail
        return [event for event in trail.after(0) if text in event.subject]

    def _platform(self, host: str) -> FakePlatform:
        if self.other_platform is not None and host in self.far_side:
            return self.other_platform
        return self.platform


def _round_trip(message: _Message) -> _Message:
    """Encode and decode a message, as the network does."""
    return decode_message(encode_message(message), type(message))


def runtime_of(member: Member) -> Runtime:
    """Return the runtime of an entry's knowledge task."""
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
