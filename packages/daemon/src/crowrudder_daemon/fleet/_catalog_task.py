"""The task that owns the published records and receives their changes."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Any

from attrs import evolve

from crowrudder_core.catalog import (
    LAPSE_GRACE_S,
    RECOVERY_WINDOW_S,
    RETURN_GRACE_S,
    Catalog,
    FleetView,
    StoreReadPolicy,
    StoreStep,
    confirmed_until,
)
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._task import Task
from crowrudder_daemon._ticks import sleep_to_tick, until_tick_s
from crowrudder_daemon.fleet._record_fetches import RecordFetches
from crowrudder_daemon.fleet._record_log import RecordLog
from crowrudder_daemon.fleet._records import (
    AgesReceived,
    PeerAhead,
    RecordsReceived,
    decode_item,
    platform_records,
)
from crowrudder_daemon.fleet._records_service import RecordsService
from crowrudder_daemon.fleet._store_calls import StoreCalls
from crowrudder_daemon.fleet._version_ends import VersionEnds
from crowrudder_daemon.fleet._watch_times import Heard, WatchTimes
from crowrudder_daemon.fleet.ports import (
    BadRecordError,
    HistoryGoneError,
    PlatformError,
)
from crowrudder_model import NO_POSITION, PeerLostError
from crowrudder_model.fleet import TargetVersion
from crowrudder_model.messages import AgesRequest
from crowrudder_model.rpc import AGES

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.fleet._peers_task import PeersTask
    from crowrudder_daemon.fleet.ports import Listing, PublishedSource
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer
    from crowrudder_model import StorePosition
    from crowrudder_model.fleet import Node, PublishedRecord
    from crowrudder_model.messages import PublishedItem

IDLE_CHECK_INTERVAL_S = 0.2
"""Interval in seconds at which a process that doesn't watch the platform
itself checks whether it must take over."""

DUE_MARGIN_S = 0.005
"""Seconds added to a wait for a point in time, so that it ends after it."""

STARTUP_ALLOWANCE_S = 1.0
"""Seconds from a process's start until this task is created, with a margin.
The settling time that the operators allow, in which the bounds aren't enforced,
is shortened by it."""

AGES_TIMEOUT_S = 1.0
SWEEP_INTERVAL_S = 0.2


class CatalogTask(Task):
    """Owns the catalog and the view of the fleet that is derived from it.

    Parameters
    ----------
    source
        The platform's store of published records.
    peers
        Lists the live entries, and sends the revision of this process.
    client
        Calls other processes.
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
        self._last_outage_at = -1.0e9
        self._watch_times = WatchTimes(SWEEP_INTERVAL_S)
        self.catalog = Catalog()
        self._fetches = RecordFetches(
            runtime,
            self.catalog,
            client,
            spawn=self.spawn,
            on_records=self.handle_immediately,
        )
        settling_s = node.bounds.settle_s - STARTUP_ALLOWANCE_S
        now = clock_s()
        self.view = FleetView(node.bounds.version_s, now + settling_s, now)
        self._ends = VersionEnds(runtime.log, self.view.releases)
        self._record_log = RecordLog(runtime, node.place, self.view.evacuations)
        # Agents receive records from entries; they read the platform themselves
        # only if no entry has reported anything for a while.
        is_entry = node.role == 'entry'
        self.reading = StoreReadPolicy(
            own=node.ip, is_reader=is_entry, bound_s=node.bounds.config_s
        )
        self.reading.on_start(clock_s(), lists_at_once=is_entry)
        self._calls = StoreCalls(runtime, self.reading)

    def serve(self, server: PeerServer) -> None:
        """Serve the calls of other processes for changes and ages."""
        RecordsService(self.catalog, self.reading).serve(server)

    def start(self) -> None:
        """Start to read the platform."""
        super().start()
        self.spawn(self._sweep_forever())
        self.spawn(self._read_forever(self._source))

    def is_current(self) -> bool:
        """Return whether the records are confirmed within the allowed age."""
        return self.reading.is_current(clock_s(), self._node.bounds.config_s)

    def peer_report_received(
        self, ip: str, position: StorePosition, confirmed_at: float | None
    ) -> None:
        """Receive a peer's position and confirmation from a heartbeat.

        A peer that is ahead confirms nothing here. Its records are fetched,
        and come with its confirmation.
        """
        known = self.catalog.position
        if position > known:
            self.post(PeerAhead(f'{ip}:{self._node.rpc_port}', position))
        elif position.era == known.era and confirmed_at is not None:
            self._on_confirmed(confirmed_at, clock_s(), by=ip)

    def on_peer_ahead(self, message: PeerAhead) -> None:
        """Fetch the missing changes from a peer."""
        self._fetches.on_peer_ahead(message)

    def on_records_received(self, message: RecordsReceived) -> None:
        """Apply records and refresh the view."""
        now = clock_s()
        before = self.catalog.position
        if message.applies_after(before):
            # Before the ages are assumed, which depend on the last outage.
            self.reading.on_confirmed(
                message.confirmed_at, now, by=message.teller
            )
        apply_items = (
            self.catalog.replace if message.is_whole else self.catalog.apply
        )
        items = message.add_elapsed_time(
            self._with_assumed_ages(message, now), now
        )
        changed = apply_items(items, through=message.through, now=now)
        self.reading.on_informed()
        is_recent = now - self._last_outage_at < RECOVERY_WINDOW_S
        grace_s = LAPSE_GRACE_S if is_recent else 0.0
        if before != NO_POSITION and self.catalog.position.era != before.era:
            self._on_new_era(before, message, now)
            grace_s = RETURN_GRACE_S
        for item in changed:
            self._refresh_view(item, message, now, grace_s=grace_s)
        self._peers.set_knowledge(
            self.catalog.position,
            self.reading.confirmed_at,
        )
        if changed or before != self.catalog.position:
            self._on_change()

    def _on_confirmed(self, at: float, now: float, *, by: str) -> None:
        """Record a confirmation of the known records, and pass it on."""
        self.reading.on_confirmed(at, now, by=by)
        self._peers.set_knowledge(
            self.catalog.position, self.reading.confirmed_at
        )

    def _on_new_era(
        self, before: StorePosition, message: RecordsReceived, now: float
    ) -> None:
        """Let upstreams that the store's copy lacks register again."""
        self._last_outage_at = now
        self._log.warning(
            'platform in a new era',
            extra={
                'step': 'era',
                'era': self.catalog.position.era,
                'revision': self.catalog.position.revision,
                'before': str(before),
                'teller': message.teller,
                'kept': [item.key for item in self.catalog.kept(now=now)],
            },
        )

    def on_ages_received(self, message: AgesReceived) -> None:
        """Apply ages and refresh the view of the records that had none."""
        now = clock_s()
        changed = self.catalog.keep(message.kept, era=message.era, now=now)
        changed += self.catalog.apply_ages(
            message.add_elapsed_time(now), era=message.era, now=now
        )
        for item in changed:
            self._refresh_view(item, message, now)
        if changed:
            self._on_change()

    def _with_assumed_ages(
        self, message: RecordsReceived, now: float
    ) -> list[PublishedItem]:
        """Set the age of changes of unknown age to the highest possible one.

        A record that was known without its age keeps its unknown age.
        """
        age_s = self.reading.unknown_age_s(
            now, is_informed=self.catalog.position != NO_POSITION
        )
        if age_s is None:
            return list(message.items)
        return [
            evolve(item, age_s=age_s)
            if item.age_s < 0
            and not self.catalog.is_known(item, message.through)
            else item
            for item in message.items
        ]

    def _request_ages(self) -> None:
        """Request the ages of the records that a new process has listed.

        Without them, a process that is restarted during a change of versions
        treats the change as an old one, and uses only the engines that have
        loaded the new version.
        """
        peers = [entry.ip for entry in self._peers.entries()]
        others = [ip for ip in peers if ip != self._node.ip]
        if others:
            ip = self._random.choice(others)
            self.spawn(self._fetch_ages(f'{ip}:{self._node.rpc_port}'))

    async def _fetch_ages(self, address: str) -> None:
        asked_at = clock_s()
        try:
            reply = await self._client.call(
                address, AGES, AgesRequest(), timeout_s=AGES_TIMEOUT_S
            )
        except PeerLostError as exc:
            self._log.info('ages not read: %s', exc)
            return
        self.post(
            AgesReceived(reply.ages, address, reply.era, reply.kept, asked_at)
        )

    async def _read_forever(self, source: PublishedSource) -> None:
        """List once, then watch; list again if changes were missed."""
        while True:
            names = [entry.ip for entry in self._peers.entries()]
            self.reading.on_entries(names)
            step = self.reading.step(clock_s())
            try:
                await self._step(source, step)
            except HistoryGoneError as exc:
                self.reading.on_history_lost()
                self._calls.on_failure(step, 'history_gone', exc)
                await asyncio.sleep(self.reading.pause_s(self._random))
            except PlatformError as exc:
                self._on_failure(step, exc)
                await asyncio.sleep(self.reading.pause_s(self._random))

    async def _step(self, source: PublishedSource, step: StoreStep) -> None:
        match step:
            case StoreStep.IDLE:
                self._watch_times.on_idle()
                until_due_s = self.reading.due_in_s(clock_s())
                rest_s = until_tick_s(IDLE_CHECK_INTERVAL_S)
                if until_due_s:
                    rest_s = min(rest_s, until_due_s + DUE_MARGIN_S)
                await asyncio.sleep(rest_s)
            case StoreStep.LIST:
                await self._list(source)
            case StoreStep.WATCH:
                await self._watch(source)

    async def _list(self, source: PublishedSource) -> None:
        before = self.catalog.position
        self._calls.on_begun()
        listing = await source.list_all()
        self._check_era(listing)
        self._watch_times.on_listed(self._calls.began_at)
        self._on_answer(StoreStep.LIST, listing)
        self.reading.on_listed()
        self.handle_immediately(
            platform_records(
                listing, is_whole=True, confirmed_at=self._calls.began_at
            )
        )
        if before.era != self.catalog.position.era or before == NO_POSITION:
            self._request_ages()

    async def _watch(self, source: PublishedSource) -> None:
        after = self.catalog.position
        self._calls.on_begun()
        asked_at = self._calls.began_at
        wait_s = self.reading.watch_wait_s(asked_at)
        listing = await source.watch(after, wait_s=wait_s)
        self._check_era(listing)
        self._on_answer(StoreStep.WATCH, listing)
        is_ahead = not listing.items and listing.through > after
        if listing.through.era != after.era or is_ahead:
            # What was published since isn't in the answer: the revision
            # belongs to another history, or the changes up to it are missing.
            self.reading.on_history_lost()
            return
        self.reading.on_watched(has_changes=bool(listing.items))
        since = self._watch_times.published_since(
            asked_at,
            Heard(self.reading.confirmed_at, self.reading.returned_at),
            has_changes=bool(listing.items),
            wait_s=wait_s,
        )
        confirmed_at = confirmed_until(
            asked_at,
            clock_s(),
            wait_s=wait_s,
            has_changes=bool(listing.items),
        )
        if not listing.items:
            self._on_confirmed(confirmed_at, clock_s(), by='platform')
            return
        self.handle_immediately(
            platform_records(
                listing,
                is_whole=False,
                as_of=since,
                confirmed_at=confirmed_at,
            )
        )
        await asyncio.sleep(self.reading.batch_pause_s)

    def _check_era(self, listing: Listing) -> None:
        """Refuse an answer of a store that is behind what it was before.

        Raises
        ------
        PlatformError
            If the answer is of an earlier era than the known records.
        """
        era, known = listing.through.era, self.catalog.position.era
        if era < known:
            raise PlatformError(
                f'answers of era {era}, known is {known}', step='era', era=era
            )

    def _on_answer(self, step: StoreStep, listing: Listing) -> None:
        if self.reading.failures:
            self._last_outage_at = clock_s()
            self._log.info(
                'platform answers again',
                extra={'step': step.value, 'failures': self.reading.failures},
            )
        self._calls.on_answer(step, listing)
        self.reading.on_answer(clock_s())

    def _on_failure(self, step: StoreStep, exc: PlatformError) -> None:
        self.reading.on_failed()
        if (exc.era or 0) > self.catalog.position.era:
            self.reading.on_history_lost()
        self._last_outage_at = clock_s()
        self._calls.on_failure(step, 'failed', exc)

    def _refresh_view(
        self,
        item: PublishedItem,
        message: RecordsReceived | AgesReceived,
        now: float,
        *,
        grace_s: float = 0,
    ) -> None:
        teller = message.teller
        if item.payload is None:
            self.view.on_removed(item.key, now=now, grace_s=grace_s)
            self._log_record(item, None, teller)
            return
        try:
            record = decode_item(self._source, item)
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
        named = record if isinstance(record, TargetVersion) else None
        ended_at = self._ends.previous_end(named) if named else math.inf
        self.view.on_record(item.key, record, age_s=age_s, now=now)
        self._log_record(item, record, teller)
        if named is not None:
            self._ends.log_change(
                named,
                ended_at=ended_at,
                teller=teller,
                age_by=message.age_by(item.key, age_s),
                now=now,
            )

    def _log_record(
        self,
        item: PublishedItem,
        record: PublishedRecord | None,
        teller: str,
    ) -> None:
        self._record_log.on_taken(
            item, record, era=self.catalog.position.era, teller=teller
        )

    async def _sweep_forever(self) -> None:
        self._watch_times.tick()
        while True:
            await sleep_to_tick(SWEEP_INTERVAL_S)
            self._watch_times.tick()
            self._sweep(clock_s())

    def _sweep(self, now: float) -> None:
        expired = self.view.remove_expired(now=now)
        released = self.catalog.release_held(now=now)
        message = RecordsReceived(
            tuple(released), self.catalog.position, False, 'hold'
        )
        for item in released:
            self._refresh_view(item, message, now)
        if expired or released:
            self._on_change()

    def status(self) -> dict[str, Any]:
        """Return the state of the records for the status page."""
        config = self.view.config
        return {
            'era': self.catalog.position.era,
            'revision': self.catalog.position.revision,
            'config_version': config.version if config else 0,
            'platform_confirmed_s': round(
                self.reading.confirmed_s(clock_s()), 3
            ),
            'platform_confirmed_by': self.reading.confirmed_by,
            'watch_rank': self.reading.rank,
            'upstreams': len(self.view.listed()),
            'evacuated': sorted(self.view.evacuations.domains),
        }
