"""Slots of an engine that a less urgent request leaves free."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crowrudder_core.forecast._upstream_forecast import UpstreamForecast


def reserved_wait_s(
    forecast: UpstreamForecast, reserved_slots: float, now: float
) -> float:
    """Return the wait for the slots that a request is to leave free.

    It is the time until as many slots are free as the reserve lacks after the
    request has one; 0 for an upstream without an engine.

    Parameters
    ----------
    reserved_slots
        Share of the slots that are to stay free.
    """
    if forecast.model is None or not reserved_slots:
        return 0
    slots = max(forecast.upstream.slots, 1)
    reserved = round(reserved_slots * slots)
    free = slots - forecast.total(now) - 1
    lacking = min(max(reserved - free, 0), reserved)
    load = forecast.fresh_load(now)
    pace = load.pace if load else 1.0
    return pace * lacking * forecast.model.slot_interval_s(slots)
