"""The connections that wait for a request, and how many may."""

from __future__ import annotations

from typing import Generic, TypeVar

from attrs import define, field

_Connection = TypeVar('_Connection')


@define
class IdleConnections(Generic[_Connection]):
    """Connections that wait for a request, the longest wait first.

    Parameters
    ----------
    max_count
        Number above which the oldest are to be closed.

    Example
    -------
    >>> idle = IdleConnections(max_count=1)
    >>> idle.add('a')
    >>> idle.add('b')
    >>> idle.excess()
    'a'
    """

    max_count: int
    _waiting: dict[_Connection, None] = field(factory=dict, init=False)

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def add(self, connection: _Connection) -> None:
        """Record that a connection began to wait."""
        self._waiting[connection] = None

    def remove(self, connection: _Connection) -> None:
        """Record that a connection no longer waits."""
        self._waiting.pop(connection, None)

    def excess(self) -> _Connection | None:
        """Return the connection to be closed; None if there are few enough."""
        if len(self._waiting) <= self.max_count:
            return None
        return next(iter(self._waiting))
