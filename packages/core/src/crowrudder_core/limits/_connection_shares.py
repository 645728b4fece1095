"""Shares of the entries in the connections that an upstream accepts."""

from __future__ import annotations

SAFE_SHARE = 0.9
"""Share of an upstream's connections that all entries together use. The rest is
for connections whose close the upstream hasn't noticed yet, and for entries
that started and that others don't know yet."""

NEAR_WEIGHT = 3
"""How many times the share of an entry in another region an entry of the
upstream's own region has: most requests are served in their own region."""


def connection_share(
    most_connections: int, *, near: int, far: int, is_near: bool
) -> int:
    """Return how many connections an entry may have to an upstream; 0 for any.

    The sum over all entries is at most ``most_connections`` unless there are
    more entries than that: each of them may have one.

    Parameters
    ----------
    most_connections
        Connections that the upstream accepts from all entries together, 0 for
        no limit.
    near, far
        Number of live entries in the upstream's region, and in others.
    is_near
        Whether the entry is in the upstream's region.

    Example
    -------
    >>> connection_share(20, near=2, far=0, is_near=True)
    9
    >>> connection_share(20, near=1, far=1, is_near=True)
    14
    >>> connection_share(20, near=1, far=1, is_near=False)
    4
    >>> connection_share(2, near=5, far=0, is_near=True)
    1
    """
    if most_connections <= 0:
        return 0
    total = int(SAFE_SHARE * most_connections)
    of_far = max(total // max(NEAR_WEIGHT * near + far, 1), 1)
    if not is_near:
        return of_far
    return max((total - of_far * far) // max(near, 1), 1)
