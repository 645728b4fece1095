"""Admission by priority, with a floor for what is less urgent."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from crowrudder_core.admission._decaying import DecayingCount

DEMAND_TTL_S = 2.0
"""How long after its last request a priority counts as in demand. A reserve for
demand that has ended must not hold back less urgent requests for longer."""

RESERVE_GOALS = 0.5
"""Longest wait in front of a less urgent request, as a share of the goal of the
more urgent ones: these wait for what runs, and must still begin in time. It is
divided by the number of more urgent priorities up to `MAX_STEPS`: each of them
finds room that the next one leaves."""

MAX_STEPS = 2
"""Beyond it the limit is no longer than the time in which a request begins at an
engine with free slots, and the last priorities would leave them idle."""

RESERVED_SLOTS = 1 / 12
"""Share of an engine's slots that a less urgent request leaves free, for each of
up to `MAX_STEPS` more urgent priorities. With a limit of the wait alone, nearly
all slots were in use, and 0.7 of the urgent requests found none free. Twice the
share left 0.16 of the slots idle in a burst of the last of three priorities."""

SHARE_TIME_CONSTANT_S = 4.0
"""Time constant of the shares that the floors compare."""

FLOOR_SHARE = 0.4
"""Share of the requests of a priority or customer that are admitted, relative to
all of the service, below which the reserve no longer holds them back."""

MIN_COMPARED = 4.0
"""Requests, weighted by age, below which a share says nothing."""

MAX_REFUSALS = 3
"""Consecutive refusals of a session from which on it isn't held back."""

REFUSAL_INTERVAL_S = 1.0
"""Requests of a session within it count as one refusal. A key that many callers
use is refused several times at once, and isn't left unserved for that."""

MAX_CUSTOMERS = 1024
"""Most customers of a service whose shares are kept."""

MAX_SESSIONS = 4096
"""Most sessions of a service whose refusals are kept."""


@frozen(kw_only=True)
class AdmissionRequest:
    """What admission needs to know of a request; 0 is the first urgency.

    ``session`` is equal for a customer's requests of which one must be served
    for the others to follow, 0 if this isn't known. ``refusals`` is how often
    the request was refused before by any entry, as far as its caller tells.
    """

    service: str
    urgency: int
    goal_s: float
    customer: str = ''
    session: int = 0
    refusals: int = 0


@define
class _Share:
    """Requested and admitted requests."""

    requested: DecayingCount = field(
        factory=lambda: DecayingCount(SHARE_TIME_CONSTANT_S)
    )
    admitted: DecayingCount = field(
        factory=lambda: DecayingCount(SHARE_TIME_CONSTANT_S)
    )

    def value(self, now: float) -> float:
        """Return the admitted share; 1 if there were too few requests."""
        requested = self.requested.value(now=now)
        if requested < MIN_COMPARED:
            return 1
        return min(self.admitted.value(now=now) / requested, 1)


@define
class _Session:
    """Requests since one was admitted, at most one for each interval."""

    requests: int = 0
    counted_at: float = -math.inf

    def on_request(self, *, now: float) -> None:
        """Count a request."""
        if now - self.counted_at >= REFUSAL_INTERVAL_S:
            self.requests += 1
            self.counted_at = now


@define
class _Priority:
    """The demand of one urgency; ``goal_s`` is the smallest of recent goals."""

    share: _Share = field(factory=_Share)
    goal_s: float = math.inf
    requested_at: float = -math.inf
    _goal_seen_at: float = -math.inf

    def on_request(self, goal_s: float, *, now: float) -> None:
        """Record a request; routes with other goals may have its urgency."""
        self.requested_at = now
        is_expired = now - self._goal_seen_at > DEMAND_TTL_S
        if is_expired or goal_s <= self.goal_s:
            self.goal_s = goal_s
            self._goal_seen_at = now

    def is_in_demand(self, now: float) -> bool:
        """Return whether it was requested recently."""
        return now - self.requested_at <= DEMAND_TTL_S


@define
class _ServiceDemand:
    total: _Share = field(factory=_Share)
    priorities: dict[int, _Priority] = field(factory=dict)
    customers: dict[str, _Share] = field(factory=dict)
    sessions: dict[tuple[str, int], _Session] = field(factory=dict)

    def more_urgent_goals_s(self, urgency: int, *, now: float) -> list[float]:
        """Return the goal of each more urgent priority that is in demand."""
        return [
            priority.goal_s
            for other, priority in self.priorities.items()
            if other < urgency and priority.is_in_demand(now)
        ]

    def share_of_customer(self, customer: str) -> _Share:
        """Return a customer's share; drop the least recently used beyond a limit."""
        share = self.customers.pop(customer, None) or _Share()
        if len(self.customers) >= MAX_CUSTOMERS:
            del self.customers[next(iter(self.customers))]
        self.customers[customer] = share
        return share

    def on_session_request(self, req: AdmissionRequest, *, now: float) -> None:
        """Count a session's request; drop the least recently used beyond a limit."""
        key = (req.customer, req.session)
        session = self.sessions.pop(key, None) or _Session()
        if len(self.sessions) >= MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]
        self.sessions[key] = session
        session.on_request(now=now)

    def is_refused_often(self, req: AdmissionRequest) -> bool:
        """Return whether the session of a request was refused several times."""
        session = self.sessions.get((req.customer, req.session))
        own = session.requests - 1 if session else 0
        return max(own, req.refusals) >= MAX_REFUSALS


