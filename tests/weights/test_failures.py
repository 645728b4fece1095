"""Fleets of real transfer aggregates over rate-limited links with failures."""

from __future__ import annotations

from functools import partial

import pytest
from _weights_fleet import Fleet, Scene
from _weights_links import MICROS

from crowrudder_core.transfer import MAX_COPIES

HOSTS = 12
CHUNKS = 36
BOUND_US = Scene(chunks=CHUNKS).bound_us


def fleet(**more) -> Fleet:
    return Fleet(Scene(hosts=HOSTS, chunks=CHUNKS, **more))


def run(subject: Fleet, bounds: float = 8) -> Fleet:
    """Run for at most ``bounds`` times the bound; check all live hosts."""
    subject.run(until_us=int(subject.clock.now + bounds * BOUND_US))
    late = [host.name for host in subject.waiting() if host.alive]
    assert not late
    assert subject.origin_copies <= MAX_COPIES
    for host in subject.hosts.values():
        if host.alive:
            host.transfer.assert_complete()
    return subject


class TestWithoutFaults:
    @pytest.mark.parametrize('copies', [1, 2])
    def test_about_one_copy_leaves_the_origin(self, copies):
        done = run(fleet(copies=copies))
        assert done.origin_copies <= copies
        assert done.region_copies <= 1.2

    def test_reader_with_spent_share_yields(self):
        """Guard against a reader that exceeds its share and does not yield.

        12 seeds share 8 chunks, so a share is 2 chunks, and one host is the
        first assigned reader of 3. It waited for a new share without notifying
        the others, which waited for it because it was alive: all hosts lacked
        one chunk until the window ended, at seven times the bound.
        """
        done = run(Fleet(Scene(hosts=12, chunks=8)))
        assert done.time_over_bound < 4


class TestDeaths:
    def test_third_dies_in_the_middle(self):
        """Guard against waiting for dead readers.

        A third of the hosts dies at half of the bound, with chunks in transit;
        chunks that only dead hosts held never arrived.
        """
        done = run(fleet(killed_share=1 / 3, corrupted_share=0.01))
        assert done.origin_copies <= 1.5

    def test_every_reader_of_a_chunk_but_the_last_dies(self):
        """All hosts but two die before any chunk was shared."""
        subject = fleet()
        names = sorted(subject.hosts)[2:]
        subject.clock.at(MICROS, partial(subject.kill, names))
        run(subject)


class TestBadSources:
    def test_stalled_uplinks(self):
        """Guard against a transfer that never ends because of stalled hosts.

        A tenth of the hosts answers inventory requests but sends no chunk. If
        the only holder of a chunk stalls, each of its answers cleared its
        suspicion, so it was asked again and no host read the chunk from the
        origin. A stall counted like a lost request.
        """
        run(fleet(stalled_share=0.1))

    def test_stalled_host_that_is_no_neighbour(self):
        """Guard against unnoticed stalls of hosts that are not neighbours.

        There are more hosts than neighbours per host, and a tenth sends no
        chunk. A stalled host fetches a chunk for its region; hosts that read
        only from their neighbours cannot notice the stall, count the chunk as
        held and lack it permanently.
        """
        run(Fleet(Scene(hosts=40, chunks=40, stalled_share=0.1)))

    def test_source_that_always_corrupts_is_avoided(self):
        """Guard against repeated reads from a host that corrupts every chunk.

        A corrupted chunk was forgotten as soon as it was detected, so the host
        was asked again and again and used up slots and link capacity.
        """
        subject = fleet()
        subject.hosts['h3'].spoils = True
        run(subject)
        assert subject.events['from_spoiler'] <= 3 * HOSTS

    def test_one_in_a_hundred_chunks_is_corrupted(self):
        done = run(fleet(corrupted_share=0.01))
        assert done.origin_copies <= 1.2
        assert done.events['corrupted'] > 0


