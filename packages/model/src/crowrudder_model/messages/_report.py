"""An agent's report of its state to the entries that use it."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class ReportAsk:
    """Ask for a stream of reports, one each ``interval_s`` and on change.

    ``entry`` is the incarnation that asks.
    """

    host: str
    interval_s: float
    entry: str = ''


@frozen(kw_only=True)
class Report:
    """State of an agent at the moment of sending.

    ``service_s`` is the mean time in seconds that one attempt holds a slot,
    ``pace_s`` the same for one piece of an answer, and ``silent_s`` the time
    since the upstream gave anything while it had work. ``yours`` is the part of
    running and queued that the reader has sent: it knows its own part better.
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
class RoomAsk:
    """Ask how long one more attempt of a customer would wait now."""

    service: str
    customer: str
    share: float


@frozen(kw_only=True)
class RoomReply:
    """The wait for a slot in seconds; negative where nothing is taken in.

    ``filled`` is the number of attempts there over the number of slots.
    """

    wait_s: float
    filled: float = 0
