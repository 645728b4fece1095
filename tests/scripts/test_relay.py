from __future__ import annotations

import asyncio
import os

import pytest
from _end_state import went_back
from _process import Ports
from _relay import Relay

from support.aio import run

US, TARGET = 'us', 'target'
GENERATIONS = {'a': 1, 'b': 2, 'c': 2}
PAIR = frozenset((US, TARGET))


async def echo(reader, writer):
    while piece := await reader.read(100):
        writer.write(piece)
    writer.close()


class Relayed:
    """An echo behind a relay; to be used with `async with`."""

    async def __aenter__(self):
        ports = Ports()
        own, self.port = ports.free(), ports.free()
        self.relay = Relay(lambda: {US: os.getpid()})
        self.relay.add(TARGET, '127.0.0.1', listed_port=self.port, own_port=own)
        await self.relay.listen(TARGET)
        self.server = await asyncio.start_server(echo, '127.0.0.1', own)
        return self

    async def __aexit__(self, *exc):
        self.relay.close_all()
        self.server.close()

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)


async def echoed(streams, word):
    reader, writer = streams
    writer.write(word)
    return await reader.readexactly(len(word))


class TestRelay:
    def test_passes_on(self):
        async def story():
            async with Relayed() as relayed:
                assert await echoed(await relayed.connect(), b'one') == b'one'

        run(story())

    def test_cut_breaks_old_and_new_connections_until_healed(self):
        async def story():
            async with Relayed() as relayed:
                old = await relayed.connect()
                await echoed(old, b'one')
                relayed.relay.cut([PAIR])
                for each in (old, await relayed.connect()):
                    with pytest.raises((asyncio.IncompleteReadError, OSError)):
                        await echoed(each, b'two')
                relayed.relay.heal([PAIR])
                new = await relayed.connect()
                assert await echoed(new, b'three') == b'three'

        run(story())

    @pytest.mark.parametrize('way', [(US, TARGET), (TARGET, US)])
    def test_frozen_direction_holds_bytes_until_thawed(self, way):
        async def story():
            async with Relayed() as relayed:
                streams = await relayed.connect()
                await echoed(streams, b'one')
                relayed.relay.freeze(*way)
                held = asyncio.create_task(echoed(streams, b'two'))
                await asyncio.wait([held], timeout=0.1)
                assert not held.done()
                relayed.relay.thaw(*way)
                assert await held == b'two'

        run(story())

    def test_closed_port_refuses(self):
        async def story():
            async with Relayed() as relayed:
                relayed.relay.close(TARGET)
                with pytest.raises(ConnectionRefusedError):
                    await relayed.connect()

        run(story())


class TestTrail:
    @pytest.mark.parametrize(
        ('before', 'after', 'bad'),
        [
            ('', 'a', False),
            ('a', 'b', False),
            ('b', 'c', False),
            ('b', 'a', True),
            ('c', 'b', True),
            ('a', 'nobody published it', True),
        ],
    )
    def test_bundle_order_never_goes_back(self, before, after, bad):
        event = {'kind': 'configuration', 'subject': 'bundle'}
        event = {**event, 'before': before, 'after': after}
        assert bool(went_back([event], GENERATIONS)) is bad
