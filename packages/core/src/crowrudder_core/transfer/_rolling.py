"""A rolling change of version without a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Mapping


def may_change(
    *,
    service: str,
    version: str,
    host: str,
    loaded: Mapping[str, str],
    share: float,
) -> bool:
    """Whether this host may take its replica out of service to load now.

    ``loaded`` gives for each live host of the service, this one included, the
    version that its engine answers with. Hosts change in rendezvous order, at
    most a share of the replicas (at least one) at a time. Hosts with nothing
    loaded take no capacity away and may always load.
    """
    if not loaded.get(host):
        return True
    waiting = [
        name
        for name in ranked(f'{service}/{version}', loaded)
        if loaded[name] != version
    ]
    at_once = max(int(share * len(loaded)), 1)
    return host in waiting[:at_once]
