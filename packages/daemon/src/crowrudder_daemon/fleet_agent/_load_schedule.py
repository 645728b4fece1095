"""Schedule of loads: when a host may take its replica out of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_LOAD_SHARE = 0.55
"""Share of the window after which the first host loads; a host needs about that
long to read a version over its link."""

LAST_LOAD_SHARE = 0.9
"""Share of the window after which the last host loads: about when entries stop
sending it requests because its version ends."""

EARLY_HOSTS_SHARE = 1 / 3
EARLY_HOST_READS = 4
DEFAULT_READS = 3
"""With five or six, the other hosts lose as much time as the first ones gain."""


def load_delay_s(
    *,
    version: str,
    host: str,
    hosts: Iterable[str],
    window_s: float,
    held_s: float = 0,
) -> float:
    """Return the delay from a version's publication to a host's load.

    Hosts load one after the other, in an order that each computes on its own:
    if all loaded at once, none would be left to serve. On slow links all hosts
    hold a version at about the same time, late in the window, so the loads are
    spread over the rest of the window.

    Parameters
    ----------
    held_s
        Time from the publication until the host held the version, seconds.

    >>> load_delay_s(version='v', host='a', hosts=['a'], window_s=10.0)
    5.5
    """
    position = _position(version, host, hosts)
    first_s = max(window_s * FIRST_LOAD_SHARE, held_s)
    return first_s + position * max(window_s * LAST_LOAD_SHARE - first_s, 0)


def reads_at_once(version: str, host: str, hosts: Iterable[str]) -> int:
    """Return the number of chunks that a host reads concurrently.

    Hosts that load first read more: if all held a version at the same time,
    late in its window, half of them would have to load within two seconds. By
    the model of `measure/_weights_fleet.py`, 31 hosts in four
    regions: the first third holds it after 5.25 s instead of 5.70 s, the
    others after 5.70 and 5.85 s instead of 5.65 s (bound of the links 5.0).

    >>> reads_at_once('v', 'a', ['a'])
    4
    """
    is_first = _position(version, host, hosts) < EARLY_HOSTS_SHARE
    return EARLY_HOST_READS if is_first else DEFAULT_READS


def _position(version: str, host: str, hosts: Iterable[str]) -> float:
    """Return a host's position in the load order, from 0 to below 1."""
    order = ranked(version, {*hosts, host})
    return order.index(host) / len(order)
