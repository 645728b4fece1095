"""An agent's report of its state to the entries that use it."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class ReportAsk:
    """Ask for a stream of reports, one each ``interval_s`` and on change."""

    host: str
    interval_s: float


@frozen(kw_only=True)
class Report:
    """State of an agent at the moment of sending.

    ``service_s`` is the mean time in seconds that one attempt holds a slot,
    ``pace_s`` the same for one piece of an answer, and ``silent_s`` the time
    since the upstream gave anything while it had work.
    """

    host: str
    incarnation: str
    service: str
    version: str
    adapters: tuple[str, ...]
    running: int
    queued: int
    slots: int
    service_s: float
    pace_s: float = 0
    silent_s: float = 0
    leaving: bool
    generation: int
    digest: str
