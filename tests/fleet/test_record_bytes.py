"""What published records cost on the links between processes."""

from __future__ import annotations

import contextlib
import json
import zlib
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from crowrudder_platform import PlatformStore
from crowrudder_platform._records import CONFIG_KEY, VERSION_PREFIX

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet import CatalogTask
from crowrudder_daemon.fleet._records import (
    PeerAhead,
    RecordsCame,
    platform_records,
)
from crowrudder_daemon.http import ConnectionPool
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model.fleet import Node
from crowrudder_model.messages import ChangesAsk, PublishedItem
from crowrudder_model.rpc import CHANGES
from support.counted import LINK_IP, CountedLink, counted
from support.fleet import PEER_PORTS, ROUTES, route, runtime_of
from support.fleet_checks import checked

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

VERSION_KEY = f'{VERSION_PREFIX}m'
SLOW_LINK_BYTES_PER_S = 4_700_000 / 8
"""An agent's host on the narrowest link that was met."""

CHANGE_S = 0.05
"""For so long a change may keep such a link busy: two pauses of a stream's
tokens at the size to design for."""

MOST_CHANGE_BYTES = int(SLOW_LINK_BYTES_PER_S * CHANGE_S)
MOST_AGE_BYTES = 64
"""Of one record: its key, of which most have some 20 bytes, and two numbers."""

FRAMES_BYTES = 512
"""What goes around an answer: a new connection's settings, headers, pings."""

MORE_ROUTES = tuple(
    route(f'more-{number}', f'/more/{number}/', 'safe', 'plain')
    for number in range(1400)
)


class Source(PlatformStore):
    """A platform that this process can't read; notes what it decodes."""

    def __init__(self) -> None:
        super().__init__('127.0.0.1:9', ConnectionPool())
        self.decoded: dict[str, bytes] = {}

    def decode(self, key: str, payload: bytes) -> Any:
        self.decoded[key] = payload
        return super().decode(key, payload)


class Learner(CatalogTask):
    """A process that learns of records from one other alone, by calls."""

    def __init__(self, link: CountedLink) -> None:
        node = Node(
            host='learner', role='agent', ip='127.0.0.9', peer_ports=PEER_PORTS
        )
        peers: Any = SimpleNamespace(
            set_knowledge=lambda *_known: None,
            entries=lambda: [SimpleNamespace(ip=LINK_IP)],
        )
        self.link = link
        self.source = Source()
        super().__init__(
            runtime_of(node),
            node,
            source=self.source,
            peers=peers,
            client=PeerClient(),
            on_change=lambda: None,
        )

    async def list_platform(self, world: Any) -> None:
        """Take all records from the platform, as at a start."""
        source = PlatformStore(world.store_address, ConnectionPool())
        listing = await source.list_all()
        self.on_records_came(platform_records(listing, is_whole=True))

    def start(self) -> None:
        """Work on messages, without reading the platform."""
        self.spawn(self._loop())

    async def learn(self, world: Any) -> int:
        """Take what the other has; give the bytes that it took."""
        await world.ready()
        before = self.link.down_bytes
        self.on_peer_ahead(PeerAhead(self.link.address, world.store.revision))
        await world.until(lambda: self.catalog.revision >= world.store.revision)
        return self.link.down_bytes - before


@contextlib.asynccontextmanager
async def learner(world: Any) -> AsyncIterator[Learner]:
    """Run one more process that only the first entry tells anything."""
    entry = world.entries[0]
    async with counted(f'{entry.node.ip}:{entry.node.rpc_port}') as link:
        task = Learner(link)
        task.start()
        try:
            yield task
        finally:
            await task.stop()
            await task._client.close()


class TestChangedConfiguration:
    def test_a_large_one_leaves_a_slow_link_free(self):
        """Streams pause and requests are late after a change of routes.

        Symptom: with 1,360 more routes every change of the configuration is
        in force after 0.5 to 2.3 s, and in the two seconds after it each
        second stream is late. Sequence: the configuration is one record of
        250 KB; it goes whole to every process that hears of it, 0.43 s of a
        link of 4.7 Mbit/s, and what closes a request's connection waits
        behind it. Cause: the record's text went out as it stands, though its
        routes repeat one another.
        """

        async def check(world):
            async with learner(world) as task:
                await task.learn(world)
                world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
                took_bytes = await task.learn(world)
                published = world.store.records[CONFIG_KEY].value
                assert len(published) > 8 * MOST_CHANGE_BYTES
                assert task.source.decoded[CONFIG_KEY] == published
                known = world.entries[0].catalog.view.config
                assert task.view.config == known
                assert len(known.routes) == len(ROUTES) + len(MORE_ROUTES)
                assert took_bytes <= MOST_CHANGE_BYTES

        checked(check)

    def test_a_small_one_comes_as_it_is(self):
        async def check(world):
            async with learner(world) as task:
                await task.learn(world)
                world.publish(version=5)
                await task.learn(world)
                published = world.store.records[CONFIG_KEY].value
                assert task.source.decoded[CONFIG_KEY] == published
                assert json.loads(published)['version'] == 5
                assert task.view.config == world.entries[0].catalog.view.config

        checked(check)


