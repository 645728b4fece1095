"""Which agents an entry talks to, so that links don't grow as their product."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from crowrudder_model import ranked

COVER = 3
"""Entries that each agent of a large service reports to."""

SMALL_SERVICE = 24
"""Services of so many agents or fewer are known to all entries."""


def covered(
    entry: str,
    entries: Collection[str],
    agents: Iterable[str],
) -> frozenset[str]:
    """Give the agents of one service that an entry is to know.

    Every agent is known to `COVER` entries, the first in its rendezvous
    order, so that all are covered evenly, each entry knows some of every
    failure domain, and an entry that comes or goes moves only its own links.

    Example
    -------
    >>> sorted(covered('e1', ('e1', 'e2'), ('a', 'b')))
    ['a', 'b']
    """
    hosts = tuple(agents)
    if len(hosts) <= SMALL_SERVICE or len(entries) <= COVER:
        return frozenset(hosts)
    known = {entry, *entries}
    return frozenset(
        host for host in hosts if entry in ranked(host, known)[:COVER]
    )
