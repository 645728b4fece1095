from __future__ import annotations

import math
import random

import pytest

from crowrudder_core.membership import (
    Roster,
    contacts,
    partners,
    relays,
)
from crowrudder_model.messages import LastSeen, MemberStatus, incarnation_hash

HEARTBEAT_INTERVAL_S = 0.4
REGIONS = ('a', 'b', 'c')


def status(ip, region='a', incarnation='1', started_at=1.0):
    return MemberStatus(
        ip=ip,
        role='entry',
        incarnation=incarnation,
        started_at=started_at,
        region=region,
        ready=True,
    )


def region_of(number):
    return REGIONS[number % len(REGIONS)]


class Fleet:
    """Rosters that send heartbeats in turn, as the owning task does."""

    def __init__(self, size, seed):
        self.random = random.Random(seed)
        statuses = [status(str(each), region_of(each)) for each in range(size)]
        self.rosters = {each.ip: Roster(each) for each in statuses}
        self.dead = set()
        self.datagrams = 0
        for roster in self.rosters.values():
            for each in statuses:
                roster.on_status(each, 0, now=0)

    def send_heartbeats(self, now):
        for ip, roster in self.rosters.items():
            if ip in self.dead:
                continue
            others = roster.known(now=now)
            own = roster.own.region
            near, far = partners(
                [each.ip for each in others if each.region == own],
                [each.ip for each in others if each.region != own],
                self.random,
            )
            for targets, only_region in ((near, None), (far, own)):
                last_seen = roster.last_seen_entries(
                    self.random, now=now, region=only_region
                )
                for target in targets:
                    self._deliver(roster.own, last_seen, target, now)

    def _deliver(self, sender, last_seen, target, now):
        self.datagrams += 1
        if target in self.dead:
            return
        receiver = self.rosters[target]
        receiver.on_status(sender, 0, now=now)
        for sighting in last_seen:
            receiver.on_last_seen(sighting, now=now, as_of=now)


class TestPartners:
    def test_small_fleet_sends_to_every_entry(self):
        rng = random.Random(1)
        assert partners(['b'], ['c', 'd'], rng) == (['b'], ['c', 'd'])

    @pytest.mark.parametrize('size', [20, 44, 340])
    def test_messages_per_process_do_not_grow_with_the_fleet(self, size):
        """Guards against heartbeats that fill the links between regions.

        Every entry sent a heartbeat to every other entry and every agent 2.5
        times a second, so that messages grew with the square of the number of
        entries. They share the links with answers and weights: in a fleet of
        44 entries, half of the streams paused for too long during transfers.
        """
        near = [str(each) for each in range(size // 3)]
        far = [f'far-{each}' for each in range(size - size // 3)]
        chosen = partners(near, far, random.Random(2))
        assert [len(each) for each in chosen] == [6, 1]

    @pytest.mark.parametrize('size', [9, 20, 44])
    def test_no_live_entry_is_considered_dead(self, size):
        fleet = Fleet(size, seed=3)
        for step in range(1, 100):
            fleet.send_heartbeats(step * HEARTBEAT_INTERVAL_S)
        now = 100 * HEARTBEAT_INTERVAL_S
        counts = {
            len(roster.entries(now=now)) for roster in fleet.rosters.values()
        }
        assert counts == {size}
        assert fleet.datagrams <= size * 7 * 99

    def test_dead_entries_are_detected_by_all(self):
        fleet = Fleet(44, seed=4)
        fleet.dead = {'0', '1', '2', '3'}
        for step in range(1, 20):
            fleet.send_heartbeats(step * HEARTBEAT_INTERVAL_S)
        now = 20 * HEARTBEAT_INTERVAL_S
        for ip, roster in fleet.rosters.items():
            if ip not in fleet.dead:
                live = {each.ip for each in roster.entries(now=now)}
                assert not live & fleet.dead

    def test_agent_keeps_its_live_contacts(self):
        statuses = [status(str(each), region_of(each)) for each in range(30)]
        chosen = contacts('agent', statuses, 'a')
        fewer = [each for each in statuses if each.ip != chosen[0]]
        assert len(chosen) == 3
        assert contacts('agent', fewer, 'a')[:2] == chosen[1:]

    def test_agent_without_an_entry_in_its_region_uses_others(self):
        assert contacts('agent', [status('1', 'b')], 'a') == ['1']

    def test_all_choose_the_same_relays(self):
        statuses = [status(str(each), region_of(each)) for each in range(30)]
        shuffled = random.Random(5).sample(statuses, len(statuses))
        assert relays(statuses, 'b') == relays(shuffled, 'b')
        assert len(relays(statuses, 'b')) == 2


class TestLastSeen:
    def sighting(self, known, age_ms, *, leaving=False):
        return LastSeen(
            ip=known.ip,
            incarnation_hash=incarnation_hash(known),
            age_ms=age_ms,
            ready=not leaving,
            leaving=leaving,
        )

    def test_newest_last_seen_time_of_an_entry_counts(self):
        roster = Roster(status('a'))
        roster.on_status(status('b'), 0, now=0)
        roster.on_last_seen(self.sighting(status('b'), 200), now=2, as_of=2)
        assert len(roster.entries(now=3)) == 2
        assert math.isclose(
            roster.last_seen_entries(random.Random(1), now=3)[0].age_ms,
            1200,
            abs_tol=1,
        )

    def test_older_last_seen_entry_is_ignored(self):
        roster = Roster(status('a'))
        roster.on_status(status('b'), 0, now=2)
        roster.on_last_seen(
            self.sighting(status('b'), 1000, leaving=True), now=2.5, as_of=2.5
        )
        assert roster.known(now=2.5)[0].ready

    def test_leaving_entry_is_known_through_others(self):
        roster = Roster(status('a'))
        roster.on_status(status('b'), 0, now=2)
        roster.on_last_seen(
            self.sighting(status('b'), 10, leaving=True), now=2.5, as_of=2.5
        )
        assert roster.known(now=2.5)[0].leaving

    def test_status_of_unknown_entry_is_requested(self):
        roster = Roster(status('a'))
        assert roster.on_last_seen(
            self.sighting(status('b'), 10), now=2, as_of=2
        )
        assert not roster.known(now=2)

    def test_status_is_requested_for_a_new_incarnation_only(self):
        """Guards against a restarted entry that gets no callers for seconds.

        If incarnations aren't distinguished, last-seen entries of the new
        incarnation from others refresh the old one that is known here.
        """
        roster = Roster(status('a'))
        roster.on_status(status('b', incarnation='2', started_at=5.0), 0, now=2)
        newer = self.sighting(status('b', incarnation='3'), 10)
        older = self.sighting(status('b', incarnation='1'), 2000)
        assert roster.on_last_seen(newer, now=2.5, as_of=2.5)
        assert not roster.on_last_seen(older, now=2.5, as_of=2.5)

    def test_last_seen_entry_of_the_own_process_is_ignored(self):
        roster = Roster(status('a'))
        own = self.sighting(status('a', incarnation='0'), 10)
        assert not roster.on_last_seen(own, now=1, as_of=1)