class TestForms:
    def test_one_that_cant_be_inflated_takes_no_other_with_it(self, caplog):
        """It is refused like any record that can't be read."""

        async def check(world):
            async with learner(world) as task:
                await task.learn(world)
                before = task.view.config
                revision = task.catalog.revision + 1
                spoilt = PublishedItem(
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
                task.on_records_came(
                    RecordsCame((spoilt, named), revision, False, 'a peer')
                )
                refused = [
                    line for line in caplog.records if line.levelname == 'ERROR'
                ]
                (told,) = refused
                assert told.message == 'record refused'
                assert vars(told)['key'] == CONFIG_KEY
                assert vars(told)['reason']
                assert task.view.config is before
                release = task.view.releases.newest('m')
                assert release and release.version == 2
                # Its place in the order is taken; the next one counts again.
                world.publish(version=4)
                world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
                await task.learn(world)
                assert task.view.config == world.entries[0].catalog.view.config

        checked(check)

    def test_a_process_of_the_release_before_gets_it_as_published(self):
        """A fleet is updated process by process.

        Symptom: a process that starts on the older release has no
        configuration, and serves nobody. Sequence: it asks one of the newer
        release for all records. Cause: it can't inflate what it gets.
        """

        async def check(world):
            world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
            async with learner(world) as task:
                await world.ready()
                reply = await task._client.call(
                    task.link.address, CHANGES, ChangesAsk(0)
                )
                payloads = {each.key: each.payload for each in reply.items}
                published = world.store.records[CONFIG_KEY].value
                assert payloads[CONFIG_KEY] == published
                assert not any(each.is_deflated for each in reply.items)

        checked(check)

    def test_a_list_of_the_platform_changes_nothing_that_a_peer_told(self):
        """The one is as published, the other deflated: one record."""

        async def check(world):
            world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
            async with learner(world) as task:
                await task.learn(world)
                known = {each.key: each for each in task.catalog.items()}
                assert known[CONFIG_KEY].is_deflated
                task.source.decoded.clear()
                source = PlatformStore(world.store_address, ConnectionPool())
                listing = await source.list_all()
                task.on_records_came(platform_records(listing, is_whole=True))
                task.on_records_came(
                    RecordsCame(
                        listing.items, listing.through, True, 'platform'
                    )
                )
                assert not task.source.decoded
                assert known == {
                    each.key: each for each in task.catalog.items()
                }

        checked(check)


class TestAges:
    def test_a_new_process_asks_for_ages_alone(self):
        """A restart costs the links all records, though it has read them.

        Symptom: each process that is restarted takes a second copy of all
        records over its link, while its requests wait behind them. Sequence:
        it lists the platform, which shows no ages, and asks another process
        how old the records are. Cause: it asked for what was published after
        revision 0, which is everything.
        """

        async def check(world):
            world.publish(version=5, routes=(*ROUTES, *MORE_ROUTES))
            for number in range(100):
                world.store.put(f'other/{number:03}', b'%d' % number * 200)
            world.name_version(2)
            await world.ready()
            async with learner(world) as task:
                await task.list_platform(world)
                known = task.catalog.items()
                revision = task.catalog.revision
                assert task.catalog.age_s(VERSION_KEY, now=clock_s()) is None
                task._request_ages()
                await world.until(
                    lambda: (
                        task.catalog.age_s(VERSION_KEY, now=clock_s())
                        is not None
                    )
                )
                most_bytes = MOST_AGE_BYTES * len(known) + FRAMES_BYTES
                assert task.link.down_bytes <= most_bytes
                assert task.catalog.items() == known
                assert task.catalog.revision == revision
                assert task.view.releases.ends_at('m', 1) > clock_s()

        checked(check)
