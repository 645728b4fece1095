"""Signals that arrive while a process imports its modules.

A program calls `hold_signals` before any import that takes time. Without it,
the system's default action ends the process, also for SIGHUP, which only asks
it to read its settings again. This module imports nothing that takes time.
"""

from __future__ import annotations

import signal

__all__ = ('hold_signals', 'take_signals')

_HELD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_received: list[signal.Signals] = []


def hold_signals() -> None:
    """Record signals from now on, until the event loop handles them."""
    for number in _HELD:
        signal.signal(number, _record)


def take_signals() -> list[signal.Signals]:
    """Return the recorded signals in order, and forget them."""
    taken = _received.copy()
    _received.clear()
    return taken


def _record(number: int, _frame: object) -> None:
    _received.append(signal.Signals(number))
