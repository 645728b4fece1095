"""Entries beside a store that comes back from a copy."""

from __future__ import annotations

import asyncio

from crowrudder_daemon._clock import clock_s
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
    return [entry.catalog.view.config.version for entry in world.entries]


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


class TestConfirmations:
    def test_a_peer_that_is_ahead_confirms_nothing(self):
        """Guards against a final 404 from records that are known to be old.

        A peer reports a newer revision that the platform has just confirmed.
        Until its records have arrived, this entry isn't current.
        """

        async def check(world):
            task = world.entries[0].catalog
            task.reading.confirmed_at = clock_s() - 10
            ahead = task.catalog.revision + 1
            task.peer_report_received('127.0.0.99', ahead, 0)
            assert not task.is_current()

        checked(check, entries=1)
