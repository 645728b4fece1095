"""Upstreams for suspects: each apart from all others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model._rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Iterable

MOST_PLACED = 32
"""Suspects that are kept apart at once."""


def places_apart(
    digests: Iterable[int], upstream_ids: Iterable[str]
) -> dict[int, str]:
    """Give each suspect an upstream of its own, the same at every entry.

    Suspects that meet again at one upstream are blamed for each other's
    crashes; tried apart, all but one of them run whole. Entries with the same
    words need not ask each other who goes where.

    Example
    -------
    >>> places = places_apart([3, 1, 2], ['a', 'b', 'c'])
    >>> sorted(places.values())
    ['a', 'b', 'c']
    """
    free = set(upstream_ids)
    places: dict[int, str] = {}
    for digest in sorted(digests)[:MOST_PLACED]:
        if not free:
            break
        places[digest] = max(
            free, key=lambda each: (score(f'suspect|{digest}', each), each)
        )
        free.discard(places[digest])
    return places
