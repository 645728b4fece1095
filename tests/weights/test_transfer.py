"""Transfers, their chunk store and the assigned readers of the origin."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from crowrudder_core.transfer import (
    MAX_COPIES,
    ChunkStore,
    FromOrigin,
    FromPeer,
    Manifest,
    NoRoomError,
    OriginReader,
    PeerInventory,
    Place,
    Transfer,
    choose_seeds,
    derive_pacing,
    full,
    indices,
)
from crowrudder_daemon.agent.weights._progress_line import progress_line
from crowrudder_model import InvariantError
from support.weights_versions import (
    CHUNKS,
    NEW,
    OLD,
    PLACE,
    begin,
    fill,
    version,
)


class TestCompleteVersion:
    def test_partial_weights_are_not_loaded(self):
        transfer = begin(version('old', OLD))
        fill(transfer, OLD[:-1])
        with pytest.raises(InvariantError, match='not whole'):
            transfer.assert_complete()

    def test_valid_chunks_with_a_wrong_total_digest_are_not_loaded(self):
        """Guards against loading a version that was never published.

        With a faulty manifest each chunk matches its digest, but the complete
        version does not match the total digest.
        """
        good = version('old', OLD)
        wrong = Manifest(
            version='old',
            chunk_bytes=4,
            size=good.size,
            digest='0' * 64,
            chunks=good.chunks,
        )
        transfer = begin(wrong)
        fill(transfer, OLD)
        with pytest.raises(InvariantError):
            transfer.assert_complete()

    def test_verified_version_may_lose_chunks_to_eviction(self):
        """Guards against ordering an engine to load evicted chunks.

        After a version is verified, another version is wanted, whose chunks
        evict some of its chunks. The check before the load order must not
        rely on the earlier verification.
        """
        store = ChunkStore(4 * CHUNKS)
        old = begin(version('old', OLD), store)
        fill(old, OLD)
        old.assert_complete()
        fill(begin(version('new', NEW), store), NEW)
        with pytest.raises(InvariantError):
            old.assert_complete()


class TestSupersededInFlight:
    """Guards against mixed weights when a version is replaced or rolled back.

    Reads of the old version end after the new one started; chunks must be
    counted by digest rather than by index.
    """

    def test_late_chunk_of_a_dropped_version_is_rejected(self):
        store = ChunkStore(1000)
        old = begin(version('old', OLD), store)
        read = old.next_reads(now=0)[0]
        old.drop()
        new = begin(version('new', NEW), store)
        assert not old.on_chunk(read, OLD[read.index], now=1)
        assert not old.next_reads(now=1)
        assert not new.held

    def test_chunk_of_one_version_does_not_count_for_another(self):
        new = begin(version('new', NEW))
        assert not new.on_chunk(FromPeer(3, 'b'), OLD[3], now=0)
        assert not new.held

    def test_common_chunks_are_kept(self):
        store = ChunkStore(1000)
        old = begin(version('old', OLD), store)
        fill(old, OLD[:4])
        old.drop()
        assert set(indices(begin(version('new', NEW), store).held)) == {0, 1}

    def test_rolled_back_version_is_complete_at_once(self):
        store = ChunkStore(1000)
        fill(begin(version('old', OLD), store), OLD)
        begin(version('new', NEW), store).drop()
        begin(version('old', OLD), store).assert_complete()

    def test_dropped_version_is_not_loaded(self):
        transfer = begin(version('old', OLD))
        fill(transfer, OLD)
        transfer.drop()
        with pytest.raises(InvariantError):
            transfer.assert_complete()


class TestResumedAgent:
    """Guards against outdated state in an agent that resumes after a pause.

    Its version was dropped at the other hosts while it was paused. It must
    neither request from the origin nor load a version that is not wanted.
    """

    def test_reads_from_before_the_pause_are_overdue(self):
        transfer = begin(version('old', OLD), hosts=('a', 'b'))
        bits = full(CHUNKS)
        transfer.on_inventory(
            PeerInventory(host='b', chunks=bits, slots=4), now=0
        )
        reads = transfer.next_reads(now=0)
        assert transfer.overdue(now=1000) == reads

    def test_peers_without_the_version_are_not_read_from(self):
        transfer = begin(version('old', OLD), hosts=('a', 'b'))
        transfer.on_inventory(PeerInventory(host='b', wants=False), now=1000)
        reads = transfer.next_reads(now=1000)
        assert all(isinstance(read, FromOrigin) for read in reads)


class TestProgress:
    def test_common_chunks_count_as_held(self):
        store = ChunkStore(1000)
        fill(begin(version('old', OLD), store), OLD)
        new = begin(version('new', NEW), store)
        assert new.progress.left_s(0) is None
        assert new.on_chunk(FromOrigin(2), NEW[2], now=2)
        # Three of six chunks are left, and one was received in the last second.
        assert new.progress.left_s(2) == 3
        assert progress_line(new, now=2).startswith('new is on its way: 50%')

    def test_abandoned_read_of_the_origin_is_passed(self):
        """Guards against a restarted transfer that still reports a read.

        The share is spent and the transfer restarts during a read from the
        origin. If the host reported the chunk as in flight rather than
        passed, others would wait for it until the window ends.
        """
        transfer = begin(version('old', OLD))
        read = transfer.next_reads(now=0)[0]
        transfer.abandon_reads()
        transfer.origin.spent = transfer.origin.share
        assert transfer.origin.passes >> read.index & 1


class TestTwoVersionsAtOnce:
    def test_each_version_counts_its_own_chunks(self):
        """Two versions and an adapter share only a store and its chunks."""
        store = ChunkStore(1000)
        adapter = [b'adap', NEW[0]]
        manifests = [
            version('old', OLD),
            version('new', NEW),
            version('adapter', adapter),
        ]
        transfers = [begin(each, store) for each in manifests]
        store.want(manifests)
        fill(transfers[1], NEW)
        assert transfers[1].complete
        assert not transfers[0].complete
        fill(transfers[2], adapter)
        fill(transfers[0], OLD)
        for transfer in transfers:
            transfer.assert_complete()
        assert store.held_bytes == 4 * len({*OLD, *NEW, *adapter})


class TestMemory:
    def test_unwanted_version_is_evicted_first(self):
        store = ChunkStore(4 * CHUNKS + 8)
        fill(begin(version('old', OLD), store), OLD)
        new = begin(version('new', NEW), store)
        fill(new, NEW)
        assert store.held_bytes <= store.limit
        new.assert_complete()

    def test_version_that_does_not_fit_is_refused(self):
        with pytest.raises(NoRoomError, match='raise it'):
            begin(version('old', OLD), ChunkStore(8))

    def test_evicted_chunks_are_not_offered(self):
        store = ChunkStore(4 * CHUNKS)
        old = begin(version('old', OLD), store)
        fill(old, OLD)
        fill(begin(version('new', NEW), store), NEW)
        assert set(indices(old.servable_chunks)) == {0, 1}
        assert not old.is_sound


def origin_reader(host, hosts, *, count=256, copies=1):
    places = {
        each: Place(f'r{number % 2}', f'd{number % 6}')
        for number, each in enumerate(hosts)
    }
    reader = OriginReader(
        version='v',
        host=host,
        region=places[host].region,
        count=count,
        copies=copies,
        pace=derive_pacing(size=1024, chunk_bytes=4, link_bytes_per_s=4),
    )
    reader.on_hosts(places)
    return reader


def none_skipped(_host, _index):
    return False


class TestOriginAssignments:
    hosts = tuple(f'h{number}' for number in range(40))

    def test_each_chunk_has_one_assigned_reader(self):
        assignments = [
            origin_reader(host, self.hosts).assignments(none_skipped, 1)
            for host in self.hosts
        ]
        for index in range(256):
            readers = [
                assignment.from_origin >> index & 1
                for assignment in assignments
            ]
            assert sum(readers) == 1
            importers = [
                assignment.importable >> index & 1 for assignment in assignments
            ]
            assert sum(importers) == 2

    def test_second_copy_is_read_in_the_other_region(self):
        assignments = [
            origin_reader(host, self.hosts, copies=2).assignments(
                none_skipped, 1
            )
            for host in self.hosts
        ]
        for index in range(256):
            readers = {
                number % 2
                for number, assignment in enumerate(assignments)
                if assignment.from_origin >> index & 1
            }
            assert readers == {0, 1}

    def test_next_reader_only_when_the_one_before_is_skipped(self):
        first = origin_reader('h0', self.hosts).assigned_reader(0, none_skipped)
        second = origin_reader('h0', self.hosts).assigned_reader(
            0, lambda h, _: h == first
        )
        assert first != second
        other = origin_reader(second, self.hosts)
        assert not other.assignments(none_skipped, 1).from_origin & 1
        out = other.assignments(lambda host, _: host == first, 2)
        assert out.from_origin & 1

    def test_cap_holds_when_each_host_considers_all_others_dead(self):
        """Guards against 40 copies read from the origin.

        In a fleet partitioned into single hosts, each host considers all
        others dead and reads all chunks that it may. Assignments alone, which
        depend on the view of each host, would not limit the copies.
        """
        total = 0
        for host in self.hosts:
            alone = origin_reader(host, self.hosts)
            alone.may_ask(now=0)
            while alone.may_ask(now=100):
                alone.on_started(0)
                total += 1
            if alone.is_seed:
                with pytest.raises(InvariantError):
                    alone.on_started(0)
        assert 2 * 256 < total <= MAX_COPIES * 256

    def test_cap_holds_with_a_third_of_the_hosts_replaced(self):
        seeds = set(choose_seeds('v', dict.fromkeys(self.hosts, PLACE)))
        later = tuple(
            f'n{number}' if number % 3 == 0 else host
            for number, host in enumerate(self.hosts)
        )
        seeds |= set(choose_seeds('v', dict.fromkeys(later, PLACE)))
        share = origin_reader('h1', self.hosts).share
        assert len(seeds) * share <= MAX_COPIES * 256

    def test_refused_connection_does_not_count_against_the_share(self):
        alone = origin_reader('h0', ('h0',))
        assert alone.may_ask(now=0)
        alone.on_started(0)
        alone.on_failed(0, was_sent=False, now=0)
        assert alone.spent == 0
        assert not alone.may_ask(now=0.1)
        assert alone.may_ask(now=1)


class TransferMachine(RuleBasedStateMachine):
    """Invariants hold under any order of answers, losses, lists and drops."""

    hosts = ('a', 'b', 'c', 'd')

    @initialize()
    def start(self):
        self.now = 0.0
        self.store = ChunkStore(4 * (CHUNKS + 3))
        self.transfer = begin(version('old', OLD), self.store, hosts=self.hosts)
        self.payloads = OLD
        self.started: list = []
        self.dropped: list[Transfer] = []

    @rule(passed=st.sampled_from((0.0, 0.5, 3.0, 40.0)))
    def plan(self, passed):
        self.now += passed
        for read in self.transfer.overdue(now=self.now):
            self.transfer.on_failed(read, now=self.now)
        self.started += self.transfer.next_reads(now=self.now)

    @rule(
        host=st.sampled_from(hosts),
        chunks=st.integers(0, full(CHUNKS)),
        passes=st.integers(0, full(CHUNKS)),
        wants=st.booleans(),
    )
    def stock(self, host, chunks, passes, wants):
        stock = PeerInventory(
            host=host, chunks=chunks, passes=passes, slots=2, wants=wants
        )
        self.transfer.on_inventory(stock, now=self.now)

    @rule(host=st.sampled_from(hosts))
    def silence(self, host):
        self.transfer.on_no_answer(host, now=self.now)

    @precondition(lambda machine: machine.started)
    @rule(data=st.data(), answer=st.sampled_from(('good', 'bad', 'lost')))
    def answer(self, data, answer):
        read = data.draw(st.sampled_from(self.started))
        if answer == 'lost':
            self.transfer.on_failed(read, now=self.now)
            return
        sent = self.payloads[read.index] if answer == 'good' else b'bad!'
        taken = self.transfer.on_chunk(read, sent, now=self.now)
        assert taken == (answer == 'good')

    @rule(chosen=st.sets(st.sampled_from(hosts)))
    def members(self, chosen):
        self.transfer.on_hosts(dict.fromkeys({'a', *chosen}, PLACE))

    @rule(back=st.booleans())
    def supersede(self, back):
        self.transfer.drop()
        self.dropped.append(self.transfer)
        self.payloads = OLD if back else NEW
        name = 'old' if back else 'new'
        made = version(name, self.payloads)
        self.transfer = begin(made, self.store, hosts=self.hosts)
        self.started = []

    @invariant()
    def held_chunks_are_of_this_version(self):
        for index in indices(self.transfer.held):
            assert self.transfer.chunk(index) == self.payloads[index]

    @invariant()
    def memory_is_bounded(self):
        assert self.store.held_bytes <= self.store.limit

    @invariant()
    def nothing_is_read_for_a_dropped_version(self):
        for transfer in self.dropped:
            assert not transfer.next_reads(now=self.now)

    @invariant()
    def no_chunk_is_asked_for_twice_at_a_time(self):
        asked = [read.index for read in self.transfer.in_flight]
        assert len(set(asked)) == len(asked)

    @invariant()
    def whole_only_when_all_is_held(self):
        if self.transfer.complete:
            self.transfer.assert_complete()


TestTransferMachine = TransferMachine.TestCase
TestTransferMachine.settings = settings(max_examples=60, stateful_step_count=40)
