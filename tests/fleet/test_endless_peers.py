"""Peers that send bytes without end: what is taken is bounded."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import Any

import pytest
from crowrudder_platform import _engine, _origin, _store
from crowrudder_platform.adapter import (
    PlatformEngine,
    PlatformOrigin,
    PlatformStore,
)
from grpc import StatusCode, aio

from crowrudder_core.dispatch import MAX_HEAD_BYTES
from crowrudder_core.membership._roster import MAX_ENTRIES
from crowrudder_core.transfer import FromOrigin, FromPeer, LinkShare
from crowrudder_daemon._caller_stream import MAX_REFUSED_BYTES
from crowrudder_daemon.chunks._collect import Collector
from crowrudder_daemon.chunks._sources import PeerSource
from crowrudder_daemon.chunks._stock import (
    EngineStatus,
    UploadSlots,
    build_inventory,
)
from crowrudder_daemon.fleet._peers_task import DatagramReceived
from crowrudder_daemon.fleet._role import MAX_REPLY_BYTES, MAX_REQUEST_BYTES
from crowrudder_daemon.fleet.ports import HistoryGoneError, PlatformError
from crowrudder_daemon.fleet_agent._library import MAX_UNUSED_VERSIONS
from crowrudder_daemon.fleet_agent._origin_chunks import OriginChunks
from crowrudder_daemon.fleet_entry import _long_bodies
from crowrudder_daemon.fleet_entry._host_links import MAX_ENGINES
from crowrudder_daemon.fleet_entry._load_relay import MAX_REPORTS
from crowrudder_daemon.fleet_entry._long_bodies import MAX_DISCARDED_BYTES
from crowrudder_daemon.http import ConnectionPool
from crowrudder_daemon.rpc import PeerClient, PeerServer
from crowrudder_model import (
    PeerLostError,
    StorePosition,
    UpstreamError,
    encode_message,
)
from crowrudder_model.messages import (
    Changes,
    ChangesRequest,
    ChunkInventory,
    ChunkPiece,
    EngineLoad,
    ForwardedStatus,
    Heartbeat,
    LastSeen,
    LoadBatch,
    MemberStatus,
    PublishedItem,
)
from crowrudder_model.rpc import CHANGES, CHUNK
from support.aio import run
from support.endless import (
    BLOCK_BYTES,
    ENDLESS_ANSWERS,
    HEAD,
    LINE,
    endless,
    flood,
    measured,
    repeated,
)
from support.fleet import HOST, KEY, fleet
from support.weights_versions import OLD, begin, version

KINDS = pytest.mark.parametrize('kind', sorted(ENDLESS_ANSWERS))
READ_AHEAD = 512 * 1024
"""Bytes that the loop reads at once beyond a bound, with a margin."""


@pytest.fixture
def taken(monkeypatch):
    """Measure bytes and turns of the loop."""
    with measured(monkeypatch) as found:
        yield found


def bound_of(kind, max_body_bytes):
    """Return how much of an answer of a kind may be taken, in bytes."""
    bound = max_body_bytes if kind.startswith('body') else MAX_HEAD_BYTES
    return bound + READ_AHEAD


async def asked(kind, ask):
    """Ask a peer that answers endlessly."""
    async with endless(*ENDLESS_ANSWERS[kind]) as peer:
        await ask(peer.address)


def page(keys, value='aa=='):
    items = [
        {'key': key, 'rev': 1, 'create_revision': 1, 'value': value}
        for key in keys
    ]
    body = json.dumps(
        {'items': items, 'store_revision': 7, 'more_pages': True}
    ).encode()
    return HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body


async def paged(answer_of):
    """Serve the answers that a function returns for each page's number."""
    asked_pages = 0

    async def on_connection(reader, writer):
        nonlocal asked_pages
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(answer_of(asked_pages))
            asked_pages += 1
            await writer.drain()

    server = await asyncio.start_server(on_connection, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    with pytest.raises(PlatformError) as caught:
        await PlatformStore(f'127.0.0.1:{port}', ConnectionPool()).list_all()
    server.close()
    return str(caught.value), asked_pages


class TestStore:
    """The store's answers; a list that was given up would remove records."""

    @KINDS
    def test_page_without_end(self, kind, taken):
        async def ask(address):
            with pytest.raises(PlatformError):
                await PlatformStore(address, ConnectionPool()).list_all()

        run(asked(kind, ask))
        taken.check(bound_of(kind, _store.MAX_ANSWER_BYTES))

    @KINDS
    def test_watch_without_end(self, kind, taken):
        async def ask(address):
            source = PlatformStore(address, ConnectionPool())
            with pytest.raises(PlatformError):
                await source.watch(StorePosition(1, 1), wait_s=0.2)

        run(asked(kind, ask))
        taken.check(bound_of(kind, _store.MAX_ANSWER_BYTES))

    def test_watch_that_is_too_long_leads_to_a_list(self):
        """The same changes would be too long in each further watch."""

        async def ask(address):
            source = PlatformStore(address, ConnectionPool())
            with pytest.raises(HistoryGoneError, match='longer than'):
                await source.watch(StorePosition(1, 1), wait_s=5)

        run(asked('body_by_length', ask))

    def test_pages_that_do_not_advance(self):
        """The list was asked for a hundred times and then taken as whole."""
        reason, asked_pages = run(paged(lambda _: page(['a', 'b'])))
        assert 'do not advance' in reason
        assert asked_pages == 2

    def test_pages_without_items(self):
        """The records read so far were taken as all of them."""
        reason, asked_pages = run(paged(lambda _: page([])))
        assert 'do not advance' in reason
        assert asked_pages == 1

    def test_pages_without_end(self):
        """After a hundred pages the list was taken as whole."""
        reason, asked_pages = run(paged(lambda n: page([f'k{n:06}'])))
        assert 'pages' in reason
        assert asked_pages == _store.MAX_PAGES

    def test_long_pages_without_end(self):
        """A hundred pages of the greatest length don't fit into the memory."""
        value = 1_000_000 * 'a'
        reason, asked_pages = run(paged(lambda n: page([f'{n:06}'], value)))
        assert 'longer' in reason
        assert asked_pages <= _store.MAX_LIST_BYTES / len(value) + 1

    def test_callers_are_served_beside_it(self, taken, caplog):
        async def check():
            async with fleet() as world:
                server = world.server_at(world.store_address)
                server.stop()
                await server.close_all_connections()
                beginning, rest = ENDLESS_ANSWERS['body_by_connection']
                async with endless(beginning, rest, world.store_address):
                    await world.until(lambda: 'longer than' in reasons(caplog))
                    answers = [await world.ask('/read/x') for _ in range(20)]
                assert {answer.status for answer in answers} == {200}

        caplog.set_level(logging.INFO, 'crowrudder.test')
        run(check())
        taken.check(_store.MAX_ANSWER_BYTES + READ_AHEAD)


class TestOrigin:
    """The origin's answers; all that it sends is paid for."""

    @KINDS
    def test_manifest_without_end(self, kind, taken):
        async def ask(address):
            with pytest.raises(UpstreamError):
                await PlatformOrigin(ConnectionPool()).digests(address, 'm')

        run(asked(kind, ask))
        taken.check(bound_of(kind, _origin.MAX_MANIFEST_BYTES))

    @KINDS
    def test_chunk_without_end(self, kind, taken):
        """A chunk of a few bytes was read for 16 MB before it was refused."""

        async def ask(address):
            origin = OriginChunks(
                PlatformOrigin(ConnectionPool()), lambda: address, 'm', 1
            )
            assert await outcome(FromOrigin(0), origin=origin) == 'failed'

        run(asked(kind, ask))
        taken.check(bound_of(kind, 0))


class TestChunksOfAgents:
    """Chunks of other agents; a read is stalled only while nothing arrives."""

    @pytest.mark.parametrize('piece', [b'', 1000 * b'y'])
    def test_chunk_without_end(self, piece):
        """The pieces were collected for as long as they came."""

        async def on_chunk(_request, _context):
            while True:
                sent.append(piece)
                yield ChunkPiece(payload=piece)
                await asyncio.sleep(0)

        async def check():
            server = PeerServer('127.0.0.1:0')
            server.add(CHUNK, on_chunk)
            await server.start()
            client = PeerClient()
            address = f'127.0.0.1:{server.port}'
            peers = PeerSource(client)
            try:
                read = FromPeer(0, address)
                assert await outcome(read, peers=peers) == 'failed'
            finally:
                await client.close()
                await server.stop(0)

        sent: list[bytes] = []
        run(check())
        assert sum(map(len, sent)) < READ_AHEAD


async def outcome(read, *, peers=None, origin=None):
    """Return what a collector records of a read, at most after a second."""
    transfer = begin(version('old', OLD), host='a', hosts=('a', 'b'))
    seen: list[str] = []
    watch: Any = Watch(seen)
    made = Collector(
        transfer,
        peers=peers,
        origin=origin,
        downlink=LinkShare(rate=1e9, burst=0),
        address_of=lambda host: host,
        watch=watch,
        own_inventory=lambda: build_inventory(
            'a',
            'old',
            transfer,
            slots=UploadSlots(1),
            engine_status=EngineStatus(),
        ),
    )
    async with asyncio.timeout(1):
        await made._read(read)
    return seen[-1]


class Watch:
    """Records the outcomes of reads."""

    def __init__(self, seen):
        self._seen = seen

    def __getattr__(self, name):
        return lambda *_: self._seen.append(name)


class TestEngine:
    """Reports, lists and chunks of an agent's engine."""

    @KINDS
    def test_report_without_end(self, kind, taken):
        async def ask(address):
            with pytest.raises(UpstreamError):
                await PlatformEngine(address, ConnectionPool()).read()

        run(asked(kind, ask))
        taken.check(bound_of(kind, _engine.MAX_REPORT_BYTES))

    @KINDS
    def test_list_of_chunks_without_end(self, kind, taken):
        async def ask(address):
            with pytest.raises(UpstreamError):
                await PlatformEngine(address, ConnectionPool()).staged('m')

        run(asked(kind, ask))
        taken.check(bound_of(kind, _engine.MAX_STAGED_BYTES))

    def test_staged_chunk_without_end(self, taken):
        async def ask(address):
            engine = PlatformEngine(address, ConnectionPool())
            with pytest.raises(UpstreamError, match='longer than'):
                await engine.get_chunk('m', 1)

        run(asked('body_by_connection', ask))
        taken.check(_engine.MAX_PIECE_BYTES + READ_AHEAD)


def status(number):
    """Return the status of an entry that is not there."""
    return MemberStatus(
        ip=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
        role='entry',
        incarnation=f'{number}',
        started_at=1.0,
    )


def load(number):
    """Return the load report of an engine that is not there."""
    return EngineLoad(
        address=f'10.9.{number >> 8}.{number & 255}:80', reachable=True
    )


LONG_DATAGRAMS = {
    'statuses': Heartbeat(
        status=status(1),
        others=tuple(ForwardedStatus(status(n), 0) for n in range(2, 300)),
    ),
    'last_seen': Heartbeat(
        status=status(1),
        last_seen_entries=tuple(LastSeen('10.0.0.1', n, 0) for n in range(500)),
    ),
    'loads': LoadBatch(
        loads=tuple(load(n) for n in range(300)),
        ages_ms=(0,) * 300,
        forward=True,
    ),
    'bytes': ChunkInventory(version='m@1', manifest='', chunks=bytes(60_000)),
}


class TestProbes:
    """Probes of upstreams, which connect and ask for nothing."""

    def test_bytes_that_no_request_asked_for(self, taken):
        async def check():
            async with endless(*ENDLESS_ANSWERS['head_line']) as peer:
                peer.awaits_request = False
                conn = await ConnectionPool().acquire(peer.address, timeout_s=1)
                await conn.closed()
                assert not conn.is_open

        run(check())
        taken.check(READ_AHEAD)


class TestDatagrams:
    """Datagrams of other processes; any one is dealt with in one turn."""

    @pytest.mark.parametrize('name', sorted(LONG_DATAGRAMS))
    def test_long_datagram(self, name):
        """An entry sent batches of loads of any length on to its region."""

        async def check():
            async with fleet(plain=0, engines=0) as world:
                entry = world.entries[0]
                payload = encode_message(LONG_DATAGRAMS[name])
                entry.peers.handle_immediately(
                    DatagramReceived(payload, '10.0.0.1')
                )
                assert len(entry.peers.entries()) == 1
                assert b'peer_datagrams_bad_total 1.0' in (
                    entry.runtime.metrics.render()
                )

        run(check())

    def test_entries_without_end(self, taken):
        def check(entry):
            for first in range(0, 4200, 60):
                others = tuple(
                    ForwardedStatus(status(first + n), 0) for n in range(60)
                )
                yield Heartbeat(status=status(first), others=others)
                assert len(entry.peers.entries()) <= MAX_ENTRIES + 1

        run(told(check))
        taken.check_turns()

    def test_loads_without_end(self, taken):
        """An entry without other regions kept every address for good."""

        def check(entry):
            for number in range(10_000):
                yield load(number)
            assert len(entry._relay._reports) <= MAX_REPORTS
            assert len(entry.upstreams.links._reported_at) <= MAX_ENGINES

        run(told(check))
        taken.check_turns()

    def test_expired_loads_are_dropped_without_other_regions(self):
        """An entry without other regions kept every address for good."""

        async def check():
            async with fleet(plain=0, engines=0) as world:
                relay = world.entries[0]._relay
                relay.on_load(load(1))
                await world.until(lambda: not relay._reports)

        run(check(), timeout_s=5)

    def test_versions_without_end(self):
        """An agent kept the inventories of every version that was named."""

        async def check():
            async with fleet(plain=0, engines=0) as world:
                await world.add_agent(1, loaded=1)
                library = world.agents[0].library
                for number in range(100):
                    inventory = ChunkInventory(
                        version=f'x@{number}', manifest='', chunks=b''
                    )
                    library.chunks_received('10.0.0.1', inventory)
                assert len(library._received) <= MAX_UNUSED_VERSIONS + 1

        run(check())


async def told(messages_of):
    """Let an entry receive datagrams, a few in each turn of the loop."""
    async with fleet(plain=0, engines=0) as world:
        entry = world.entries[0]
        for number, message in enumerate(messages_of(entry)):
            received = DatagramReceived(encode_message(message), '10.0.0.1')
            entry.peers.handle_immediately(received)
            if not number % 10:
                await asyncio.sleep(0)


class TestMessages:
    """gRPC messages, refused by their announced length."""

    def test_long_request(self, taken):
        """A request of 64 MB was received and decoded."""

        async def check():
            async with fleet(plain=1, engines=0) as world:
                node = world.nodes[0]
                channel = aio.insecure_channel(f'{node.ip}:{node.rpc_port}')
                call = channel.unary_unary(CHANGES.path, bytes, bytes)
                with pytest.raises(aio.AioRpcError) as caught:
                    await call(bytes(MAX_REQUEST_BYTES + 1), timeout=2)
                assert caught.value.code() is StatusCode.RESOURCE_EXHAUSTED
                assert (await world.ask('/read/x')).status == 200
                await channel.close(None)

        run(check())
        taken.check_turns()

    def test_long_reply(self):
        """Records of 64 MB from one process were received and decoded."""

        async def on_request(_request, _context):
            return Changes(through=1, items=(item,))

        async def check():
            server = PeerServer('127.0.0.1:0')
            server.add(CHANGES, on_request)
            await server.start()
            async with fleet(plain=1, engines=0) as world:
                call = world.entries[0].client.call(
                    f'127.0.0.1:{server.port}', CHANGES, ChangesRequest(0)
                )
                with pytest.raises(PeerLostError, match='EXHAUSTED'):
                    await call
                assert (await world.ask('/read/x')).status == 200
            await server.stop(0)

        item = PublishedItem(
            key='x', revision=1, payload=bytes(MAX_REPLY_BYTES)
        )
        run(check())


ASKED = (
    f'POST /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Credential: {KEY}\r\n'
    'X-Attempt-Id: a\r\n'
).encode()
CHUNKED = ASKED + b'Transfer-Encoding: chunked\r\n\r\n'
BODY_BLOCK = BLOCK_BYTES * b'y'
LONG_BODIES = {
    'sized': (ASKED + b'Content-Length: 99999999999\r\n\r\n', BODY_BLOCK),
    'chunked': (CHUNKED, b'10000\r\n' + BODY_BLOCK + b'\r\n'),
    'one_chunk': (CHUNKED + b'fffffffffff\r\n', BODY_BLOCK),
}
LONG_HEADS = {
    'head': (ASKED, repeated(LINE)),
    'head_line': (ASKED + b'x-more: ', BODY_BLOCK),
    'request_line': (b'GET /', BODY_BLOCK),
}
BAD_REQUEST_ANSWER = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
LONG_HEAD_ANSWER = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
BROKEN_REQUESTS = {
    'chunk_size': (CHUNKED, BLOCK_BYTES * b'0'),
    'chunk_extension': (CHUNKED + b'1;', BODY_BLOCK),
    'trailer': (CHUNKED + b'1\r\na\r\n0\r\n', repeated(LINE)),
}


class TestCallers:
    """Requests without end of callers at an entry."""

    @pytest.mark.parametrize('name', sorted(LONG_BODIES))
    def test_long_body(self, name, taken):
        """A body was read for 16 MB before it was refused."""

        async def check():
            async with fleet(engines=0) as world:
                received = await beside(world, *LONG_BODIES[name])
                assert received.startswith(b'HTTP/1.1 413 ')
                assert b'x-attempt-id: a\r\n' in received.lower()
                assert b'may have 65536 bytes' in received
                rendered = world.entries[0].runtime.metrics.render()
                assert b'fleet_denials_total{status="413"} 1.0' in rendered

        run(check())
        taken.check(MAX_DISCARDED_BYTES + READ_AHEAD)

    def test_long_body_that_ends(self):
        """Closing the connection at once could lose the answer."""

        async def check():
            async with fleet(engines=0) as world:
                answer = await world.ask(
                    '/notice/x', method='POST', body=bytes(500_000)
                )
                assert answer.status == 413
                assert not answer.cut
                answer = await world.ask(
                    '/notice/x', method='POST', body=bytes(65_536)
                )
                assert answer.status == 200

        run(check())

    def test_silent_caller_of_a_refused_body(self, monkeypatch):
        async def check():
            async with fleet(engines=0) as world:
                ip, _, port = world.nodes[0].callers.rpartition(':')
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(LONG_BODIES['sized'][0])
                assert (await reader.read()).startswith(b'HTTP/1.1 413 ')
                writer.close()

        monkeypatch.setattr(_long_bodies, 'LINGER_S', 0.05)
        run(check(), timeout_s=5)

    @pytest.mark.parametrize('name', sorted(BROKEN_REQUESTS))
    def test_broken_request(self, name, taken):
        async def check():
            async with fleet(engines=0) as world:
                received = await beside(world, *BROKEN_REQUESTS[name])
                assert received == BAD_REQUEST_ANSWER

        run(check())
        taken.check(MAX_REFUSED_BYTES + READ_AHEAD)

    @pytest.mark.parametrize('name', sorted(LONG_HEADS))
    def test_long_head(self, name, taken):
        """A head that was too long was closed without a word."""

        async def check():
            async with fleet(engines=0) as world:
                received = await beside(world, *LONG_HEADS[name])
                assert received == LONG_HEAD_ANSWER

        run(check())
        taken.check(MAX_REFUSED_BYTES + READ_AHEAD)

    def test_head_beyond_the_configured_length(self):
        """Heads of 64 KB were parsed, whatever the operator configured."""

        async def check():
            async with fleet(engines=0) as world:
                lines = repeated(LINE)[:30_000]
                received = await beside(world, ASKED + lines, b'\r\n\r\n' * 9)
                assert received == LONG_HEAD_ANSWER

        run(check())

    def test_pipelined_requests(self, taken):
        """Requests sent ahead counted as overload, and others were shed."""
        request = ASKED + b'Content-Length: 0\r\n\r\n'

        async def check():
            async with fleet(engines=0) as world:
                flooding = asyncio.ensure_future(
                    flood(world.nodes[0].callers, request, repeated(request))
                )
                await asyncio.sleep(0.2)
                answers = [await world.ask('/read/x') for _ in range(120)]
                assert {answer.status for answer in answers} == {200}
                flooding.cancel()

        run(check())
        taken.check(2 * READ_AHEAD)

    @pytest.mark.parametrize('name', sorted(LONG_BODIES))
    def test_directory(self, name, taken):
        """A body of up to 100 MB was kept for a request that has none."""

        async def check():
            async with fleet(engines=0) as world:
                await flood(world.nodes[0].directory, *LONG_BODIES[name])
                assert (await world.ask('/read/x')).status == 200

        run(check())
        taken.check(READ_AHEAD)


async def beside(world, beginning, rest):
    """Flood an entry, beside requests that are served; return the answer."""
    flooding = asyncio.ensure_future(
        flood(world.nodes[0].callers, beginning, rest)
    )
    answers = [await world.ask('/read/x') for _ in range(5)]
    assert {answer.status for answer in answers} == {200}
    async with asyncio.timeout(2):
        return await flooding


def reasons(caplog):
    """Return the reasons that log lines name."""
    return ' '.join(
        str(getattr(record, 'reason', '')) for record in caplog.records
    )
