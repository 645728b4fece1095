"""An agent's state and capacity reports to the entries that use it."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class ReportRequest:
    """Request a stream of reports, one every ``interval_s`` and on change.

    ``entry`` is the incarnation that requests it.
    """

    host: str
    interval_s: float
    entry: str = ''


@frozen(kw_only=True)
class Report:
    """State of an agent at the moment of sending.

    ``service_s`` is the mean time in seconds that one attempt holds a slot,
    ``pace_s`` the mean time for one piece of an answer, and ``silent_s`` the
    time since the last output of an upstream that has work. ``yours`` is the
    number of running and queued attempts that the receiver sent; the receiver
    itself has the more recent count of these.
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
    yours: int = 0
    leaving: bool
    generation: int
    digest: str


@frozen(kw_only=True)
class CapacityRequest:
    """Request the current wait for one more attempt of a customer."""

    service: str
    customer: str
    share: float


@frozen(kw_only=True)
class CapacityReply:
    """The wait for a slot in seconds; negative if no attempt is accepted.

    ``filled`` is the number of attempts divided by the number of slots.
    """

    wait_s: float
    filled: float = 0
