"""Bytes that published records take on the links between processes."""

from __future__ import annotations

import contextlib
import json
import zlib
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from attrs import evolve
from crowrudder_platform._records import CONFIG_KEY, VERSION_PREFIX
from crowrudder_platform.adapter import PlatformStore

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet import CatalogTask
from crowrudder_daemon.fleet._records import (
    PeerAhead,
    RecordsReceived,
    platform_records,
)
from crowrudder_daemon.http import ConnectionPool
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model.fleet import Node
from crowrudder_model.messages import ChangesRequest, PublishedItem
from crowrudder_model.rpc import CHANGES
from support.counted import LINK_IP, CountedLink, counted
from support.fleet import PEER_PORTS, ROUTES, route, runtime_of
from support.fleet_checks import checked

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

VERSION_KEY = f'{VERSION_PREFIX}m'
SLOW_LINK_BYTES_PER_S = 4_700_000 / 8
"""Link of an agent's host: the narrowest one known."""

MAX_LINK_BUSY_S = 0.05
"""Longest time for which a change may occupy such a link: two intervals between
tokens of a stream at the design size."""

MAX_CHANGE_BYTES = int(SLOW_LINK_BYTES_PER_S * MAX_LINK_BUSY_S)
MAX_AGE_BYTES = 64
"""Per record: its key, usually some 20 bytes, and two numbers."""

FRAMING_BYTES = 512
"""Overhead of an answer: settings of a new connection, headers, pings."""

MORE_ROUTES = tuple(
    route(f'more-{number}', f'/more/{number}/', 'safe', 'plain')
    for number in range(1400)
)


class RecordingSource(PlatformStore):
    """A platform that this process can't reach; records the decoded payloads."""

    def __init__(self) -> None:
        super().__init__('127.0.0.1:9', ConnectionPool())
        self.decoded: dict[str, bytes] = {}

    def decode(self, key: str, payload: bytes) -> Any:
        self.decoded[key] = payload
        return super().decode(key, payload)


class ReceivingCatalog(CatalogTask):
    """A process that receives records only by calls to one other process."""

    def __init__(self, link: CountedLink) -> None:
        node = Node(
            host='learner', role='agent', ip='127.0.0.9', peer_ports=PEER_PORTS
        )
        peers: Any = SimpleNamespace(
            set_knowledge=lambda *_known: None,
            entries=lambda: [SimpleNamespace(ip=LINK_IP)],
        )
        self.link = link
        self.source = RecordingSource()
        super().__init__(
            runtime_of(node),
            node,
            source=self.source,
            peers=peers,
            client=PeerClient(),
            on_change=lambda: None,
        )

    async def list_platform(self, world: Any) -> None:
        """Apply all records of the platform, as at the start of a process."""
        source = PlatformStore(world.store_address, ConnectionPool())
        listing = await source.list_all()
        self.on_records_received(platform_records(listing, is_whole=True))

    def start(self) -> None:
        """Handle messages, without reading the platform."""
        self.spawn(self._loop())

    async def receive_changes(self, world: Any) -> int:
        """Request the other process's changes; return the bytes received."""
        await world.ready()
        before = self.link.down_bytes
        self.on_peer_ahead(PeerAhead(self.link.address, world.store_position))
        await world.until(lambda: self.catalog.position >= world.store_position)
        return self.link.down_bytes - before


@contextlib.asynccontextmanager
async def run_receiving_catalog(world: Any) -> AsyncIterator[ReceivingCatalog]:
    """Run one more process, which receives records from the first entry only."""
    entry = world.entries[0]
    async with counted(f'{entry.node.ip}:{entry.node.rpc_port}') as link:
        task = ReceivingCatalog(link)
        task.start()
        try:
            yield task
        finally:
            await task.stop()
            await task._client.close()


class TestChangedConfiguration:
    def test_large_configuration_leaves_a_slow_link_free(self):
        """A large configuration must be deflated before it is sent.

        With 1,360 more routes the configuration is a record of 250 KB, whose
        routes are largely alike. Sent undeflated to every process, it occupies a
        link of 4.7 Mbit/s for 0.43 s and delays the closing of requests'
        connections. A change then took 0.5 to 2.3 s to be in force, and half of
        the streams of the next two seconds were late.
        """

        async def check(world):
            async with run_receiving_catalog(world) as task:
                await task.receive_changes(world)
                world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
                received_bytes = await task.receive_changes(world)
                published = world.store.records[CONFIG_KEY].value
                assert len(published) > 8 * MAX_CHANGE_BYTES
                assert task.source.decoded[CONFIG_KEY] == published
                known = world.entries[0].catalog.view.config
                assert task.view.config == known
                assert len(known.routes) == len(ROUTES) + len(MORE_ROUTES)
                assert received_bytes <= MAX_CHANGE_BYTES

        checked(check)

    def test_small_configuration_is_sent_unchanged(self):
        async def check(world):
            async with run_receiving_catalog(world) as task:
                await task.receive_changes(world)
                world.publish(version=5)
                await task.receive_changes(world)
                published = world.store.records[CONFIG_KEY].value
                assert task.source.decoded[CONFIG_KEY] == published
                assert json.loads(published)['version'] == 5
                assert task.view.config == world.entries[0].catalog.view.config

        checked(check)


