from __future__ import annotations

import random

from crowrudder_core.membership import Roster
from crowrudder_model.messages import MemberStatus


def status(ip, incarnation='1', started_at=1.0, role='entry', **more):
    return MemberStatus(
        ip=ip,
        role=role,
        incarnation=incarnation,
        started_at=started_at,
        **more,
    )


def ips(statuses):
    return sorted(each.ip for each in statuses)


class TestRoster:
    def test_entry_is_live_while_its_status_is_recent(self):
        roster = Roster(status('a'))
        roster.on_status(status('b'), 0, now=10)
        assert ips(roster.entries(now=11)) == ['a', 'b']
        assert ips(roster.entries(now=12)) == ['a']

    def test_forwarded_statuses_do_not_keep_a_dead_entry_live(self):
        """Guards against sending callers to a dead entry forever.

        After an entry died, two others forwarded its last status to each other
        again and again. A forwarded status counted as fresh, and a tenth of
        all connections failed.
        """
        first, second = Roster(status('a')), Roster(status('b'))
        first.on_status(status('dead'), 0, now=0)
        rng = random.Random(1)
        for now in (0.5, 1.0, 1.5, 2.0, 2.5):
            for forwarded in first.statuses_to_forward(rng, now=now):
                second.on_status(forwarded.status, forwarded.age_s, now=now)
            for forwarded in second.statuses_to_forward(rng, now=now):
                first.on_status(forwarded.status, forwarded.age_s, now=now)
        assert 'dead' not in ips(first.entries(now=2.5))
        assert 'dead' not in ips(second.entries(now=2.5))

    def test_later_incarnation_replaces_an_earlier_one(self):
        roster = Roster(status('a'))
        roster.on_status(status('b', '2', 20.0, ready=True), 1, now=10)
        roster.on_status(status('b', '1', 5.0), 0, now=10)
        assert [each.incarnation for each in roster.known(now=10)] == ['2']

    def test_own_status_from_others_is_ignored(self):
        roster = Roster(status('a'))
        assert not roster.on_status(status('a', '0', 0.5), 0, now=1)
        assert ips(roster.entries(now=1)) == ['a']

    def test_agents_are_not_listed_as_entries(self):
        roster = Roster(status('a', role='agent'))
        roster.on_status(status('b'), 0, now=1)
        roster.on_status(status('c', role='agent'), 0, now=1)
        assert ips(roster.entries(now=1)) == ['b']

    def test_budget_share_counts_entries_that_were_cut_off(self):
        """Guards against two halves of a fleet with the whole budget each."""
        roster = Roster(status('a'))
        roster.on_status(status('b'), 0, now=0)
        assert roster.budget_share(now=1) == 0.5
        assert not roster.known(now=13)
        assert roster.budget_share(now=13) == 0.5
        assert roster.budget_share(now=299) == 0.5
        assert roster.budget_share(now=301) == 1

    def test_change_of_the_own_status_is_reported(self):
        roster = Roster(status('a'))
        assert roster.set_own(ready=True, leaving=False)
        assert not roster.set_own(ready=True, leaving=False)
        assert roster.own.ready


class TestHeard:
    """An entry's own status, and what proves when it was sent."""

    def test_an_entry_without_proof_is_known_and_not_live(self):
        """Guards against a dead entry that a message read late brings back."""
        roster = Roster(status('a'))
        assert roster.on_heard(status('b'), as_of=None, now=10)
        assert ips(roster.known(now=10)) == ['b']
        assert ips(roster.entries(now=10)) == ['a']

    def test_a_proof_makes_it_live(self):
        roster = Roster(status('a'))
        roster.on_heard(status('b'), as_of=None, now=10)
        assert not roster.on_heard(status('b'), as_of=10.1, now=10.2)
        assert ips(roster.entries(now=10.2)) == ['a', 'b']

    def test_an_older_proof_does_not_take_a_newer_one_back(self):
        roster = Roster(status('a'))
        roster.on_heard(status('b'), as_of=10, now=10)
        roster.on_heard(status('b'), as_of=5, now=11)
        assert ips(roster.entries(now=11)) == ['a', 'b']

    def test_an_entry_that_leaves_stays_leaving(self):
        """Guards against callers who are sent to a draining entry again."""
        roster = Roster(status('a'))
        roster.on_heard(status('b', ready=True), as_of=10, now=10)
        roster.on_heard(status('b', leaving=True), as_of=10.1, now=10.2)
        roster.on_heard(status('b', ready=True), as_of=10.3, now=10.4)
        (known,) = roster.known(now=10.4)
        assert known.leaving
        assert not known.ready

    def test_its_next_incarnation_does_not_leave(self):
        roster = Roster(status('a'))
        roster.on_heard(status('b', leaving=True), as_of=10, now=10)
        later = status('b', '2', 20.0, ready=True)
        roster.on_heard(later, as_of=11, now=11)
        (known,) = roster.known(now=11)
        assert known.ready
        assert not known.leaving
