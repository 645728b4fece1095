"""When a host may take its replica out of service to load a version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_PART = 0.55
"""Part of the window after which the first host loads; it takes a host about
that long to read a version over its link."""

LAST_PART = 0.9
"""Part of the window after which the last host loads: about when entries stop
sending it requests, as its version ends."""


def load_delay_s(
    *,
    version: str,
    host: str,
    hosts: Iterable[str],
    window_s: float,
    held_s: float = 0,
) -> float:
    """Give the time from a version's publication to a host's turn.

    Hosts load one after the other, in an order that each works out alone:
    loading all at once would leave nobody to answer meanwhile. On slow links
    they hold a version at about the same time, late in the window, so what
    is left of it is shared out.

    Parameters
    ----------
    held_s
        Time from the publication until the host held the version, seconds.

    >>> load_delay_s(version='v', host='a', hosts=['a'], window_s=10.0)
    5.5
    """
    order = ranked(version, {*hosts, host})
    part = order.index(host) / len(order)
    first_s = max(window_s * FIRST_PART, held_s)
    return first_s + part * max(window_s * LAST_PART - first_s, 0)
