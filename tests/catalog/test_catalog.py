from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.catalog import Catalog
from crowrudder_model.messages import PublishedItem, RecordAge


def item(key, revision, payload=b'x', age_s=-1):
    return PublishedItem(
        key=key, revision=revision, payload=payload, age_s=age_s
    )


def history(choices):
    """Give the changes of a store, one a revision."""
    return [
        item(f'k{key}', revision, None if removed else b'%d' % revision)
        for revision, (key, removed) in enumerate(choices, start=1)
    ]


def standing(changes, through):
    """Give what stands after the changes up to a revision."""
    found = {}
    for change in changes:
        if change.revision <= through:
            found[change.key] = change
    return {k: v for k, v in found.items() if v.payload is not None}


def keys(catalog):
    return {each.key: each.payload for each in catalog.items()}


class TestOrder:
    def test_an_older_copy_of_a_record_is_left(self):
        """A process went back to what a peer still believed.

        Symptom: a key that was taken away is accepted again for a moment.
        Sequence: the platform tells of revision 9, then a peer that is behind
        hands over revision 5 of the same record. Cause: the last word won.
        """
        catalog = Catalog()
        catalog.apply([item('a', 9, b'new')], through=9, now=0)
        assert not catalog.apply([item('a', 5, b'old')], through=5, now=1)
        assert keys(catalog) == {'a': b'new'}
        assert catalog.revision == 9

    def test_a_removal_is_not_undone_by_an_older_list(self):
        catalog = Catalog()
        catalog.apply([item('a', 3)], through=3, now=0)
        catalog.apply([item('a', 7, None)], through=7, now=0)
        catalog.replace([item('a', 3)], through=5, now=1)
        assert not keys(catalog)

    def test_what_a_list_lacks_is_gone(self):
        catalog = Catalog()
        catalog.apply([item('a', 1), item('b', 2)], through=2, now=0)
        changed = catalog.replace([item('b', 2)], through=6, now=1)
        assert [each.payload for each in changed] == [None]
        assert keys(catalog) == {'b': b'x'}

    def test_what_came_after_the_list_stays(self):
        """A list of several pages is no snapshot.

        Symptom: a new upstream vanishes. Sequence: a watch brings it while an
        older list is on its way. Cause: the list was taken for the present.
        """
        catalog = Catalog()
        catalog.apply([item('new', 9)], through=9, now=0)
        catalog.replace([item('b', 2)], through=6, now=1)
        assert keys(catalog) == {'b': b'x', 'new': b'x'}


class TestSpread:
    @given(
        choices=st.lists(
            st.tuples(st.integers(0, 4), st.booleans()), max_size=30
        ),
        steps=st.lists(
            st.tuples(st.integers(0, 30), st.booleans()), max_size=12
        ),
    )
    def test_any_mix_of_watches_lists_and_peers_ends_the_same(
        self, choices, steps
    ):
        changes = history(choices)
        catalog, peer = Catalog(), Catalog()
        for through, by_list in steps:
            self.advance(peer, changes, min(through, len(changes)), by_list)
            reply = peer.changes_after(catalog.revision, now=0, confirmed_s=0)
            before = dict(catalog._items)
            take = catalog.replace if reply.is_whole else catalog.apply
            take(reply.items, through=reply.through, now=0)
            for key, known in before.items():
                assert catalog._items[key].revision >= known.revision
        expected = standing(changes, catalog.revision)
        assert keys(catalog) == {k: v.payload for k, v in expected.items()}

    def advance(self, peer, changes, through, by_list):
        if through <= peer.revision:
            return
        if by_list:
            listed = standing(changes, through).values()
            peer.replace(listed, through=through, now=0)
            return
        missing = [
            change
            for change in changes
            if peer.revision < change.revision <= through
        ]
        peer.apply(missing, through=through, now=0)

    def test_a_peer_behind_forgotten_removals_gets_the_whole(self):
        catalog = Catalog()
        removals = [item(f'k{n}', n, None) for n in range(1, 6000)]
        catalog.apply([*removals, item('a', 6000)], through=6000, now=0)
        reply = catalog.changes_after(5, now=0, confirmed_s=0)
        assert reply.is_whole
        assert [each.key for each in reply.items] == ['a']


class TestAges:
    def test_ages_add_up_over_peers(self):
        first, second = Catalog(), Catalog()
        first.apply([item('a', 1, age_s=0)], through=1, now=10)
        reply = first.changes_after(0, now=13, confirmed_s=0)
        second.apply(reply.items, through=1, now=50)
        assert second.age_s('a', now=52) == 5

    def test_the_age_of_what_was_found_is_not_known(self):
        catalog = Catalog()
        catalog.replace([item('a', 1)], through=1, now=10)
        assert catalog.age_s('a', now=12) is None

    def test_ages_alone_are_taken_by_a_record_without_one(self):
        first, second = Catalog(), Catalog()
        first.apply([item('a', 1, age_s=0), item('b', 2)], through=2, now=10)
        second.replace([item('a', 1), item('b', 2)], through=2, now=50)
        told = first.ages(now=13)
        assert told == (RecordAge('a', 1, 3),)
        aged = second.take_ages(told, now=50)
        assert aged == [item('a', 1, age_s=3)]
        assert second.age_s('a', now=52) == 5
        assert not second.take_ages(told, now=60)
        assert second.age_s('a', now=62) == 15

    def test_ages_alone_change_no_record(self):
        """One that tells ages may be ahead, behind, or know more keys."""
        catalog = Catalog()
        catalog.replace([item('a', 5), item('b', 6)], through=6, now=50)
        told = [
            RecordAge('a', 4, 1),
            RecordAge('b', 7, 1),
            RecordAge('c', 8, 1),
            RecordAge('a', 5, -1),
        ]
        assert not catalog.take_ages(told, now=50)
        assert keys(catalog) == {'a': b'x', 'b': b'x'}
        assert catalog.revision == 6
        assert not catalog.ages(now=50)
        reply = catalog.changes_after(5, now=50, confirmed_s=0)
        assert reply.items == (item('b', 6),)

    def test_no_age_is_told_of_a_record_that_was_taken_away(self):
        catalog = Catalog()
        catalog.apply([item('a', 1, None, age_s=0)], through=1, now=0)
        assert not catalog.ages(now=1)
