"""Rolling update of a service's version without a coordinator.

The hosts of a service, in rendezvous order, form as many chains as replicas may
change at once: with n chains, a host follows the one n places before it. It
changes once that host answers with the new version. No chain has more than one
replica out of service, and a host asks one other host rather than all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


def predecessors(
    *,
    service: str,
    version: str,
    host: str,
    hosts: Iterable[str],
    share: float,
) -> list[str]:
    """Return the hosts before this one in its chain, nearest first.

    ``share`` of the replicas, at least one, may change at once.

    >>> predecessors(
    ...     service='s', version='v', host='a', hosts=['a'], share=0.5
    ... )
    []
    """
    order = ranked(f'{service}/{version}', {*hosts, host})
    at_once = max(int(share * len(order)), 1)
    rank = order.index(host)
    chain = order[rank % at_once : rank : at_once]
    return list(reversed(chain))


def may_load(
    version: str,
    chain: Iterable[str],
    loaded: Mapping[str, str],
    *,
    has_loaded: bool,
) -> bool:
    """Return whether this host may take its replica out of service to load.

    ``loaded`` holds the version that each host of the chain that answered
    serves, empty for none. Hosts that do not answer are skipped, as a dead
    host would otherwise block all hosts behind it. A host with nothing loaded
    removes no capacity and may always load.
    """
    if not has_loaded:
        return True
    answered = [loaded[host] for host in chain if host in loaded]
    return not answered or answered[0] == version
