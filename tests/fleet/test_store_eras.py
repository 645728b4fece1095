"""Entries beside a store that comes back from a copy."""

from __future__ import annotations

import asyncio

import pytest
from attrs import evolve

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet._records import RecordsReceived
from support.fleet_checks import checked

BOUND_S = 2.0
"""Seconds within which a change is in force."""

LOST_CHANGES = 12
MAX_CALLS = 20
"""Calls of all entries in the second after the store is back, as in an outage
(`tests/catalog/test_calls_by_size.py`)."""


def restore_older_copy(world):
    """Let the store lose the latest changes, which all entries have."""
    world.store.restore(world.copy)


async def lose_changes(world):
    """Write records that the copy doesn't have, and wait until they're known."""
    world.copy = world.store.copy()
    for number in range(LOST_CHANGES):
        world.store.put(f'other/{number}', b'{}')
    world.publish(version=4)
    await world.ready()


def config_versions(world):
    configs = [entry.catalog.view.config for entry in world.entries]
    return [config.version if config else 0 for config in configs]


class TestRevisionsGivenOutAgain:
    def test_a_change_at_a_lower_revision_is_in_force_in_time(self):
        """Guards against changes that are ignored after a store's return.

        The store comes back from a copy and counts its revisions from there.
        If records were ordered by revision alone, no change would be taken
        until the counter has passed the known revision.
        """

        async def check(world):
            await lose_changes(world)
            restore_older_copy(world)
            world.publish(version=5, routes=[])
            async with asyncio.timeout(BOUND_S):
                await world.until(lambda: config_versions(world) == [5, 5, 5])

        checked(check, entries=3)

    def test_the_store_is_not_flooded_after_its_return(self):
        """Guards against lists and watches in a loop without a pause."""

        async def check(world):
            await lose_changes(world)
            restore_older_copy(world)
            before = world.store.calls.total()
            await asyncio.sleep(1)
            assert world.store.calls.total() - before <= MAX_CALLS

        checked(check, entries=3)

    def test_a_second_return_is_followed_as_well(self):
        async def check(world):
            for version in (5, 9):
                await lose_changes(world)
                restore_older_copy(world)
                world.publish(version=version, routes=[])
                expected = [version] * 3
                async with asyncio.timeout(BOUND_S):
                    while config_versions(world) != expected:  # noqa: ASYNC110
                        await asyncio.sleep(0.005)

        checked(check, entries=3)

    def test_a_store_without_eras_is_not_flooded_either(self):
        """Guards against a loop where no order helps: one era goes back."""

        async def check(world):
            await lose_changes(world)
            restore_older_copy(world)
            world.store.era = 0
            before = world.store.calls.total()
            await asyncio.sleep(1)
            assert world.store.calls.total() - before <= MAX_CALLS

        checked(check, entries=3, era=0)

    @pytest.mark.parametrize('beyond', [0, 1, 9])
    def test_the_counter_that_reaches_a_watch_hides_nothing(self, beyond):
        """Guards against a watch that is answered 200 in another history."""

        async def check(world):
            await lose_changes(world)
            known = world.store.revision
            restore_older_copy(world)
            world.publish(version=5, routes=[])
            while world.store.revision < known + beyond:
                world.store.put('other/again', b'{}')
            async with asyncio.timeout(BOUND_S):
                await world.until(lambda: config_versions(world) == [5, 5, 5])

        checked(check, entries=3)


class TestLostRecords:
    def test_an_upstream_that_left_gets_no_request(self):
        """Guards against an upstream that is ready again in the copy."""

        async def check(world):
            await lose_changes(world)
            world.list_replica('p0', 'plain', state='draining')
            await world.ready()
            restore_older_copy(world)
            await world.ready()
            for number in range(6):
                answer = await world.ask('/read/x', request_id=f'a{number}')
                assert answer.status == 200
            assert not world.replicas['p0'].runs

        checked(check)

    def test_an_upstream_that_the_copy_lacks_is_used_on(self):
        """Guards against refusals until all upstreams have registered again."""

        async def check(world):
            world.copy = world.store.copy()
            world.add_replica('p9', 'plain')
            for name in ('p0', 'p1'):
                world.list_replica(name, 'plain', state='draining')
            await world.ready()
            restore_older_copy(world)
            await world.ready()
            # Replicas write again within two seconds of the store's return.
            await asyncio.sleep(2)
            assert (await world.ask('/read/x', request_id='a')).status == 200
            assert world.replicas['p9'].runs

        checked(check)

    def test_a_started_entry_has_the_version_that_the_copy_lacks(self):
        """Guards against an accepted configuration that a restart takes back."""

        async def check(world):
            await lose_changes(world)
            restore_older_copy(world)
            await world.ready()
            await world.add_entry(2)
            async with asyncio.timeout(BOUND_S):
                await world.until(lambda: config_versions(world) == [4, 4])

        checked(check, entries=1)


class TestConfirmations:
    def test_a_peer_that_is_ahead_confirms_nothing(self):
        """Guards against a final 404 from records that are known to be old.

        A peer reports a newer revision that the platform has just confirmed.
        Until its records have arrived, this entry isn't current.
        """

        async def check(world):
            task = world.entries[0].catalog
            task.reading.confirmed_at = clock_s() - 10
            known = task.catalog.position
            ahead = evolve(known, revision=known.revision + 1)
            task.peer_report_received('127.0.0.99', ahead, clock_s())
            assert not task.is_current()
            task.peer_report_received('127.0.0.99', known, clock_s())
            assert task.is_current()

        checked(check, entries=1)

    def test_a_peer_whose_message_is_of_unknown_age_confirms_nothing(self):
        """Guards against a message that stood unread and counts as new."""

        async def check(world):
            task = world.entries[0].catalog
            task.reading.confirmed_at = clock_s() - 10
            task.peer_report_received('127.0.0.99', task.catalog.position, None)
            assert not task.is_current()

        checked(check, entries=1)

    def test_a_peer_of_an_earlier_era_confirms_nothing(self):
        async def check(world):
            task = world.entries[0].catalog
            task.reading.confirmed_at = clock_s() - 10
            earlier = evolve(task.catalog.position, era=0, revision=1)
            task.peer_report_received('127.0.0.99', earlier, clock_s())
            assert not task.is_current()

        checked(check, entries=1)

    def test_changes_of_a_later_era_confirm_nothing(self):
        """Guards against a confirmation of records that aren't applied."""

        async def check(world):
            task = world.entries[0].catalog
            task.reading.confirmed_at = clock_s() - 10
            later = evolve(task.catalog.position, era=9)
            changes = RecordsReceived(
                (), later, False, 'a peer', confirmed_at=clock_s()
            )
            task.on_records_received(changes)
            assert not task.is_current()
            task.on_records_received(evolve(changes, is_whole=True))
            assert task.is_current()

        checked(check, entries=1)

    def test_a_confirmation_is_passed_on(self):
        """Guards against entries that only the watchers' partners inform."""

        async def check(world):
            entry = world.entries[0]
            position = entry.catalog.catalog.position
            entry.peers.set_knowledge(position, clock_s() - 10)
            entry.catalog.peer_report_received(
                '127.0.0.99', position, clock_s()
            )
            assert entry.peers._heartbeat().confirmed_s < 1

        checked(check, entries=1)
