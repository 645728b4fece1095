"""What published records cost on the links between processes."""

from __future__ import annotations

import contextlib
import json
import zlib
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from crowrudder_platform import PlatformStore
from crowrudder_platform._records import CONFIG_KEY

from crowrudder_daemon.fleet import CatalogTask
from crowrudder_daemon.fleet._records import (
    PeerAhead,
    RecordsCame,
    read_records,
)
from crowrudder_daemon.http import ConnectionPool
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model.fleet import Node
from crowrudder_model.messages import ChangesAsk, PublishedItem
from crowrudder_model.rpc import CHANGES
from support.counted import CountedLink, counted
from support.fleet import PEER_PORTS, ROUTES, route, runtime_of
from support.fleet_checks import checked

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SLOW_LINK_BYTES_PER_S = 4_700_000 / 8
"""An agent's host on the narrowest link that was met."""

CHANGE_S = 0.05
"""For so long a change may keep such a link busy: two pauses of a stream's
tokens at the size to design for."""

MOST_CHANGE_BYTES = int(SLOW_LINK_BYTES_PER_S * CHANGE_S)
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
        peers: Any = SimpleNamespace(set_knowledge=lambda *_known: None)
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
                task.on_records_came(read_records(listing, is_whole=True))
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
