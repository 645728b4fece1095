"""Chunk sets, read planner, rolling updates, link shares and retry waits."""

from __future__ import annotations

import hashlib
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.transfer import (
    ChunkOrder,
    ChunkStore,
    FromOrigin,
    FromPeer,
    LinkShare,
    Manifest,
    OriginReader,
    Place,
    ReadCandidates,
    Source,
    derive_pacing,
    full,
    indices,
    may_load,
    pack,
    plan_reads,
    predecessors,
    start_transfer,
    unpack,
)
from crowrudder_core.transfer._chunk_sets import rarest

SETS = st.integers(0, 2**20 - 1)


class TestOriginPause:
    def test_retry_wait_is_bounded(self):
        """Guards against a retry wait that outlasts the window of a version.

        While the origin was unreachable for six seconds, each host doubled its
        wait at every retry, up to twice the time of a copy. The version
        arrived ten seconds after the origin returned.
        """
        pace = attrs.evolve(
            derive_pacing(size=480, chunk_bytes=10, link_bytes_per_s=100.0),
            origin_wait_s=0.5,
        )
        reader = OriginReader(
            version='v', host='a', region='r', count=48, copies=1, pace=pace
        )
        reader.on_hosts({'a': Place('r', 'd')})
        assert reader.may_ask(0)
        for _ in range(9):
            reader.on_failed(3, was_sent=False, now=10)
        assert not reader.may_ask(10.4)
        assert reader.may_ask(10.6)


class TestBits:
    @given(SETS)
    def test_pack_and_unpack(self, bits):
        assert unpack(pack(bits, 20), 20) == bits

    @given(SETS, st.lists(SETS, max_size=9))
    def test_rarest_counts_like_a_plain_count(self, candidates, holdings):
        counts = {
            index: sum(held >> index & 1 for held in holdings)
            for index in indices(candidates)
        }
        least = min(counts.values(), default=0)
        expected = {index for index in counts if counts[index] == least}
        assert set(indices(rarest(candidates, holdings))) == expected


def plan(missing, sources, **more):
    read_candidates = ReadCandidates(
        missing=missing,
        importable=more.pop('importable', 0),
        from_origin=more.pop('from_origin', 0),
    )
    more.setdefault('free_slots', 4)
    return plan_reads(
        read_candidates,
        sources,
        origin_free_slots=1,
        random=random.Random(1),
        **more,
    )


class TestPlanner:
    def test_rarest_chunk_first(self):
        sources = [
            Source('a', 0b11, distance=0, free_slots=1),
            Source('b', 1, distance=0, free_slots=0),
        ]
        assert plan(0b11, sources) == [FromPeer(1, 'a')]

    def test_own_failure_domain_first(self):
        sources = [
            Source('far', 1, distance=1, free_slots=1),
            Source('near', 1, distance=0, free_slots=1, load=3),
        ]
        assert plan(1, sources) == [FromPeer(0, 'near')]

    def test_other_region_only_for_the_importer(self):
        sources = [Source('away', 1, distance=2, free_slots=1)]
        assert not plan(1, sources)
        assert plan(1, sources, importable=1) == [FromPeer(0, 'away')]

    def test_origin_only_for_what_no_peer_holds(self):
        sources = [Source('a', 1, distance=0, free_slots=0)]
        assert plan(0b11, sources, from_origin=0b11) == [FromOrigin(1)]

    def test_by_index(self):
        sources = [Source('a', 0b110, distance=0, free_slots=1)]
        reads = plan(0b111, sources, order=ChunkOrder.BY_INDEX)
        assert reads == [FromPeer(1, 'a')]


class TestRollingChange:
    @given(
        st.integers(1, 30),
        st.floats(0.05, 1.0),
        st.randoms(use_true_random=False),
    )
    def test_never_more_than_the_share_at_once(self, count, share, rng):
        hosts = [f'h{number}' for number in range(count)]
        loaded = dict.fromkeys(hosts, 'v1')
        changing: set[str] = set()
        allowed = max(int(share * count), 1)
        while 'v1' in loaded.values():
            free = [
                host
                for host in hosts
                if loaded[host] == 'v1'
                and host not in changing
                and may_load(
                    'v2',
                    predecessors(
                        service='s',
                        version='v2',
                        host=host,
                        hosts=hosts,
                        share=share,
                    ),
                    loaded,
                    has_loaded=True,
                )
            ]
            changing.update(free)
            assert 0 < len(changing) <= allowed
            done = rng.choice(sorted(changing))
            changing.discard(done)
            loaded[done] = 'v2'

    def test_unresponsive_host_does_not_block_others(self):
        chain = ['silent', 'done']
        assert may_load('v2', chain, {'done': 'v2'}, has_loaded=True)
        assert not may_load('v2', chain, {'done': 'v1'}, has_loaded=True)

    def test_empty_host_loads_at_once(self):
        assert may_load('v2', ['a'], {'a': 'v1'}, has_loaded=False)


class TestLinkShare:
    def test_reservations_queue(self):
        link = LinkShare(rate=10, burst=0)
        assert link.reserve(10, now=0) == 1
        assert link.reserve(10, now=0) == 2
        assert link.reserve(10, now=5) == 1

    def test_yields_to_live_requests(self):
        link = LinkShare(rate=100, burst=0, live_share=0.9)
        link.on_live_traffic(50, 1, now=1)
        assert link.weights_rate == pytest.approx(40)
        link.on_live_traffic(0, 0, now=2)
        assert link.weights_rate == 100

    def test_weights_keep_a_minimum_rate(self):
        link = LinkShare(rate=100, burst=0)
        link.on_live_traffic(1000, 9, now=1)
        assert link.weights_rate == pytest.approx(5)


def test_full():
    assert list(indices(full(3))) == [0, 1, 2]


class TestLocalChunks:
    def test_chunk_of_another_version_is_not_counted_against_a_source(self):
        """Guards against a transfer that starts half a second late.

        After a version is declared, each host checks the chunks at its engine
        and finds those of the previous version. When these counted as
        corrupted reads from the origin, each host avoided the origin and
        passed its chunks to others, which did the same.
        """
        chunk = b'ten bytes.'
        manifest = Manifest(
            version='v',
            chunk_bytes=10,
            size=10,
            digest='',
            chunks=(hashlib.sha256(chunk).hexdigest(),),
        )
        transfer = start_transfer(
            manifest,
            host='a',
            place=Place('r', 'd'),
            store=ChunkStore(1000),
            link_bytes_per_s=100.0,
            random=random.Random(1),
        )
        transfer.store.want([manifest])
        transfer.on_hosts({'a': Place('r', 'd')})
        assert not transfer.on_local_chunk(0, b'another one', now=0)
        assert transfer.next_reads(now=0) == [FromOrigin(0)]
        assert transfer.on_local_chunk(0, chunk, now=0)
        assert transfer.complete
