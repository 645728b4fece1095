"""The order of everything that the platform's store publishes."""

from __future__ import annotations

from attrs import frozen


@frozen(order=True)
class StorePosition:
    """A point in the history of the store, compared by era, then by revision.

    A store that comes back from a copy begins a new era and gives its latest
    revisions out again. A revision alone therefore says neither which of two
    records is newer nor which history it belongs to.

    Parameters
    ----------
    era
        0 for a store that states none, and for a process without records.
    revision
        Counts the changes; 0 before the first one.

    >>> StorePosition(era=2, revision=3) > StorePosition(era=1, revision=900)
    True
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f'{self.era}/{self.revision}'


NO_POSITION = StorePosition()
"""The position of a process that has no records yet."""
