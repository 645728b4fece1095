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

FIRST_HOSTS = 1 / 3
EARLY_READS = 4
USUAL_READS = 3
"""With five or six the others wait for as long as the first ones gain."""


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
    part = _part(version, host, hosts)
    first_s = max(window_s * FIRST_PART, held_s)
    return first_s + part * max(window_s * LAST_PART - first_s, 0)


def reads_at_once(version: str, host: str, hosts: Iterable[str]) -> int:
    """Give the chunks that a host reads at once.

    Hosts that are to load first read more: holding a version all at the same
    time, late in its window, half of them would have to load within two
    seconds. By the model of `measure/_weights_fleet.py`, 31 hosts in four
    regions: the first third holds it after 5.25 s in place of 5.70 s, the
    others after 5.70 and 5.85 s in place of 5.65 s (bound of the links 5.0).

    >>> reads_at_once('v', 'a', ['a'])
    4
    """
    is_first = _part(version, host, hosts) < FIRST_HOSTS
    return EARLY_READS if is_first else USUAL_READS


def _part(version: str, host: str, hosts: Iterable[str]) -> float:
    """Give a host's place in the order of loads, from 0 to below 1."""
    order = ranked(version, {*hosts, host})
    return order.index(host) / len(order)
