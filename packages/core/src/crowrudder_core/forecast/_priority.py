"""The position of a request among those that wait at an upstream."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class Priority:
    """The urgency of a request, 0 first, among the recent requests.

    ``less_urgent_share`` is the share of the recent requests of its service
    that are less urgent: of the requests of other entries that wait at an
    upstream, only the number is known.
    """

    urgency: int = 0
    less_urgent_share: float = 0


LAST_URGENCY = 9

NO_PRIORITY = Priority(urgency=LAST_URGENCY)
"""For requests of a service that isn't ordered by priority: they overtake nothing,
whatever the urgency that upstreams are told."""
