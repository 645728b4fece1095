"""With whom a process exchanges: few, stable, and nobody left out."""

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
    """Choose the peers that a process calls.

    The first is the next in a ring of all hosts by hash, so that everyone is
    called by someone; the others are chosen by rendezvous, which makes the
    whole a random graph: news crosses thousands of hosts in a few hops, and
    the death of half of them cuts nobody off. A host that comes or goes
    changes the choice of few, so that connections stay.

    >>> neighbours_of('a', ['a', 'b'])
    ['b']
    """
    others = [each for each in hosts if each != host and each not in suspects]
    if len(others) <= count:
        return sorted(others)
    place = (score('ring', host), host)
    following = _next_in_ring(place, others)
    order = ranked(f'neighbour|{host}', others)
    chosen = [each for each in order[:count] if each != following]
    return [following, *chosen[: count - 1]]


def _next_in_ring(place: tuple[int, str], others: list[str]) -> str:
    ring = [(score('ring', each), each) for each in others]
    after = [each for each in ring if each > place]
    return min(after or ring)[1]
