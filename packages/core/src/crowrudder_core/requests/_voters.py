"""Selection of the voters of a request id, and their quorum."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from attrs import frozen

from crowrudder_model import ranked

MAX_VOTERS = 5
"""Number of voters of an id in a large enough fleet."""

MAX_UNANIMOUS_VOTERS = 3
"""Up to this number of voters, all must grant; above it, all but one."""


@frozen
class VoterCandidate:
    """An agent that may be chosen as a voter."""

    host: str
    failure_domain: str


def voters_of(
    request_id: str, candidates: Iterable[VoterCandidate]
) -> tuple[str, ...]:
    """Return the voters of an id, spread over failure domains.

    The order of the domains depends only on the id, and the hosts of each
    domain are in rendezvous order. Two member lists that differ by one host
    therefore yield voters that differ by at most one; the quorum relies on it.

    Example
    -------
    >>> voters_of('r1', [VoterCandidate('a', 'x'), VoterCandidate('b', 'y')]) in (
    ...     ('a', 'b'),
    ...     ('b', 'a'),
    ... )
    True
    """
    domains: defaultdict[str, list[str]] = defaultdict(list)
    for candidate in candidates:
        domains[candidate.failure_domain].append(candidate.host)
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
    return tuple(rows)[:MAX_VOTERS]


def quorum(voter_count: int) -> int:
    """Return how many of the voters must grant a claim.

    Two quorums share ``2 * quorum - voter_count`` voters. Each difference
    between two member lists, and each voter that lost its records, reduces
    the overlap by one.
    """
    if voter_count <= MAX_UNANIMOUS_VOTERS:
        return voter_count
    return voter_count - 1
