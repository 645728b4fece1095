from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.catalog import Catalog
from crowrudder_model import StorePosition
from crowrudder_model.messages import PublishedItem, RecordAge


def at(revision):
    return StorePosition(0, revision)


def item(key, revision, payload=b'x', age_s=-1):
    return PublishedItem(
        key=key, revision=revision, payload=payload, age_s=age_s
    )


def history(choices):
    """Return the changes of a store, one per revision."""
    return [
        item(f'k{key}', revision, None if removed else b'%d' % revision)
        for revision, (key, removed) in enumerate(choices, start=1)
    ]


def current_records(changes, through):
    """Return the current records after the changes up to a revision."""
    found = {}
    for change in changes:
        if change.revision <= through:
            found[change.key] = change
    return {k: v for k, v in found.items() if v.payload is not None}


def payloads_by_key(catalog):
    return {each.key: each.payload for each in catalog.items()}


class TestOrder:
    def test_an_older_copy_of_a_record_is_ignored(self):
        """A peer's older copy of a record must not replace a newer one.

        The platform sends revision 9, then a peer that is behind sends
        revision 5 of the same record. If the last copy won, a withdrawn key
        would be accepted again for a moment.
        """
        catalog = Catalog()
        catalog.apply([item('a', 9, b'new')], through=at(9), now=0)
        assert not catalog.apply([item('a', 5, b'old')], through=at(5), now=1)
        assert payloads_by_key(catalog) == {'a': b'new'}
        assert catalog.revision == 9

    def test_a_removal_is_not_undone_by_an_older_list(self):
        catalog = Catalog()
        catalog.apply([item('a', 3)], through=at(3), now=0)
        catalog.apply([item('a', 7, None)], through=at(7), now=0)
        catalog.replace([item('a', 3)], through=at(5), now=1)
        assert not payloads_by_key(catalog)

    def test_a_record_missing_from_a_list_is_removed(self):
        catalog = Catalog()
        catalog.apply([item('a', 1), item('b', 2)], through=at(2), now=0)
        changed = catalog.replace([item('b', 2)], through=at(6), now=1)
        assert [each.payload for each in changed] == [None]
        assert payloads_by_key(catalog) == {'b': b'x'}

    def test_a_record_that_came_and_went_unnoticed_is_removed_at_a_peer(self):
        """Guards against a record that outlives its removal at a peer.

        A record is written and removed while this process gets no changes. The
        list that it reads afterwards doesn't show it, and a peer that has the
        record would never be told of the removal.
        """
        catalog, peer = Catalog(), Catalog()
        catalog.apply([item('a', 1)], through=at(1), now=0)
        peer.apply([item('a', 1), item('gone', 2)], through=at(2), now=0)
        catalog.replace([item('a', 1)], through=at(3), now=1)
        reply = catalog.changes_after(peer.position, now=1, confirmed_s=0)
        assert reply.is_whole
        peer.replace(reply.items, through=reply.position, now=1)
        assert payloads_by_key(peer) == {'a': b'x'}

    def test_a_record_newer_than_the_list_is_kept(self):
        """A list of several pages isn't an atomic snapshot.

        A watch returns a new upstream while an older list is in transit. If
        the list counted as current, the upstream would disappear.
        """
        catalog = Catalog()
        catalog.apply([item('new', 9)], through=at(9), now=0)
        catalog.replace([item('b', 2)], through=at(6), now=1)
        assert payloads_by_key(catalog) == {'b': b'x', 'new': b'x'}


class TestSpread:
    @given(
        choices=st.lists(
            st.tuples(st.integers(0, 4), st.booleans()), max_size=30
        ),
        steps=st.lists(
            st.tuples(st.integers(0, 30), st.booleans()), max_size=12
        ),
    )
    def test_watches_lists_and_peers_converge_in_any_order(
        self, choices, steps
    ):
        changes = history(choices)
        catalog, peer = Catalog(), Catalog()
        for through, by_list in steps:
            self.advance(peer, changes, min(through, len(changes)), by_list)
            reply = peer.changes_after(catalog.position, now=0, confirmed_s=0)
            before = dict(catalog._items)
            take = catalog.replace if reply.is_whole else catalog.apply
            take(reply.items, through=reply.position, now=0)
            for key, known in before.items():
                assert catalog._items[key].revision >= known.revision
        expected = current_records(changes, catalog.revision)
        assert payloads_by_key(catalog) == {
            k: v.payload for k, v in expected.items()
        }

    def advance(self, peer, changes, through, by_list):
        if through <= peer.revision:
            return
        if by_list:
            listed = current_records(changes, through).values()
            peer.replace(listed, through=at(through), now=0)
            return
        missing = [
            change
            for change in changes
            if peer.revision < change.revision <= through
        ]
        peer.apply(missing, through=at(through), now=0)

    def test_a_peer_older_than_the_pruned_removals_gets_a_complete_list(self):
        catalog = Catalog()
        removals = [item(f'k{n}', n, None) for n in range(1, 6000)]
        catalog.apply([*removals, item('a', 6000)], through=at(6000), now=0)
        reply = catalog.changes_after(at(5), now=0, confirmed_s=0)
        assert reply.is_whole
        assert [each.key for each in reply.items] == ['a']


class TestAges:
    def test_ages_add_up_over_peers(self):
        first, second = Catalog(), Catalog()
        first.apply([item('a', 1, age_s=0)], through=at(1), now=10)
        reply = first.changes_after(at(0), now=13, confirmed_s=0)
        second.apply(reply.items, through=at(1), now=50)
        assert second.age_s('a', now=52) == 5

    def test_the_age_of_a_listed_record_is_unknown(self):
        catalog = Catalog()
        catalog.replace([item('a', 1)], through=at(1), now=10)
        assert catalog.age_s('a', now=12) is None

    def test_an_age_is_applied_to_a_record_without_one(self):
        first, second = Catalog(), Catalog()
        first.apply(
            [item('a', 1, age_s=0), item('b', 2)], through=at(2), now=10
        )
        second.replace([item('a', 1), item('b', 2)], through=at(2), now=50)
        reported = first.ages(now=13)
        assert reported == (RecordAge('a', 1, 3),)
        aged = second.apply_ages(reported, era=0, now=50)
        assert aged == [item('a', 1, age_s=3)]
        assert second.age_s('a', now=52) == 5
        assert not second.apply_ages(reported, era=0, now=60)
        assert second.age_s('a', now=62) == 15

    def test_ages_alone_change_no_record(self):
        """The sender of ages may be ahead, be behind, or know more keys."""
        catalog = Catalog()
        catalog.apply([item('a', 5), item('b', 6)], through=at(6), now=50)
        reported = [
            RecordAge('a', 4, 1),
            RecordAge('b', 7, 1),
            RecordAge('c', 8, 1),
            RecordAge('a', 5, -1),
        ]
        assert not catalog.apply_ages(reported, era=0, now=50)
        assert payloads_by_key(catalog) == {'a': b'x', 'b': b'x'}
        assert catalog.revision == 6
        assert not catalog.ages(now=50)
        reply = catalog.changes_after(at(5), now=50, confirmed_s=0)
        assert reply.items == (item('b', 6),)

    def test_a_removed_record_has_no_reported_age(self):
        catalog = Catalog()
        catalog.apply([item('a', 1, None, age_s=0)], through=at(1), now=0)
        assert not catalog.ages(now=1)
