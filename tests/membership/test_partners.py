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
from crowrudder_model.messages import MemberWord, Sighting, life_of

HEARTBEAT_INTERVAL_S = 0.4
REGIONS = ('a', 'b', 'c')


def word(ip, region='a', incarnation='1', started_at=1.0):
    return MemberWord(
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
    """Rosters that beat in turn, as the task that owns one does."""

    def __init__(self, size, seed):
        self.random = random.Random(seed)
        words = [word(str(each), region_of(each)) for each in range(size)]
        self.rosters = {each.ip: Roster(each) for each in words}
        self.dead = set()
        self.datagrams = 0
        for roster in self.rosters.values():
            for each in words:
                roster.on_word(each, 0, now=0)

    def beat(self, now):
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
            for targets, told in ((near, None), (far, own)):
                seen = roster.sightings(self.random, now=now, region=told)
                for target in targets:
                    self._deliver(roster.own, seen, target, now)

    def _deliver(self, sender, seen, target, now):
        self.datagrams += 1
        if target in self.dead:
            return
        receiver = self.rosters[target]
        receiver.on_word(sender, 0, now=now)
        for sighting in seen:
            receiver.on_sighting(sighting, now=now)


class TestPartners:
    def test_a_small_fleet_tells_everyone(self):
        drawn = random.Random(1)
        assert partners(['b'], ['c', 'd'], drawn) == (['b'], ['c', 'd'])

    @pytest.mark.parametrize('size', [20, 44, 340])
    def test_messages_of_one_process_do_not_grow_with_the_fleet(self, size):
        """The links between regions were full of heartbeats.

        Symptom: half of the streams of a fleet of 44 entries pause for too
        long while weights move. Sequence: every entry tells every other one
        and every agent 2.5 times a second; all of it shares the regions'
        links with answers and weights. Cause: messages that grow with the
        square of the number of entries.
        """
        near = [str(each) for each in range(size // 3)]
        far = [f'far-{each}' for each in range(size - size // 3)]
        chosen = partners(near, far, random.Random(2))
        assert [len(each) for each in chosen] == [6, 1]

    @pytest.mark.parametrize('size', [9, 20, 44])
    def test_nobody_alive_is_taken_for_dead(self, size):
        fleet = Fleet(size, seed=3)
        for beat in range(1, 100):
            fleet.beat(beat * HEARTBEAT_INTERVAL_S)
        now = 100 * HEARTBEAT_INTERVAL_S
        counts = {
            len(roster.entries(now=now)) for roster in fleet.rosters.values()
        }
        assert counts == {size}
        assert fleet.datagrams <= size * 7 * 99

    def test_the_dead_are_missed_by_all(self):
        fleet = Fleet(44, seed=4)
        fleet.dead = {'0', '1', '2', '3'}
        for beat in range(1, 20):
            fleet.beat(beat * HEARTBEAT_INTERVAL_S)
        now = 20 * HEARTBEAT_INTERVAL_S
        for ip, roster in fleet.rosters.items():
            if ip not in fleet.dead:
                live = {each.ip for each in roster.entries(now=now)}
                assert not live & fleet.dead

    def test_an_agent_keeps_its_contacts_while_they_live(self):
        words = [word(str(each), region_of(each)) for each in range(30)]
        chosen = contacts('agent', words, 'a')
        fewer = [each for each in words if each.ip != chosen[0]]
        assert len(chosen) == 3
        assert contacts('agent', fewer, 'a')[:2] == chosen[1:]

    def test_an_agent_without_an_entry_in_its_region_asks_others(self):
        assert contacts('agent', [word('1', 'b')], 'a') == ['1']

    def test_all_agree_on_the_relays(self):
        words = [word(str(each), region_of(each)) for each in range(30)]
        shuffled = random.Random(5).sample(words, len(words))
        assert relays(words, 'b') == relays(shuffled, 'b')
        assert len(relays(words, 'b')) == 2


class TestSightings:
    def sighting(self, known, age_ms, *, leaving=False):
        return Sighting(
            ip=known.ip,
            life=life_of(known),
            age_ms=age_ms,
            ready=not leaving,
            leaving=leaving,
        )

    def test_a_known_entry_is_as_young_as_its_youngest_sighting(self):
        roster = Roster(word('a'))
        roster.on_word(word('b'), 0, now=0)
        roster.on_sighting(self.sighting(word('b'), 200), now=2)
        assert len(roster.entries(now=3)) == 2
        assert math.isclose(
            roster.sightings(random.Random(1), now=3)[0].age_ms, 1200, abs_tol=1
        )

    def test_an_older_sighting_changes_nothing(self):
        roster = Roster(word('a'))
        roster.on_word(word('b'), 0, now=2)
        roster.on_sighting(
            self.sighting(word('b'), 1000, leaving=True), now=2.5
        )
        assert roster.known(now=2.5)[0].ready

    def test_an_entry_that_leaves_is_known_through_others(self):
        roster = Roster(word('a'))
        roster.on_word(word('b'), 0, now=2)
        roster.on_sighting(self.sighting(word('b'), 10, leaving=True), now=2.5)
        assert roster.known(now=2.5)[0].leaving

    def test_who_is_not_known_is_asked(self):
        roster = Roster(word('a'))
        assert roster.on_sighting(self.sighting(word('b'), 10), now=2)
        assert not roster.known(now=2)

    def test_a_new_life_is_asked_and_an_old_one_is_not(self):
        """A restarted entry was unknown for as long as its old life lasted.

        Symptom: an entry that has started anew gets no callers for seconds.
        Sequence: others tell of it; here its old life is known, and the new
        sightings refresh that. Cause: lives that weren't told apart.
        """
        roster = Roster(word('a'))
        roster.on_word(word('b', incarnation='2', started_at=5.0), 0, now=2)
        newer = self.sighting(word('b', incarnation='3'), 10)
        older = self.sighting(word('b', incarnation='1'), 2000)
        assert roster.on_sighting(newer, now=2.5)
        assert not roster.on_sighting(older, now=2.5)

    def test_a_sighting_of_the_own_process_is_left(self):
        roster = Roster(word('a'))
        own = self.sighting(word('a', incarnation='0'), 10)
        assert not roster.on_sighting(own, now=1)
