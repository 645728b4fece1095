"""A rolling change of version without a coordinator.

The hosts of a service stand in rendezvous order and form as many chains as
replicas may change at once: a host follows the one that stands so many places
before it. It changes when that one answers with the new version, so that no
chain has more than one replica out of service, and a host asks one other
host in place of all of them.
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
    """Give the hosts of the chain before this one, the nearest first.

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


def may_change(
    version: str,
    chain: Iterable[str],
    loaded: Mapping[str, str],
    *,
    has_loaded: bool,
) -> bool:
    """Whether this host may take its replica out of service to load now.

    ``loaded`` gives the version with which each host of the chain that
    answered serves, empty for none. One that doesn't answer is passed over:
    else a dead host would hold up all behind it. A host with nothing loaded
    takes no capacity away and may always load.
    """
    if not has_loaded:
        return True
    answered = [loaded[host] for host in chain if host in loaded]
    return not answered or answered[0] == version
