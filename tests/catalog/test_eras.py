"""Records of a store that comes back from a copy, in a new era."""

from __future__ import annotations

from crowrudder_core.catalog import HOLD_S, Catalog
from crowrudder_model import StorePosition
from crowrudder_model.messages import PublishedItem, RecordAge

CONFIG = 'op/config'
UPSTREAM = 'servers/i-1'


def item(key, revision, payload=b'x', *, version=0, age_s=-1):
    return PublishedItem(
        key=key,
        revision=revision,
        payload=payload,
        version=version,
        age_s=age_s,
    )


def config(revision, version, *, age_s=-1):
    return item(
        CONFIG, revision, b'version %d' % version, version=version, age_s=age_s
    )


def listing(catalog, *items, era, through, now=0):
    return catalog.replace(items, through=StorePosition(era, through), now=now)


def change(catalog, *items, era, now=0):
    through = StorePosition(era, max(each.revision for each in items))
    return catalog.apply(items, through=through, now=now)


def payloads(catalog):
    return {each.key: each.payload for each in catalog.items()}


class TestOrderOfEras:
    def test_a_later_era_wins_at_a_lower_revision(self):
        """Guards against changes that are ignored after a store's return."""
        catalog = Catalog()
        listing(catalog, config(1000, 18), era=1, through=1000)
        changed = listing(catalog, config(965, 23), era=2, through=971)
        assert [each.version for each in changed] == [23]
        assert catalog.position == StorePosition(2, 971)

    def test_an_earlier_era_never_wins(self):
        """Guards against a peer of the older era with a higher revision."""
        catalog = Catalog()
        listing(catalog, item('a', 9, b'new'), era=2, through=9)
        assert not listing(catalog, item('a', 90, b'old'), era=1, through=90)
        assert not change(catalog, item('a', 95, b'old'), era=1)
        assert payloads(catalog) == {'a': b'new'}
        assert catalog.position == StorePosition(2, 9)

    def test_changes_alone_do_not_lead_into_another_era(self):
        """Guards against a watch that continues in another history.

        The counter has passed the known revision again. What was written
        before isn't in the answer of the watch.
        """
        catalog = Catalog()
        listing(catalog, item('a', 9), era=1, through=9)
        assert not change(catalog, item('b', 10), era=2)
        assert catalog.position == StorePosition(1, 9)

    def test_a_peer_of_another_era_gets_a_complete_list(self):
        catalog = Catalog()
        listing(catalog, item('a', 3), era=2, through=9)
        reply = catalog.changes_after(StorePosition(1, 9), now=0, confirmed_s=0)
        assert reply.is_whole
        assert reply.position == StorePosition(2, 9)

    def test_a_peer_behind_the_first_list_of_an_era_gets_a_complete_list(self):
        """Guards against removals of the new era that no list has shown."""
        catalog = Catalog()
        listing(catalog, item('a', 3), era=2, through=9)
        known = StorePosition(2, 5)
        assert catalog.changes_after(known, now=0, confirmed_s=0).is_whole

    def test_ages_of_another_era_are_ignored(self):
        catalog = Catalog()
        listing(catalog, item('a', 3), era=2, through=9)
        reported = (RecordAge('a', 3, 1),)
        assert not catalog.apply_ages(reported, era=1, now=0)


class TestOperatorsVersions:
    def test_an_older_version_in_a_copy_has_no_effect(self):
        """Guards against a configuration that is accepted and goes back."""
        catalog = Catalog()
        listing(catalog, config(40, 23), era=1, through=40)
        assert not listing(catalog, config(30, 18), era=2, through=35)
        assert payloads(catalog) == {CONFIG: b'version 23'}

    def test_a_version_that_the_copy_lacks_stays(self):
        catalog = Catalog()
        listing(catalog, config(40, 23), era=1, through=40)
        assert not listing(catalog, era=2, through=35)
        assert payloads(catalog) == {CONFIG: b'version 23'}

    def test_versions_written_again_in_pieces_do_not_go_back(self):
        catalog = Catalog()
        listing(catalog, config(40, 23), era=1, through=40)
        listing(catalog, config(30, 18), era=2, through=35)
        assert not change(catalog, config(36, 20), era=2)
        assert not change(catalog, config(37, 23), era=2)
        assert change(catalog, config(38, 26), era=2)
        assert payloads(catalog) == {CONFIG: b'version 26'}

    def test_a_process_that_lists_the_copy_gets_the_kept_version(self):
        """Guards against a restarted process that starts with the older one."""
        before, started = Catalog(), Catalog()
        listing(before, config(40, 23), era=1, through=40)
        for catalog in (before, started):
            listing(catalog, config(30, 18), era=2, through=35)
        kept = before.kept(now=0)
        assert [each.version for each in kept] == [23]
        assert started.keep(kept, era=2, now=0)
        assert payloads(started) == {CONFIG: b'version 23'}
        change(before, config(37, 23), era=2)
        assert not before.kept(now=0)

    def test_a_version_named_again_keeps_its_age(self):
        """Guards against a window of the previous version that begins again."""
        catalog = Catalog()
        listing(catalog, era=1, through=10)
        change(catalog, config(11, 2, age_s=0), era=1, now=100)
        listing(catalog, config(3, 1), era=2, through=5, now=104)
        change(catalog, config(6, 2, age_s=0), era=2, now=106)
        assert catalog.age_s(CONFIG, now=106) == 6


