"""The chunk service and the collector, with fakes for peers and origin."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from crowrudder_core.transfer import (
    ChunkStore,
    FromOrigin,
    LinkShare,
    full,
    start_transfer,
)
from crowrudder_daemon.chunks._collect import Collector
from crowrudder_daemon.chunks._sources import PeerAnswer
from crowrudder_daemon.chunks._stock import (
    EngineStatus,
    UploadSlots,
    build_inventory,
)
from crowrudder_daemon.chunks._uploads import ChunkService
from crowrudder_model import PeerLostError, UpstreamError
from crowrudder_model.messages import ChunkRequest
from support.aio import run
from support.weights_versions import OLD, PLACE, begin, version

RATE = 1e9


class VersionStore:
    """A shelf with one version."""

    def __init__(self, transfer):
        self.host = transfer.host
        self._transfer = transfer

    def find(self, name, _declared):
        same = name == self._transfer.manifest.version
        return self._transfer if same else None


class Watch:
    """Records the outcomes of reads."""

    def __init__(self):
        self.seen = []

    def __getattr__(self, name):
        return lambda *_: self.seen.append(name)


def holder():
    transfer = begin(version('old', OLD), host='b', hosts=('a', 'b'))
    for index, payload in enumerate(OLD):
        transfer.on_chunk(FromOrigin(index), payload, now=0)
    return transfer


def service(transfer, slots):
    uplink = LinkShare(rate=RATE, burst=0)
    versions: Any = VersionStore(transfer)
    return ChunkService(
        versions,
        EngineStatus(wanted=frozenset(('old',))),
        slots,
        uplink,
        lambda _: None,
    )


def ask(index=0, name='old'):
    return ChunkRequest(host='a', version=name, manifest='', index=index)


class TestUploadSlots:
    def test_slot_is_held_until_the_last_piece(self):
        """Guard against releasing a slot before the chunk is sent.

        The slot was free again as soon as the answer was built, so several
        requests were served at once and each chunk arrived late.
        """

        async def check():
            slots = UploadSlots(1)
            served = service(holder(), slots)
            first = served.on_chunk(ask(0), None)
            await anext(first)
            assert slots.taken == 1
            refused = [piece async for piece in served.on_chunk(ask(1), None)]
            assert [piece.busy for piece in refused] == [True]
            assert [piece.payload async for piece in first] == [OLD[0]]
            assert slots.taken == 0

        run(check())

    def test_slot_is_released_when_reader_disconnects(self):
        async def check():
            slots = UploadSlots(1)
            sending = service(holder(), slots).on_chunk(ask(), None)
            await anext(sending)
            await sending.aclose()
            assert slots.taken == 0

        run(check())

    def test_other_version_is_absent(self):
        async def check():
            served = service(holder(), UploadSlots(1))
            pieces = [
                piece async for piece in served.on_chunk(ask(0, 'new'), None)
            ]
            assert [piece.absent for piece in pieces] == [True]

        run(check())


class Peers:
    """Another host, which may refuse, lose or never send chunks."""

    def __init__(self, *, refusals=0, stalls=False, losses=0):
        self.transfer = holder()
        self.refusals = refusals
        self.losses = losses
        self.stalls = stalls
        self.refused = 0
        self.asked = []

    def stock_now(self):
        return build_inventory(
            'b',
            'old',
            self.transfer,
            slots=UploadSlots(4),
            engine_status=EngineStatus(wanted=frozenset(('old',))),
        )

    async def stock(self, _address, _asked):
        return self.stock_now()

    async def chunk(self, _address, asked, on_piece):
        self.asked.append(asked)
        if self.stalls:
            await asyncio.Event().wait()
        if self.losses:
            self.losses -= 1
            raise PeerLostError('lost', step='chunk', peer='b')
        if self.refusals:
            self.refusals -= 1
            return PeerAnswer(b'', self.stock_now(), refused=True)
        payload = OLD[asked.index]
        await on_piece(len(payload))
        return PeerAnswer(payload, self.stock_now(), refused=False)


class Origin:
    """An origin that is unreachable or answers."""

    def __init__(self, *, up=False):
        self.up = up
        self.reads = 0

    async def chunk(self, _version, index, on_piece):
        if not self.up:
            raise UpstreamError('down', step='chunk')
        self.reads += 1
        on_piece(len(OLD[index]))
        return OLD[index]

    def on_bad_store_chunk(self):
        raise AssertionError('a good chunk')


class CountingLink(LinkShare):
    """A link that counts the reserved bytes."""

    def __init__(self, **more):
        super().__init__(**more)
        self.reserved = 0

    def reserve(self, size, *, now):
        self.reserved += size
        return super().reserve(size, now=now)


def collector(peers, origin, downlink):
    store = ChunkStore(1000)
    manifest = version('old', OLD)
    store.want([manifest])
    transfer = start_transfer(
        manifest,
        host='a',
        place=PLACE,
        store=store,
        link_bytes_per_s=400,
        random=random.Random(1),
    )
    transfer.on_hosts({'a': PLACE, 'b': PLACE})
    watch: Any = Watch()
    made = Collector(
        transfer,
        peers=peers,
        origin=origin,
        downlink=downlink,
        address_of=lambda host: host,
        watch=watch,
        own_inventory=peers.stock_now,
    )
    return made, transfer


class TestCollector:
    def test_refused_reads_reserve_no_link_capacity(self):
        """Guard against reserving the link before the source accepts.

        Bytes were counted when requested, not when received, so a read refused
        by a busy source used up link capacity: 24 agents transferred weights
        at two thirds of their link rate.
        """
        downlink = CountingLink(rate=RATE, burst=0)

        async def check():
            made, transfer = collector(Peers(refusals=5), Origin(), downlink)
            await made.run()
            assert transfer.complete
            assert downlink.reserved == transfer.manifest.size

        run(check())

    def test_a_slow_link_limits_the_rate_of_reads(self):
        """Guards against sources that fill the queue of a narrow link."""

        async def check():
            peers = Peers()
            downlink = LinkShare(rate=RATE, burst=0)
            now = asyncio.get_running_loop().time()
            downlink.adaptive.on_delay(1.0, now=now)
            made, transfer = collector(peers, Origin(), downlink)
            await made.run()
            limit = downlink.adaptive.limit
            assert {asked.bytes_per_s for asked in peers.asked} == {limit}
            assert transfer.inbound_link.limit == limit

        run(check())

    def test_received_bytes_count_as_carried(self):
        async def check():
            downlink = LinkShare(rate=RATE, burst=0)
            made, transfer = collector(Peers(), Origin(), downlink)
            await made.run()
            carried = sum(size for _, size in downlink.adaptive._carried)
            assert carried == transfer.manifest.size

        run(check())

    def test_a_wide_link_limits_no_read(self):
        async def check():
            peers = Peers()
            downlink = LinkShare(rate=RATE, burst=0)
            made, _ = collector(peers, Origin(), downlink)
            await made.run()
            assert {asked.bytes_per_s for asked in peers.asked} == {0}

        run(check())

    def test_lost_reads_are_retried(self):
        async def check():
            peers = Peers(losses=2)
            downlink = LinkShare(rate=RATE, burst=0)
            made, transfer = collector(peers, Origin(up=True), downlink)
            await made.run()
            transfer.assert_complete()

        run(check())

    def test_origin_reads_are_recorded(self):
        async def check():
            downlink = LinkShare(rate=RATE, burst=0)
            made, transfer = collector(
                Peers(stalls=True), Origin(up=True), downlink
            )
            await made.run()
            seen = made._watch.seen
            assert seen.count('asked_origin') == transfer.count
            assert transfer.origin.reasons.total() == transfer.count

        run(check())

    def test_read_from_silent_source_times_out(self):
        """Guard against waiting forever for a peer that sends nothing.

        The peer accepts the request but sends no bytes; the time without a
        byte was unlimited.
        """

        async def check():
            origin = Origin(up=True)
            downlink = LinkShare(rate=RATE, burst=0)
            made, transfer = collector(Peers(stalls=True), origin, downlink)
            await made.run()
            transfer.assert_complete()
            assert origin.reads == transfer.count

        run(check())

    def test_dropped_version_ends_the_reads(self):
        async def check():
            downlink = LinkShare(rate=RATE, burst=0)
            made, transfer = collector(Peers(stalls=True), Origin(), downlink)
            running = asyncio.ensure_future(made.run())
            await asyncio.sleep(0)
            transfer.drop()
            await running
            assert not transfer.in_flight
            assert transfer.held != full(transfer.count)

        run(check())

    def test_cancellation_at_any_step_takes_effect(self):
        """Guard against a lost cancellation.

        A read ends and wakes the collector, and the task is cancelled in the
        same iteration of the event loop. `asyncio.wait_for` returned the
        result and lost the cancellation: an agent still ran five seconds after
        its drain, and its successor found the port in use.
        """

        async def ended_after(steps):
            downlink = LinkShare(rate=RATE, burst=0)
            made, transfer = collector(Peers(losses=99), Origin(), downlink)
            running = asyncio.ensure_future(made.run())
            for _ in range(steps):
                await asyncio.sleep(0)
            running.cancel()
            await asyncio.wait((running,), timeout=0.2)
            ended = running.done()
            transfer.drop()
            running.cancel()
            await asyncio.wait((running,))
            return ended

        async def check():
            return [await ended_after(steps) for steps in range(30)]

        assert run(check()) == [True] * 30
