"""Agents that entries notify of their sends, in virtual time.

An engine reports a state that is some time old. The entries of its region
notify its agent of each send and of each end of a request. The agent adds those
that it was notified of since that state.
"""

from __future__ import annotations

import random
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from attrs import define, field
from msgspec.structs import replace

from crowrudder_model.messages import EngineLoad

if TYPE_CHECKING:
    from _dispatch_engine import Clock, Engine

    from dispatch import Entry

CLOSE_COUNT = 8
"""Entries of its region to which an agent of the product reports each change."""

REPEATS_EACH = 4
"""The others get every fourth report: they are repeated each 0.4 s."""

READ_INTERVAL_S = 0.1
"""Interval at which an agent reads its engine."""

REPORT_DELAY_S = 0.001
"""Time from a read to the report on it. Without it the order of the two would
depend on rounding."""

STATE_AGE_S = 0.2
"""Age of the state that an engine reports."""


def load_report(engine: Engine, number: int) -> EngineLoad:
    """Return the load of an engine at this moment."""
    return EngineLoad(
        address=str(number),
        reachable=True,
        weights=1,
        running=len(engine.running),
        queued=len(engine.queue),
        pace=engine.pace,
    )


@define(eq=False)
class Agent:
    """Reads an engine and counts the sends and ends that entries notify of.

    Parameters
    ----------
    first_read_s
        Time until the first read.
    is_counting
        Whether load reports include what the agent was notified of since the
        state that the engine reported.
    """

    number: int
    clock: Clock
    engine: Engine
    first_read_s: float
    is_counting: bool
    notifications: int = 0
    _state: EngineLoad = field(init=False)
    _state_as_of: float = 0
    _changes: deque[tuple[float, int]] = field(factory=deque)

    def __attrs_post_init__(self) -> None:
        """Start to read the engine periodically."""
        self._state = load_report(self.engine, self.number)
        self.clock.after(self.first_read_s, self._read)

    def on_notified(self, change: int) -> None:
        """Count a send, 1, or an end, -1."""
        self.notifications += 1
        self._changes.append((self.clock.now, change))

    def report(self) -> tuple[EngineLoad, float]:
        """Return the load report, and the time as of which it is.

        Requests since the engine's state count as running while slots are free.
        """
        state = self._state
        if not self.is_counting:
            return state, self._state_as_of
        change = sum(change for _, change in self._changes)
        total = max(state.running + state.queued + change, 0)
        running = min(total, self.engine.figures.slots)
        load = replace(state, running=running, queued=total - running)
        return load, self.clock.now

    def _read(self) -> None:
        # What is returned after the delay is the state of this moment.
        state = load_report(self.engine, self.number)
        self.clock.after(
            STATE_AGE_S, partial(self._on_state, state, self.clock.now)
        )
        self.clock.after(READ_INTERVAL_S, self._read)

    def _on_state(self, state: EngineLoad, as_of: float) -> None:
        self._state, self._state_as_of = state, as_of
        while self._changes and self._changes[0][0] <= as_of:
            self._changes.popleft()


@define(eq=False)
class Recipients:
    """The entries of a region to which an agent reports, as in the product."""

    close: list[Entry]
    others: list[Entry]
    _reports: int = 0

    @classmethod
    def of(cls, number: int, near: list[Entry]) -> Recipients:
        """Draw the close entries of an engine."""
        drawn = random.Random(number).sample(near, len(near))
        return cls(drawn[:CLOSE_COUNT], drawn[CLOSE_COUNT:])

    def next_due(self) -> list[Entry]:
        """Return the entries that get the next report."""
        is_repeat = self._reports % REPEATS_EACH == 0
        self._reports += 1
        return [*self.close, *(self.others if is_repeat else ())]