class TestUpstreams:
    def test_one_that_was_removed_is_not_back(self):
        """Guards against requests to an upstream that left in the lost seconds."""
        catalog = Catalog()
        listing(catalog, item(UPSTREAM, 20), era=1, through=20)
        change(catalog, item(UPSTREAM, 30, None), era=1)
        assert not listing(catalog, item(UPSTREAM, 20), era=2, through=25)
        assert not payloads(catalog)
        reply = catalog.changes_after(
            StorePosition(1, 30), now=0, confirmed_s=0
        )
        assert not reply.items

    def test_one_that_was_removed_is_back_when_it_is_written_again(self):
        catalog = Catalog()
        listing(catalog, item(UPSTREAM, 20), era=1, through=20)
        change(catalog, item(UPSTREAM, 30, None), era=1)
        listing(catalog, item(UPSTREAM, 20), era=2, through=25)
        assert change(catalog, item(UPSTREAM, 26), era=2)
        assert payloads(catalog) == {UPSTREAM: b'x'}

    def test_one_that_the_copy_still_has_after_a_while_is_back(self):
        """Guards against an upstream that is lost because its record is unchanged.

        It lapsed before the copy was lost, is alive, and finds its record as it
        wrote it. One that is gone lapses again within the hold.
        """
        catalog = Catalog()
        listing(catalog, item(UPSTREAM, 20), era=1, through=20)
        change(catalog, item(UPSTREAM, 30, None), era=1)
        listing(catalog, item(UPSTREAM, 20), era=2, through=25, now=100)
        assert not catalog.release_held(now=100 + HOLD_S - 1)
        assert catalog.release_held(now=100 + HOLD_S)
        assert payloads(catalog) == {UPSTREAM: b'x'}

    def test_one_that_lapses_within_the_hold_is_not_back(self):
        catalog = Catalog()
        listing(catalog, item(UPSTREAM, 20), era=1, through=20)
        change(catalog, item(UPSTREAM, 30, None), era=1)
        listing(catalog, item(UPSTREAM, 20), era=2, through=25, now=100)
        change(catalog, item(UPSTREAM, 26, None), era=2)
        assert not catalog.release_held(now=100 + HOLD_S)
        assert not payloads(catalog)

    def test_one_that_was_written_again_before_the_list_is_back(self):
        """Guards against an upstream that stays lost though it registered."""
        catalog = Catalog()
        listing(catalog, item(UPSTREAM, 20), era=1, through=20)
        change(catalog, item(UPSTREAM, 30, None), era=1)
        assert listing(catalog, item(UPSTREAM, 26), era=2, through=27)
        assert payloads(catalog) == {UPSTREAM: b'x'}

    def test_one_that_the_copy_lacks_is_removed_until_it_registers(self):
        catalog = Catalog()
        listing(catalog, item(UPSTREAM, 20), era=1, through=20)
        (gone,) = listing(catalog, era=2, through=15)
        assert gone.payload is None
        assert change(catalog, item(UPSTREAM, 16), era=2)

    def test_one_that_did_not_change_has_no_effect(self):
        catalog = Catalog()
        listing(catalog, item(UPSTREAM, 20), era=1, through=40)
        assert not listing(catalog, item(UPSTREAM, 20), era=2, through=35)
        assert payloads(catalog) == {UPSTREAM: b'x'}
