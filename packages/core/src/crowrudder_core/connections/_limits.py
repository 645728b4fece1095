"""How long the parts of a caller's connection may take."""

from __future__ import annotations

import math

from attrs import frozen


@frozen(kw_only=True)
class ConnectionLimits:
    """Limits of a caller's connection, in seconds.

    Attributes
    ----------
    idle_s
        How long a connection may wait for a request.
    head_s
        How long the head of a request may take from its first byte.
    body_s
        How long its body may take.
    version
        Version of the configuration that set them; 0 before the first one.
    """

    idle_s: float = math.inf
    head_s: float = math.inf
    body_s: float = math.inf
    version: int = 0
