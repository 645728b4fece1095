"""Which agents remember a request id, and how many must agree."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from attrs import frozen

from crowrudder_model import ranked

MOST_HOMES = 5
"""Homes of an id in a fleet that is large enough."""

LARGEST_UNANIMOUS = 3
"""Up to so many homes all must grant; above, all but one."""


@frozen
class Place:
    """An agent that may be a home."""

    host: str
    failure_domain: str


def homes_of(request_id: str, places: Iterable[Place]) -> tuple[str, ...]:
    """Give the hosts that remember an id, spread over failure domains.

    The order of the domains depends on the id alone, and each domain offers
    its own rendezvous order. Two lists that differ by one host therefore give
    homes that differ by at most one, which the quorum relies on.

    Example
    -------
    >>> homes_of('r1', [Place('a', 'x'), Place('b', 'y')]) in (
    ...     ('a', 'b'),
    ...     ('b', 'a'),
    ... )
    True
    """
    domains: defaultdict[str, list[str]] = defaultdict(list)
    for place in places:
        domains[place.failure_domain].append(place.host)
    columns = [
        ranked(request_id, domains[domain])
        for domain in ranked(request_id, domains)
    ]
    depth = max((len(column) for column in columns), default=0)
    rows = (
        column[row]
        for row in range(depth)
        for column in columns
        if row < len(column)
    )
    return tuple(rows)[:MOST_HOMES]


def quorum(homes: int) -> int:
    """Give how many of so many homes must grant a claim.

    Two quorums share ``2 * quorum - homes`` homes; each difference between
    two lists and each home that lost its memory takes one of these.
    """
    if homes <= LARGEST_UNANIMOUS:
        return homes
    return homes - 1
