"""Lower bounds of the time at which a peer sent a message."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from random import Random

ECHO_RETENTION_S = 120.0
"""Seconds for which a process remembers when it sent a number.

In a large fleet, two processes exchange messages only every few seconds; an
echo of a forgotten number proves nothing."""

MAX_PEERS = 4096
"""Peers whose last number is kept. Without a bound, one faulty process could
name new ones without end."""

_FIRST_NUMBERS = 2**30
_NUMBERS = 2**32
_MS = 1000


@frozen
class Echo:
    """The number that its sender read last from the receiver.

    ``held_ms`` is how long before this echo was sent it was read, rounded
    down. Number 0 stands for none.
    """

    number: int = 0
    held_ms: int = 0


NO_ECHO = Echo()


@frozen
class _Read:
    number: int
    at: float


@define
class Exchanges:
    """Bounds when peers sent their messages, without any clock of theirs.

    A message can't tell how long it was on its way, or stood unread. Each one
    therefore carries a number, and an echo of the last number that its sender
    read from the receiver. That one had been sent before it was read, and it
    was read ``held_ms`` before the echo was sent: the message is no older than
    that. Delays make it look older than it is, never younger.

    Times are seconds of one clock that runs on while the host is suspended.

    Parameters
    ----------
    random
        Draws the first number, so that an echo of a number of an earlier
        incarnation isn't known to the next one.
    """

    random: Random
    _last_number: int = field(init=False)
    _sent_at: dict[int, float] = field(factory=dict, init=False)
    _read: dict[str, _Read] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._last_number = self.random.randrange(_FIRST_NUMBERS)

    def next_number(self, now: float) -> int:
        """Return the number of a message that is sent now."""
        self._last_number = self._last_number % (_NUMBERS - 1) + 1
        # The latest number is last, also after the counter has wrapped.
        self._sent_at.pop(self._last_number, None)
        self._sent_at[self._last_number] = now
        self._forget_sent(now)
        return self._last_number

    def echo_for(self, peer: str, *, now: float) -> Echo:
        """Return the echo in a message that is sent to a peer now."""
        read = self._read.get(peer)
        if read is None:
            return NO_ECHO
        held_s = now - read.at
        if held_s > ECHO_RETENTION_S:
            del self._read[peer]
            return NO_ECHO
        return Echo(read.number, math.floor(held_s * _MS))

    def on_number(self, peer: str, number: int, *, now: float) -> None:
        """Record the number of a peer's message, which is read now."""
        if not number:
            return
        if peer not in self._read and len(self._read) >= MAX_PEERS:
            self._forget_read(now)
            if len(self._read) >= MAX_PEERS:
                return
        self._read[peer] = _Read(number, now)

    def sent_since(self, echo: Echo, *, now: float) -> float | None:
        """Return a time at or before the one at which a message was sent.

        None without a known echo: the message may be of any age.
        """
        sent_at = self._sent_at.get(echo.number)
        if sent_at is None or echo.held_ms < 0:
            return None
        return min(sent_at + echo.held_ms / _MS, now)

    def _forget_sent(self, now: float) -> None:
        while self._sent_at:
            oldest = next(iter(self._sent_at))
            if now - self._sent_at[oldest] <= ECHO_RETENTION_S:
                return
            del self._sent_at[oldest]

    def _forget_read(self, now: float) -> None:
        self._read = {
            peer: read
            for peer, read in self._read.items()
            if now - read.at <= ECHO_RETENTION_S
        }
