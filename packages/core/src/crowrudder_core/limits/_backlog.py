"""A limit on the bytes that are held for readers that are slow."""

from __future__ import annotations

from typing import Generic, TypeVar

from attrs import define, field, frozen

SLOW_AFTER_S = 1.0
"""How long a reader may take for what was written to it before it counts as
slow. A fast reader takes milliseconds."""

_Reader = TypeVar('_Reader')


@frozen
class _Pending:
    size: int
    since: float


@define
class Backlog(Generic[_Reader]):
    """The bytes that are held for each reader, and who is to be cut off.

    Parameters
    ----------
    max_bytes
        Bytes for all readers together above which slow ones are cut off.

    Example
    -------
    >>> backlog = Backlog(max_bytes=10)
    >>> backlog.add('a', 8, now=0.0)
    >>> backlog.add('b', 8, now=0.5)
    >>> backlog.slowest(now=0.5), backlog.slowest(now=1.0)
    (None, 'a')
    """

    max_bytes: int
    total: int = field(default=0, init=False)
    _pending: dict[_Reader, _Pending] = field(factory=dict, init=False)

    def add(self, reader: _Reader, size: int, *, now: float) -> None:
        """Record a write that a reader hasn't taken at once."""
        self.remove(reader)
        self._pending[reader] = _Pending(size, now)
        self.total += size

    def remove(self, reader: _Reader) -> None:
        """Record that a reader has taken its bytes, or has left."""
        pending = self._pending.pop(reader, None)
        if pending is not None:
            self.total -= pending.size

    def slowest(self, *, now: float) -> _Reader | None:
        """Return the reader to be cut off; None if there is none.

        It is the one that has taken longest. Readers that aren't slow are
        never cut off, whatever is held for them.
        """
        if self.total <= self.max_bytes:
            return None
        reader, pending = next(iter(self._pending.items()))
        return reader if now - pending.since >= SLOW_AFTER_S else None