class TestDeflatedRecords:
    def test_record_that_cant_be_inflated_is_refused_alone(self, caplog):
        """It is refused like any invalid record; the others are applied."""

        async def check(world):
            async with run_receiving_catalog(world) as task:
                await task.receive_changes(world)
                before = task.view.config
                revision = task.catalog.revision + 1
                corrupt = PublishedItem(
                    key=CONFIG_KEY,
                    revision=revision,
                    payload=zlib.compress(b'{}')[:-1],
                    is_deflated=True,
                )
                named = PublishedItem(
                    key='op/version/m',
                    revision=revision,
                    payload=b'{"model": "m", "version": 2}',
                )
                caplog.clear()
                task.on_records_received(
                    RecordsReceived(
                        (corrupt, named),
                        evolve(task.catalog.position, revision=revision),
                        False,
                        'a peer',
                    )
                )
                refused = [
                    line for line in caplog.records if line.levelname == 'ERROR'
                ]
                (record,) = refused
                assert record.message == 'record refused'
                assert vars(record)['key'] == CONFIG_KEY
                assert vars(record)['reason']
                assert task.view.config is before
                release = task.view.releases.newest('m')
                assert release and release.version == 2
                # The refused record used up its revision; the next one is
                # applied.
                world.publish(version=4)
                world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
                await task.receive_changes(world)
                assert task.view.config == world.entries[0].catalog.view.config

        checked(check)

    def test_previous_release_receives_records_as_published(self):
        """A fleet is updated process by process.

        A process that starts on the older release requests all records from one
        of the newer release. It can't inflate records; if it received them
        deflated, it would have no configuration and serve no request.
        """

        async def check(world):
            world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
            async with run_receiving_catalog(world) as task:
                await world.ready()
                reply = await task._client.call(
                    task.link.address, CHANGES, ChangesRequest(0)
                )
                payloads = {each.key: each.payload for each in reply.items}
                published = world.store.records[CONFIG_KEY].value
                assert payloads[CONFIG_KEY] == published
                assert not any(each.is_deflated for each in reply.items)

        checked(check)

    def test_platform_list_changes_no_record_of_a_peer(self):
        """A published record and its deflated form are the same record."""

        async def check(world):
            world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
            async with run_receiving_catalog(world) as task:
                await task.receive_changes(world)
                known = {each.key: each for each in task.catalog.items()}
                assert known[CONFIG_KEY].is_deflated
                task.source.decoded.clear()
                source = PlatformStore(world.store_address, ConnectionPool())
                listing = await source.list_all()
                task.on_records_received(
                    platform_records(listing, is_whole=True)
                )
                task.on_records_received(
                    RecordsReceived(
                        listing.items, listing.through, True, 'platform'
                    )
                )
                assert not task.source.decoded
                assert known == {
                    each.key: each for each in task.catalog.items()
                }

        checked(check)


class TestAges:
    def test_new_process_requests_only_ages(self):
        """A new process must not load all records again to get their ages.

        A restarted process lists the platform, which has no ages, and requests
        them from another process. If it requested the changes after revision 0,
        it would receive a second copy of all records over its link, and its
        requests would wait behind them.
        """

        async def check(world):
            world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
            for number in range(100):
                world.store.put(f'other/{number:03}', b'%d' % number * 200)
            world.name_version(2)
            await world.ready()
            async with run_receiving_catalog(world) as task:
                await task.list_platform(world)
                known = task.catalog.items()
                position = task.catalog.position
                assert task.catalog.age_s(VERSION_KEY, now=clock_s()) is None
                task._request_ages()
                await world.until(
                    lambda: (
                        task.catalog.age_s(VERSION_KEY, now=clock_s())
                        is not None
                    )
                )
                max_bytes = MAX_AGE_BYTES * len(known) + FRAMING_BYTES
                assert task.link.down_bytes <= max_bytes
                assert task.catalog.items() == known
                assert task.catalog.position == position
                assert task.view.releases.ends_at('m', 1) > clock_s()

        checked(check)
