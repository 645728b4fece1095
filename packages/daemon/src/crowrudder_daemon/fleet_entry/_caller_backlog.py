"""The bytes that an entry holds for callers that read slowly."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from attrs import define, field

from crowrudder_core.limits import Backlog
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_daemon.process import Runtime

MEMORY_SHARE = 0.125
"""Share of the memory of this process above which slow callers are cut off. An
answer takes its size twice while it is written."""

DEFAULT_MAX_BYTES = 32 * 1024 * 1024
"""The limit where the memory of the process isn't known."""


class SlowCaller(Protocol):
    """A caller that bytes are held for."""

    def cut_off(self) -> None:
        """Close its connection."""


@define(eq=False)
class CallerBacklog:
    """Cuts off the slowest callers while too many bytes are held.

    What is held for one caller is bounded, and so is the time: by its deadline.
    The sum over all callers isn't, and a process that runs out of memory loses
    every request.

    Parameters
    ----------
    memory_bytes
        Memory of this process, 0 if not known.
    """

    _runtime: Runtime
    memory_bytes: int
    _backlog: Backlog[SlowCaller] = field(init=False)
    _cut_off: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the limit and declare the metrics."""
        max_bytes = int(MEMORY_SHARE * self.memory_bytes) or DEFAULT_MAX_BYTES
        self._backlog = Backlog(max_bytes)
        metrics = self._runtime.metrics
        metrics.gauge(
            'caller_backlog_bytes',
            'Bytes written to callers that they have not read yet.',
            lambda: float(self._backlog.total),
        )
        self._cut_off = metrics.counter(
            'callers_cut_off',
            'Callers cut off as they read slowly and too much was held.',
        )

    def add(self, side: SlowCaller, size: int) -> None:
        """Record a write that waits for its caller; cut off the slowest."""
        now = clock_s()
        self._backlog.add(side, size, now=now)
        while (slowest := self._backlog.slowest(now=now)) is not None:
            self._runtime.log.warning(
                'caller cut off',
                extra={
                    'step': 'deliver',
                    'held_bytes': self._backlog.total,
                    'max_bytes': self._backlog.max_bytes,
                },
            )
            self._cut_off.add()
            self._backlog.remove(slowest)
            slowest.cut_off()

    def remove(self, side: SlowCaller) -> None:
        """Record that nothing waits for a caller any more."""
        self._backlog.remove(side)

    def status(self) -> dict[str, int]:
        """Return the bytes that are held, and their limit."""
        return {
            'held_bytes': self._backlog.total,
            'max_bytes': self._backlog.max_bytes,
        }