class TestOriginAway:
    def test_chunks_lost_with_origin_arrive_soon_after_recovery(self):
        """Guard against refused reads that count towards a host's share.

        The origin crashes when 47 of 48 chunks have been read; each host tries
        the last chunk once, is refused and passes it on; the origin returns.
        Refused reads counted, so the assigned readers had spent their share,
        and no host was complete 16 s after the publication.
        """
        subject = Fleet(
            Scene(
                hosts=15,
                chunks=48,
                changes={'starved_s': 3.0, 'reads_at_once': 4},
            ),
        )
        bound_us = subject.scene.bound_us
        back_at = bound_us

        def crash():
            subject.origin_up = False
            for host in subject.hosts.values():
                host.transfer.origin.spent = host.transfer.origin.share

        subject.clock.at(9 * bound_us // 20, crash)
        subject.clock.at(back_at, partial(setattr, subject, 'origin_up', True))
        subject.run(until_us=back_at + 9 * bound_us // 10)
        assert not subject.waiting()
        assert subject.origin_copies <= 1.5

    def test_spent_share_is_recognised_after_failed_read(self):
        """Guard against confusing a spent share with a failure of the origin.

        The first reader in a chunk's order has spent its share and passes; the
        second failed at the origin once. The second mistook the pass for a
        failure of the origin and left the chunk to the first; as it read
        nothing more from the origin, it never learned that the origin answers
        again. Every host lacked one chunk for half a minute, until the window
        ended.
        """
        subject = Fleet(Scene(hosts=4, chunks=8))
        some = subject.hosts['h0'].transfer.origin
        first, second = (
            subject.hosts[name].transfer.origin
            for name in some._reader_orders[0][:2]
        )
        first.spent = first.share
        second.on_failed(0, was_sent=False, now=0)
        subject.run(until_us=5 * subject.scene.bound_us)
        assert not subject.waiting()

    def test_origin_recovers(self):
        """Guard against spending the read cap on refused connections.

        The store and the origin refuse connections for 20 s; after the outage
        no host read, or all read at once.
        """
        subject = fleet()
        subject.origin_up = False
        back = partial(setattr, subject, 'origin_up', True)
        subject.clock.at(20 * MICROS, back)
        done = run(subject)
        assert done.origin_copies <= 1.2


class TestDifferingLists:
    def test_lists_lag_both_ways(self):
        """Guard against wrong assignments from differing host lists.

        Lists contain hosts that are gone and lack hosts that exist. Every
        process computes the assigned readers from its own list, so chunks were
        read twice from the origin or by no host.
        """
        subject = fleet()
        places = subject.places
        subject.kill(['h0', 'h1'])
        for number, host in enumerate(subject.hosts.values()):
            known = dict(places)
            for gone in range(number % 4):
                known.pop(
                    f'h{gone}' if gone < 2 else f'h{(number + 5) % 12}', 0
                )
            known[host.name] = host.place
            host.transfer.on_hosts(known)
        done = run(subject)
        assert done.origin_copies <= 2

    def test_host_joins_late(self):
        """Guard against a copy from the origin for a host that joins late.

        The host is listed after the others are complete, and these no longer
        kept or offered their chunks.
        """
        done = run(fleet())
        before = done.origin_copies
        late = done.new_host(HOSTS)
        done.join(late, {**done.places, late.name: late.place})
        run(done)
        assert done.origin_copies == before


class TestSplitFleet:
    def test_both_partitions_load(self):
        """Guard against a network partition that stops or multiplies reads.

        The fleet is split in two halves from the start. Without suspicion one
        side waited for assigned readers on the other; without a cap each host
        read everything itself.
        """
        subject = fleet()
        subject.sides = {f'h{n}': n // 6 for n in range(HOSTS)}
        done = run(subject)
        assert done.origin_copies <= 2.2

    def test_six_partitions_stay_below_the_cap(self):
        """Six sides of two hosts each want more copies than the cap allows.

        Within one window no host exceeds its share; the rest is read once the
        partition has healed.
        """
        subject = fleet()
        subject.sides = {f'h{n}': n // 2 for n in range(HOSTS)}
        subject.run(until_us=25 * MICROS)
        assert subject.origin_copies <= MAX_COPIES
        subject.sides = {}
        run(subject)

    def test_partition_between_regions_midway(self):
        subject = fleet()
        cut = {f'h{n}': n % 2 for n in range(HOSTS)}
        subject.clock.at(5 * MICROS, partial(setattr, subject, 'sides', cut))
        run(subject)


class TestFrozenHost:
    def test_paused_host_blocks_no_other_and_resumes(self):
        """Guard against a paused reader that blocks others or uses stale state.

        A reader of the origin is paused for 30 s and then resumes.
        """
        subject = fleet()
        frozen = subject.hosts['h4']
        for when, value in ((2, True), (32, False)):
            change = partial(setattr, frozen, 'frozen', value)
            subject.clock.at(when * MICROS, change)
        done = run(subject)
        assert done.origin_copies <= 1.5
