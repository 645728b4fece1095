"""Chunks on a link that carries a part of its nominal rate, in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from crowrudder_core.transfer import FromOrigin, LinkShare, PeerInventory, full
from crowrudder_daemon.chunks._stock import EngineStatus, UploadSlots
from crowrudder_daemon.chunks._uploads import ChunkService
from crowrudder_model.messages import ChunkRequest
from support.aio import run
from support.narrow_link import NOMINAL, NarrowLink
from support.weights_versions import OLD, begin, version

MAX_DELAY_S = 0.3
"""Aim: our own chunks delay what else uses the link by no more."""

MIN_USE = 0.7
"""Aim: share of what the link carries that chunks use."""

SETTLE_S = 3.5
"""Until the queue is empty that was filled before the link's rate was known."""

NARROW = pytest.mark.parametrize('share', [0.5, 0.2, 0.106])


def narrowed(share, **more):
    """Return a link that has become narrow and was adapted to."""
    link = NarrowLink(rate=NOMINAL, **more)
    link.play(3)
    link.play(SETTLE_S, rate=share * NOMINAL)
    return link


def holder():
    """Return a transfer that holds a whole version."""
    transfer = begin(version('old', OLD), host='b', hosts=('a', 'b'))
    for index, payload in enumerate(OLD):
        transfer.on_chunk(FromOrigin(index), payload, now=0)
    return transfer


class VersionStore:
    """A store that holds one version."""

    def __init__(self, transfer):
        self.host = transfer.host
        self._transfer = transfer

    def find(self, *_):
        return self._transfer


class TestNarrowLink:
    """Guards against chunks that fill the queue of a link for seconds.

    Requests and their cancellations waited in that queue: they reached engines
    up to 3.6 s after they were sent.
    """

    @NARROW
    def test_what_else_is_sent_is_not_delayed_by_chunks(self, share):
        link = narrowed(share)
        began_at = link.now
        link.play(10)
        assert link.worst_delay_s(after=began_at) <= MAX_DELAY_S

    @NARROW
    def test_the_link_is_used(self, share):
        link = narrowed(share)
        carried = link.carried
        link.play(10)
        used = (link.carried - carried) / (10 * link.rate)
        assert used >= MIN_USE

    def test_without_the_measured_delay_the_queue_only_grows(self):
        link = narrowed(0.2, adapts=False)
        assert link.delay_s > 5 * MAX_DELAY_S

    def test_a_wide_link_is_used_at_its_full_rate(self):
        link = NarrowLink(rate=NOMINAL)
        link.play(10)
        assert not link.share.adaptive.is_limited

    def test_the_full_rate_returns_once_the_link_is_wide(self):
        link = narrowed(0.106)
        link.play(4.5, rate=NOMINAL)
        assert not link.share.adaptive.is_limited


class TestUploads:
    """A host whose link is slow sends to other hosts."""

    def served(self, *, uplink, bytes_per_s=0):
        versions: Any = VersionStore(holder())
        service = ChunkService(
            versions,
            EngineStatus(wanted=frozenset(('old',))),
            UploadSlots(1),
            uplink,
            lambda _: None,
        )
        request = ChunkRequest(
            host='a',
            version='old',
            manifest='',
            index=0,
            bytes_per_s=bytes_per_s,
        )
        return service.on_chunk(request, None)

    def test_no_chunk_is_begun_until_the_queue_is_short(self):
        """Guards against readers that wait for a source whose link is full."""

        async def check():
            uplink = LinkShare(rate=1e6, burst=0)
            uplink.adaptive.on_delay(1.0, now=0)
            pieces = [piece async for piece in self.served(uplink=uplink)]
            assert [piece.busy for piece in pieces] == [True]
            uplink.adaptive.on_delay(0, now=1)
            pieces = [piece async for piece in self.served(uplink=uplink)]
            assert not any(piece.busy for piece in pieces)
            carried = sum(size for _, size in uplink.adaptive._carried)
            assert carried == len(OLD[0])

        run(check())

    def test_a_reader_limits_the_rate(self):
        """Guards against a wide link that fills the queue of a narrow one."""

        async def check():
            uplink = LinkShare(rate=1e6, burst=0)
            began_at = asyncio.get_running_loop().time()
            pieces = [
                piece
                async for piece in self.served(uplink=uplink, bytes_per_s=40)
            ]
            took_s = asyncio.get_running_loop().time() - began_at
            assert b''.join(piece.payload for piece in pieces) == OLD[0]
            assert took_s >= len(OLD[0]) / 40

        run(check())


class TestOrigin:
    """A host whose link is slow leaves the origin to others.

    Guards against hosts that wait for chunks of which a narrowed host is the
    first reader: a version reached the last host seconds later.
    """

    def slow_host(self, **others):
        transfer = begin(
            version('m@2', OLD), host='a', hosts=('a', *others), origin_reads=4
        )
        transfer.origin.is_slow = True
        for host, passes in others.items():
            inventory = PeerInventory(host=host, passes=passes)
            transfer.on_inventory(inventory, now=0)
        return transfer

    def origin_reads(self, transfer):
        return [
            read
            for at in range(8)
            for read in transfer.next_reads(now=at)
            if isinstance(read, FromOrigin)
        ]

    def test_it_leaves_all_chunks_to_the_next_readers(self):
        transfer = self.slow_host(b=0)
        assert transfer.origin.passes == full(transfer.count)

    def test_it_reads_none_while_another_host_does(self):
        assert not self.origin_reads(self.slow_host(b=0))

    def test_it_reads_them_if_all_others_are_slow_as_well(self):
        transfer = self.slow_host(b=full(len(OLD)))
        assert self.origin_reads(transfer)

    def test_it_reads_them_if_it_is_alone(self):
        assert self.origin_reads(self.slow_host())
