"""Choice of communication partners; their number is bounded at any fleet size.

If every process sends to every other, the number of messages grows with the
square of the fleet. 44 entries with 31 agents sent 11,500 heartbeats a second
(computed from their rates); while a version was distributed, the links between
regions stayed full and half of the streams paused for too long.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model import ranked

if TYPE_CHECKING:
    from random import Random

    from crowrudder_model.messages import MemberStatus

PARTNERS = 7
"""Entries to which an entry sends a heartbeat, sampled anew each time.

In a fleet of up to eight, these are all others. At least one is in another
region, and the rest are in the own region if it has enough: bandwidth between
regions is scarce and billed, and each region has many entries that sample.
"""

UPDATE_PARTNERS = 4
"""Entries of the own region that are sent an update at once.

Each forwards it once, so that four in a hundred miss it; these receive it by
heartbeat.
"""

CONTACTS = 3
"""Entries with which an agent stays in contact; two may fail at once."""

CLOSE_ENTRIES = 8
"""Entries of its region to which an agent sends each change of its load.

The others receive load reports less often, and send requests to other engines
first. With a lower number, more requests go to other regions.
"""

RELAYS = 2
"""Entries of a region that relay what the others of their region know."""


def hops(others: int) -> int:
    """Return how many more hops a status takes than in a small fleet.

    >>> [hops(others) for others in (0, 7, 8, 43, 63, 339)]
    [0, 0, 1, 1, 1, 2]
    """
    count = 0
    reached = PARTNERS
    while reached < others:
        count += 1
        reached = reached * (PARTNERS + 1) + PARTNERS
    return count


def split_by_region(
    statuses: list[MemberStatus], region: str
) -> tuple[list[str], list[str]]:
    """Return the IP addresses of the own region and of all others."""
    near = [status.ip for status in statuses if status.region == region]
    far = [status.ip for status in statuses if status.region != region]
    return near, far


def partners(
    near: list[str], far: list[str], random: Random
) -> tuple[list[str], list[str]]:
    """Sample the heartbeat recipients in the own region and in others."""
    if len(near) + len(far) <= PARTNERS:
        return near, far
    chosen = sample_ips(near, PARTNERS - 1, random)
    return chosen, sample_ips(far, PARTNERS - len(chosen), random)


def sample_ips(ips: list[str], count: int, random: Random) -> list[str]:
    """Return a random sample of the addresses, or all if there are no more."""
    return ips if len(ips) <= count else random.sample(ips, count)


def contacts(own: str, statuses: list[MemberStatus], region: str) -> list[str]:
    """Return the entries with which an agent stays in contact.

    The choice is stable while they run, and spread over the entries of the
    region, or over all entries if the region has none.
    """
    near, far = split_by_region(statuses, region)
    return ranked(f'contact|{own}', near or far)[:CONTACTS]


def close_entries(own: str, near: list[str]) -> tuple[list[str], list[str]]:
    """Split the entries of a region into those close to an agent and others.

    The choice is stable while they run, and spread over the entries of the
    region.
    """
    order = ranked(f'contact|{own}', near)
    return order[:CLOSE_ENTRIES], order[CLOSE_ENTRIES:]


def relays(statuses: list[MemberStatus], region: str) -> list[str]:
    """Return the entries of a region that relay statuses for all of it."""
    near, _ = split_by_region(statuses, region)
    return ranked(f'relay|{region}', near)[:RELAYS]
