"""With whom the processes of a fleet talk: a bounded number, at any size.

What goes wrong when everyone tells everyone: messages grow with the square of
the fleet. 44 entries with 31 agents sent each other 11,500 heartbeats a second
(worked out from their rates); while a version was spread, the links between
regions stayed full and half of the streams paused for too long.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model import ranked

if TYPE_CHECKING:
    from random import Random

    from crowrudder_model.messages import MemberWord

PARTNERS = 7
"""Entries that an entry sends a heartbeat to, drawn anew each time.

All others in a fleet of up to eight. At least one is of another region and
the rest of the own one where it has so many: bytes between regions are few
and paid for, and each region has many entries that draw.
"""

NEWS_PARTNERS = 4
"""Entries of the own region that are told of news at once.

Each passes them on once, so that four in a hundred miss them; heartbeats
tell these.
"""

CONTACTS = 3
"""Entries that an agent stays in touch with; two may die at once."""

CLOSE_ENTRIES = 8
"""Entries of its region that an agent tells of each change of its load.

The others hear of it less often, and send requests to other engines first. With
fewer, more requests go to other regions.
"""

RELAYS = 2
"""Entries of a region that pass on what others of their region know."""


def hops(others: int) -> int:
    """Give by how many more hops words travel than in a small fleet.

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
    words: list[MemberWord], region: str
) -> tuple[list[str], list[str]]:
    """Give the IP numbers of the own region and of all others."""
    near = [word.ip for word in words if word.region == region]
    far = [word.ip for word in words if word.region != region]
    return near, far


def partners(
    near: list[str], far: list[str], random: Random
) -> tuple[list[str], list[str]]:
    """Draw whom to send the next heartbeat, of the own region and of others."""
    if len(near) + len(far) <= PARTNERS:
        return near, far
    chosen = drawn(near, PARTNERS - 1, random)
    return chosen, drawn(far, PARTNERS - len(chosen), random)


def drawn(ips: list[str], count: int, random: Random) -> list[str]:
    """Draw some, or give all where there are no more."""
    return ips if len(ips) <= count else random.sample(ips, count)


def contacts(own: str, words: list[MemberWord], region: str) -> list[str]:
    """Choose the entries that an agent stays in touch with.

    Stable while they live, and spread over the entries of the region; where
    it has none, over all.
    """
    near, far = split_by_region(words, region)
    return ranked(f'contact|{own}', near or far)[:CONTACTS]


def close_entries(own: str, near: list[str]) -> tuple[list[str], list[str]]:
    """Split the entries of a region: those close to an agent, and others.

    Stable while they live, and spread over the entries of the region.
    """
    order = ranked(f'contact|{own}', near)
    return order[:CLOSE_ENTRIES], order[CLOSE_ENTRIES:]


def relays(words: list[MemberWord], region: str) -> list[str]:
    """Choose the entries of a region that pass words on for all of it."""
    near, _ = split_by_region(words, region)
    return ranked(f'relay|{region}', near)[:RELAYS]
