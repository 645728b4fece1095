"""How much of one connection is handled before others have their turn."""

from __future__ import annotations

from attrs import define

MAX_TURN_EVENTS = 32
"""Events of the parser in one turn of the event loop. Each costs some tens of
microseconds, and as much again where it is forwarded."""

MAX_TURN_BYTES = 65_536
"""Bytes of a body in one turn, but for its last part, and of any part."""


@define
class TurnBudget:
    """Counts what was handled since the turn began."""

    _events: int = 0
    _size: int = 0

    is_spent: bool = False
    """Whether the rest has to wait for the next turn."""

    def spend(self, size: int) -> None:
        """Record an event with a number of bytes of the body."""
        self._events += 1
        self._size += size
        self.is_spent = (
            self._events >= MAX_TURN_EVENTS or self._size >= MAX_TURN_BYTES
        )

    def begin(self) -> None:
        """Begin a turn."""
        self._events = 0
        self._size = 0
        self.is_spent = False