@define
class PriorityAdmission:
    """Decides how long a less urgent request may wait in front of engines.

    Engines admit from their queues by urgency, so that less urgent requests
    that wait there delay no others. Those that already run do. While more
    urgent requests are in demand, less urgent ones are therefore admitted
    only as long as the wait in front of them is short, so that a more urgent
    request finds a slot that is about to be free.

    A service whose requests all have one urgency has no such limit.
    """

    _services: dict[str, _ServiceDemand] = field(factory=dict)

    def on_request(self, req: AdmissionRequest, *, now: float) -> None:
        """Record a request that asks for admission."""
        demand = self._services.setdefault(req.service, _ServiceDemand())
        priority = demand.priorities.setdefault(req.urgency, _Priority())
        priority.on_request(req.goal_s, now=now)
        for share in self._shares(demand, req):
            share.requested.add(now=now)
        if req.session:
            demand.on_session_request(req, now=now)

    def on_admitted(self, req: AdmissionRequest, *, now: float) -> None:
        """Record a request that was admitted."""
        demand = self._services.get(req.service)
        if demand is None:
            return
        for share in self._shares(demand, req):
            share.admitted.add(now=now)
        demand.sessions.pop((req.customer, req.session), None)

    def is_most_urgent(self, req: AdmissionRequest, *, now: float) -> bool:
        """Return whether nothing more urgent is in demand in the service."""
        demand = self._services.get(req.service)
        return demand is None or not demand.more_urgent_goals_s(
            req.urgency, now=now
        )

    def max_wait_s(self, req: AdmissionRequest, *, now: float) -> float:
        """Return the longest wait in front of a request that is admitted.

        Infinite without more urgent demand, for a priority or a customer below
        its floor, and for a session that was refused several times.
        """
        goals_s = self._reserved_goals_s(req, now)
        if not goals_s:
            return math.inf
        return RESERVE_GOALS * min(goals_s) / _steps(goals_s)

    def reserved_slots(self, req: AdmissionRequest, *, now: float) -> float:
        """Return the share of an engine's slots that a request leaves free.

        0 where `max_wait_s` has no limit.
        """
        return RESERVED_SLOTS * _steps(self._reserved_goals_s(req, now))

    def less_urgent_share(
        self, service: str, urgency: int, *, now: float
    ) -> float:
        """Return which share of the recent requests is less urgent.

        It is 0 as soon as less urgent requests are no longer in demand: the
        counts themselves decay, but never to nothing.
        """
        demand = self._services.get(service)
        if demand is None:
            return 0
        counts = {
            other: priority.share.requested.value(now=now)
            for other, priority in demand.priorities.items()
            if priority.is_in_demand(now)
        }
        total = sum(counts.values())
        if not total:
            return 0
        less = sum(count for other, count in counts.items() if other > urgency)
        return less / total

    def admitted_share(self, req: AdmissionRequest, *, now: float) -> float:
        """Return the share of recent requests of a priority that is admitted."""
        demand = self._services.get(req.service)
        priority = demand.priorities.get(req.urgency) if demand else None
        return priority.share.value(now) if priority else 1

    def status(self, *, now: float) -> dict[str, dict[str, float]]:
        """Return the admitted share by service and urgency."""
        return {
            service: {
                str(urgency): round(priority.share.value(now), 3)
                for urgency, priority in sorted(demand.priorities.items())
            }
            for service, demand in self._services.items()
        }

    def _reserved_goals_s(
        self, req: AdmissionRequest, now: float
    ) -> list[float]:
        """Return the goals of the priorities that a request leaves room for."""
        demand = self._services.get(req.service)
        if demand is None:
            return []
        goals_s = demand.more_urgent_goals_s(req.urgency, now=now)
        if (
            not goals_s
            or demand.is_refused_often(req)
            or self._is_below_floor(demand, req, now)
        ):
            return []
        return goals_s

    def _is_below_floor(
        self, demand: _ServiceDemand, req: AdmissionRequest, now: float
    ) -> bool:
        floor = FLOOR_SHARE * demand.total.value(now)
        return any(
            share.value(now) < floor
            for share in self._shares(demand, req)
            if share is not demand.total
        )

    def _shares(
        self, demand: _ServiceDemand, req: AdmissionRequest
    ) -> list[_Share]:
        priority = demand.priorities.setdefault(req.urgency, _Priority())
        shares = [demand.total, priority.share]
        if req.customer:
            shares.append(demand.share_of_customer(req.customer))
        return shares


def _steps(goals_s: list[float]) -> int:
    """Return the number of more urgent priorities that limits count."""
    return min(len(goals_s), MAX_STEPS)
