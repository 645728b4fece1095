"""The task that owns the published records and learns of changes."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Any

from attrs import evolve

from crowrudder_core.catalog import (
    RETURN_S,
    WATCH_WAIT_S,
    AnswerTimeout,
    Catalog,
    FleetView,
    StoreReading,
    StoreStep,
)
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._task import Task
from crowrudder_daemon._ticks import sleep_to_tick, until_tick_s
from crowrudder_daemon.fleet._records import (
    AgesCame,
    PeerAhead,
    RecordsCame,
    decoded_record,
    read_records,
    told_records,
)
from crowrudder_daemon.fleet._records_service import RecordsService
from crowrudder_daemon.fleet._shown import shown
from crowrudder_daemon.fleet._version_ends import VersionEnds
from crowrudder_daemon.fleet._watch_times import Heard, WatchTimes
from crowrudder_daemon.fleet.ports import (
    BadRecordError,
    HistoryGoneError,
    PlatformError,
)
from crowrudder_model import PeerLostError
from crowrudder_model.fleet import NamedVersion
from crowrudder_model.messages import AgesAsk, ChangesAsk
from crowrudder_model.rpc import AGES, CHANGES

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.fleet._peers_task import PeersTask
    from crowrudder_daemon.fleet.ports import PublishedSource
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import PublishedItem

REST_S = 0.2
"""How often a process that leaves the watch to others looks whether it must
step in."""

TICK_S = 0.005
"""Past a moment that is waited for, so that it has come."""

START_S = 1.0
"""From a process's start until it gets here, and some time to spare: it isn't
held to the bounds for so much less than the operators allow."""

AGES_TIMEOUT_S = 1.0
SWEEP_S = 0.2


class CatalogTask(Task):
    """Owns the catalog and the view of the fleet that follows from it.

    Parameters
    ----------
    source
        The platform.
    on_change
        Called after the view has changed.
    """

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        *,
        source: PublishedSource,
        peers: PeersTask,
        client: PeerClient,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(runtime.log)
        self._runtime = runtime
        self._node = node
        self._source = source
        self._peers = peers
        self._client = client
        self._on_change = on_change
        self._random = random.Random(runtime.incarnation)
        self._pulling = False
        self._pull_timeout = AnswerTimeout()
        self._away_at = -1.0e9
        self._watch_times = WatchTimes(SWEEP_S)
        self.catalog = Catalog()
        free_s = node.bounds.settle_s - START_S
        self.view = FleetView(node.bounds.version_s, clock_s() + free_s)
        self._ends = VersionEnds(runtime.log, self.view.releases)
        # Agents learn from entries; they read for themselves only where no
        # entry has told them anything for a while.
        is_entry = node.role == 'entry'
        self.reading = StoreReading(own=node.ip, is_reader=is_entry)
        self.reading.on_start(clock_s(), lists_at_once=is_entry)
        self._calls = runtime.metrics.counter(
            'platform_calls',
            'Calls to the platform by their outcome.',
            labels=('call', 'outcome'),
        )
        self._lag = runtime.metrics.histogram(
            'record_age_seconds',
            'Age of a record from a peer when it was taken.',
        )

    def serve(self, server: PeerServer) -> None:
        """Answer other processes that ask for changes."""
        RecordsService(self.catalog, self.reading).serve(server)

    def start(self) -> None:
        """Begin to read."""
        super().start()
        self.spawn(self._sweep_for_ever())
        self.spawn(self._read_for_ever(self._source))

    def is_current(self) -> bool:
        """Whether no change can have been missed for longer than the bound."""
        return self.reading.is_current(clock_s(), self._node.bounds.config_s)

    def peer_heard(self, ip: str, revision: int, confirmed_s: float) -> None:
        """Take a heartbeat's word on the published records."""
        self.reading.on_peer(confirmed_s, clock_s())
        if revision > self.catalog.revision:
            self.post(PeerAhead(f'{ip}:{self._node.rpc_port}', revision))

    def on_peer_ahead(self, message: PeerAhead) -> None:
        """Ask for what is missing, one peer at a time."""
        if self._pulling or message.revision <= self.catalog.revision:
            return
        self._pulling = True
        self.spawn(self._pull(message.address))

    def on_records_came(self, message: RecordsCame) -> None:
        """Take records and renew the view."""
        now = clock_s()
        before = self.catalog.revision
        take = self.catalog.replace if message.is_whole else self.catalog.apply
        items = message.older_by_wait(self._with_ages(message.items, now), now)
        fresh = take(items, through=message.through, now=now)
        self.reading.on_informed()
        for item in fresh:
            self._renew(item, message, now)
        self._peers.set_knowledge(
            self.catalog.revision,
            self.reading.confirmed_at,
        )
        if fresh or before != self.catalog.revision:
            self._on_change()

    def on_ages_came(self, message: AgesCame) -> None:
        """Take ages and renew the view of the records that had none."""
        now = clock_s()
        aged = self.catalog.take_ages(message.older_by_wait(now), now=now)
        for item in aged:
            self._renew(item, message, now)
        if aged:
            self._on_change()

    def _with_ages(
        self, items: tuple[PublishedItem, ...], now: float
    ) -> list[PublishedItem]:
        """Give changes of unknown age the oldest one that they can have.

        Only what is newer than all that is known here is a change: a record
        that was known without its age is as old as before.
        """
        age_s = self.reading.unknown_age_s(
            now, is_informed=bool(self.catalog.revision)
        )
        if age_s is None:
            return list(items)
        return [
            evolve(item, age_s=age_s)
            if item.age_s < 0 and item.revision > self.catalog.revision
            else item
            for item in items
        ]

    def _ask_for_ages(self) -> None:
        """Ask a peer how old the records are that a new process has listed.

        Without it a process that is restarted in the middle of a change of
        versions takes the change for an old one, and uses only the engines
        that have loaded it.
        """
        peers = [word.ip for word in self._peers.entries()]
        others = [ip for ip in peers if ip != self._node.ip]
        if others:
            ip = self._random.choice(others)
            self.spawn(self._learn_ages(f'{ip}:{self._node.rpc_port}'))

    async def _learn_ages(self, address: str) -> None:
        asked_at = clock_s()
        try:
            reply = await self._client.call(
                address, AGES, AgesAsk(), timeout_s=AGES_TIMEOUT_S
            )
        except PeerLostError as exc:
            self._log.info('ages not read: %s', exc)
            return
        self.post(AgesCame(reply.ages, address, asked_at))

    async def _pull(self, address: str) -> None:
        ask = ChangesAsk(self.catalog.revision, takes_deflated=True)
        asked_at = clock_s()
        try:
            changes = await self._client.call(
                address, CHANGES, ask, timeout_s=self._pull_timeout.seconds
            )
        except PeerLostError as exc:
            self._pull_timeout.on_lost(clock_s() - asked_at)
            self._log.info('changes not read: %s', exc)
            return
        finally:
            self._pulling = False
        self._pull_timeout.on_answer(clock_s() - asked_at)
        self.reading.on_peer(changes.confirmed_s, asked_at)
        for item in changes.items:
            if item.age_s >= 0:
                self._lag.record(item.age_s)
        self.post(told_records(changes, address, as_of=asked_at))

    async def _read_for_ever(self, source: PublishedSource) -> None:
        """List once, then watch; list again where changes were missed."""
        while True:
            names = [word.ip for word in self._peers.entries()]
            self.reading.on_entries(names)
            step = self.reading.step(clock_s())
            try:
                await self._step(source, step)
            except HistoryGoneError as exc:
                self.reading.on_forgotten()
                self._note_call(step, 'history_gone', exc)
            except PlatformError as exc:
                self._on_failed(step, exc)
                await asyncio.sleep(self.reading.pause_s(self._random))

    async def _step(self, source: PublishedSource, step: StoreStep) -> None:
        match step:
            case StoreStep.REST:
                self._watch_times.on_rest()
                until_due_s = max(self.reading.lists_at - clock_s(), 0)
                rest_s = until_tick_s(REST_S)
                await asyncio.sleep(min(rest_s, until_due_s + TICK_S))
            case StoreStep.LIST:
                is_informed = bool(self.catalog.revision)
                asked_at = clock_s()
                listing = await source.list_all()
                self._watch_times.on_listed(asked_at)
                self._on_answer(step)
                self.reading.on_listed()
                self.post(read_records(listing, is_whole=True))
                # The watch goes on from what this list brings in.
                await asyncio.sleep(0)
                if not is_informed:
                    self._ask_for_ages()
            case StoreStep.WATCH:
                await self._watch(source)

    async def _watch(self, source: PublishedSource) -> None:
        after = self.catalog.revision
        asked_at = clock_s()
        listing = await source.watch(after, wait_s=WATCH_WAIT_S)
        confirmed_at = self.reading.confirmed_at
        self._on_answer(StoreStep.WATCH)
        since = self._watch_times.published_since(
            asked_at,
            Heard(confirmed_at, self.reading.returned_at),
            has_changes=bool(listing.items),
        )
        if not listing.items:
            self._peers.set_knowledge(after, self.reading.confirmed_at)
            return
        self.post(read_records(listing, is_whole=False, as_of=since))
        await asyncio.sleep(self.reading.gather_s)

    def _on_answer(self, step: StoreStep) -> None:
        if self.reading.failures:
            self._away_at = clock_s()
            self._log.info(
                'platform answers again',
                extra={'step': step.value, 'failures': self.reading.failures},
            )
        self.reading.on_answer(clock_s())
        self._calls.add(call=step.value, outcome='ok')

    def _on_failed(self, step: StoreStep, exc: PlatformError) -> None:
        self.reading.on_failed()
        self._away_at = clock_s()
        self._note_call(step, 'failed', exc)

    def _note_call(
        self,
        step: StoreStep,
        outcome: str,
        exc: PlatformError,
    ) -> None:
        self._calls.add(call=step.value, outcome=outcome)
        self._log.warning(
            'platform call failed',
            extra={
                'step': step.value,
                'reason': str(exc),
                'failures': self.reading.failures,
                'confirmed_s': round(self.reading.confirmed_s(clock_s()), 3),
            },
        )

    def _renew(
        self, item: PublishedItem, message: RecordsCame | AgesCame, now: float
    ) -> None:
        teller = message.teller
        if item.payload is None:
            may_return = now - self._away_at < RETURN_S
            self.view.on_removed(item.key, now=now, may_return=may_return)
            self._note(item, 'removed', teller)
            return
        try:
            record = decoded_record(self._source, item)
        except BadRecordError as exc:
            self._log.error(
                'record refused',
                extra={'step': 'decode', 'key': item.key, 'reason': str(exc)},
            )
            self.view.on_unreadable(item.key, now=now)
            return
        if record is None:
            return
        age_s = self.catalog.age_s(item.key, now=now)
        named = record if isinstance(record, NamedVersion) else None
        ended_at = self._ends.before(named) if named else math.inf
        self.view.on_record(item.key, record, age_s=age_s, now=now)
        self._note(item, shown(record), teller)
        if named is not None:
            self._ends.tell(
                named,
                ended_at=ended_at,
                teller=teller,
                age_by=message.age_by(item.key, age_s),
                now=now,
            )

    def _note(self, item: PublishedItem, what: str, teller: str) -> None:
        self._log.info(
            'record taken',
            extra={
                'step': 'record',
                'record': what,
                'key': item.key,
                'revision': item.revision,
                'teller': teller,
                'age_s': round(item.age_s, 3),
            },
        )

    async def _sweep_for_ever(self) -> None:
        self._watch_times.tick()
        while True:
            await sleep_to_tick(SWEEP_S)
            self._watch_times.tick()
            if self.view.forget_gone(now=clock_s()):
                self._on_change()

    def status(self) -> dict[str, Any]:
        """Tell what is in force."""
        config = self.view.config
        return {
            'revision': self.catalog.revision,
            'config_version': config.version if config else 0,
            'platform_confirmed_s': round(
                self.reading.confirmed_s(clock_s()), 3
            ),
            'watch_rank': self.reading.rank,
            'upstreams': len(self.view.listed()),
        }
