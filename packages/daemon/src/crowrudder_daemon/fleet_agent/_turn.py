"""When a host may take its replica out of service to load a version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_PART = 0.55
"""Part of the window after which the first host loads; it takes a host about
that long to read a version over its link."""

LAST_PART = 0.8
"""Part of the window after which the last host loads, so that what still runs
there can end."""


def load_delay_s(
    *,
    version: str,
    host: str,
    hosts: Iterable[str],
    window_s: float,
) -> float:
    """Give the time from a version's publication to a host's turn.

    Hosts load one after the other, in an order that each works out alone:
    loading all at once would leave nobody to answer meanwhile.

    >>> load_delay_s(version='v', host='a', hosts=['a'], window_s=10.0)
    5.5
    """
    order = ranked(version, {*hosts, host})
    part = order.index(host) / len(order)
    return window_s * (FIRST_PART + part * (LAST_PART - FIRST_PART))
