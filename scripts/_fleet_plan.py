"""Size and configuration of the fleet of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    pass


@frozen
class FleetPlan:
    """Size of a fleet and behaviour of its stand-ins.

    Rates are in bytes a second, 0 for no limit. The processes of a `relayed`
    fleet reach each other, the platform and the weight sources through
    `Fleet.relay`, which can cut, stall and delay their links.
    """

    entries: int = 2
    engines: int = 4
    plains: int = 1
    plain_service: str = 'portal'
    regions: tuple[str, ...] = ('rennes', 'caen')
    origin_rate: int = 8_000_000
    store_rate: int = 8_000_000
    link_bytes_per_s: int = 50_000_000
    member_lag_s: float = 0.5
    engine_options: tuple[str, ...] = ()
    fencing: str = 'checked'
    slots: int = 8
    retry_share: float = 0.1
    drain_s: float = 20
    poll_s: float = 1
    log_level: str = 'info'
    relayed: bool = False
