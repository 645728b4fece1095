"""Choice of gossip peers: few and stable, and every host is chosen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model import ranked, score

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

NEIGHBOURS = 5


def neighbours_of(
    host: str,
    hosts: Iterable[str],
    *,
    suspects: Collection[str] = (),
    count: int = NEIGHBOURS,
) -> list[str]:
    """Return the peers that a process calls.

    The first is the successor in a hash ring of all hosts, so that every host
    is called by some other. The others are chosen by rendezvous hashing, which
    makes the graph of all calls random: updates cross thousands of hosts in a
    few hops, and the failure of half of the hosts isolates none. A host that
    joins or leaves changes the choice of few others, so that connections
    persist.

    >>> neighbours_of('a', ['a', 'b'])
    ['b']
    """
    others = [each for each in hosts if each != host and each not in suspects]
    if len(others) <= count:
        return sorted(others)
    position = (score('ring', host), host)
    successor = _ring_successor(position, others)
    order = ranked(f'neighbour|{host}', others)
    chosen = [each for each in order[:count] if each != successor]
    return [successor, *chosen[: count - 1]]


def _ring_successor(position: tuple[int, str], others: list[str]) -> str:
    ring = [(score('ring', each), each) for each in others]
    after = [each for each in ring if each > position]
    return min(after or ring)[1]
