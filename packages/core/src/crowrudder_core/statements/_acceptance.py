"""Whether an upstream accepts a request now, by its own statements.

``wait_s`` is the time until the next request may be sent to it, infinite if
that can't be told; ``reason`` completes the sentence "it ...".
"""

from __future__ import annotations

import math

from attrs import frozen


@frozen
class Accepting:
    """It has stated nothing that speaks against a request."""

    wait_s: float = 0
    reason: str = 'accepts requests'


@frozen
class Leaving:
    """It is leaving and accepts no request any more."""

    wait_s: float = math.inf
    reason: str = 'is leaving'


@frozen
class Absent:
    """Another upstream answered at its address."""

    wait_s: float
    reason: str = 'has another upstream at its address'


@frozen
class Pausing:
    """It asked this entry for a pause, which lasts or ends by degrees."""

    wait_s: float
    reason: str = 'asked for a pause'


@frozen
class Limited:
    """Its rate limit leaves this entry no request now."""

    wait_s: float
    reason: str = 'allows no more requests now by its limit'


@frozen
class Cold(Limited):
    """It is cold, and this entry's quota is used up."""

    reason: str = 'is cold and allows no more requests now'


Acceptance = Accepting | Leaving | Absent | Pausing | Limited
