"""The agents that each entry links to, to bound the number of links."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from crowrudder_model import ranked

ENTRIES_PER_AGENT = 3
"""Entries to which each agent of a large service reports."""

SMALL_SERVICE_AGENTS = 24
"""Services of at most this many agents are known to all entries."""


def covered(
    entry: str,
    entries: Collection[str],
    agents: Iterable[str],
) -> frozenset[str]:
    """Return the agents of one service that an entry links to.

    Every agent is known to `ENTRIES_PER_AGENT` entries, the first in its
    rendezvous order. So agents are spread evenly over entries, each entry
    knows some agents of every failure domain, and an entry that joins or
    leaves moves only its own links.

    Example
    -------
    >>> sorted(covered('e1', ('e1', 'e2'), ('a', 'b')))
    ['a', 'b']
    """
    hosts = tuple(agents)
    if len(hosts) <= SMALL_SERVICE_AGENTS or len(entries) <= ENTRIES_PER_AGENT:
        return frozenset(hosts)
    known = {entry, *entries}
    return frozenset(
        host
        for host in hosts
        if entry in ranked(host, known)[:ENTRIES_PER_AGENT]
    )
