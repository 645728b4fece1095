"""Admission of a request by the forecast time to its first event."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.admission import AdmissionRequest, PriorityAdmission
from crowrudder_core.forecast import NO_PRIORITY, Priority, reserved_wait_s
from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.forecast import Choice
    from crowrudder_model.fleet import CustomerKeys, Route

MAX_FORECAST_GOALS = 1.0
"""A request is refused at once if its first event is forecast later than this
multiple of its goal. It would occupy the slot of one that can be in time."""

CROWDED_FORECAST_GOALS = 0.75
"""The same at an engine with few free slots, where forecasts are too low."""

RETURNING_FORECAST_GOALS = 0.8
"""The same for a request that the caller sends again after its goal has passed:
it is served only if the upstreams have spare capacity."""

OVERLOAD_SHARE = 0.8
"""Share of the requests of a priority that are admitted below which there is no
room for those that come back soon."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0


@frozen
class Admitted:
    """An admitted request: its route, service, customer and urgency.

    ``terms`` are those of its customer, None for a request without one.
    ``is_ordered`` is whether the service's requests are ordered by priority.
    """

    route: Route
    service: str
    customer: str
    urgency: int
    terms: CustomerKeys | None = None
    is_ordered: bool = False


@frozen(kw_only=True)
class AdmissionTerms:
    """What the demand for a service means for one request.

    ``max_wait_s`` is the longest wait in front of it, infinite without more
    urgent demand and below its floor. ``reserved_slots`` is the share of an
    engine's slots that it is to leave free. ``admitted_share`` is the share of
    the recent requests of its priority that was admitted.
    """

    priority: Priority
    max_wait_s: float
    admitted_share: float
    is_most_urgent: bool
    reserved_slots: float = 0

    @property
    def logged_max_wait_s(self) -> float | None:
        """The longest wait for the log; None without a limit."""
        if math.isinf(self.max_wait_s):
            return None
        return round(self.max_wait_s, 3)

    @property
    def is_overloaded(self) -> bool:
        """Whether many requests of its priority are refused beside others.

        A wait by the forecast is then too short: who comes back within an
        overload is refused again, and its goal has passed in any case.
        """
        has_others = (
            self.priority.less_urgent_share > 0 or not self.is_most_urgent
        )
        return has_others and self.admitted_share < OVERLOAD_SHARE

    @property
    def overtakes(self) -> bool:
        """Whether others are less urgent, and none is more urgent."""
        return self.priority.less_urgent_share > 0 and self.is_most_urgent


NO_TERMS = AdmissionTerms(
    priority=NO_PRIORITY,
    max_wait_s=math.inf,
    admitted_share=1,
    is_most_urgent=True,
)
"""For a service whose requests aren't ordered by priority."""


@frozen
class ForecastRefusal:
    """Why a request is refused, and after how many seconds to retry.

    ``forecast_s`` is the time that was forecast, ``limit_s`` the limit that it
    exceeds.
    """

    reason: str
    retry_after_s: float
    forecast_s: float
    limit_s: float

    def log_fields(self) -> dict[str, float]:
        """Return the fields of the request's log line."""
        return {
            'forecast_s': round(self.forecast_s, 3),
            'limit_s': round(self.limit_s, 3),
        }


def forecast_refusal(
    choice: Choice,
    *,
    goal_s: float,
    passed_s: float,
    is_returning: bool,
    terms: AdmissionTerms,
    now: float,
) -> ForecastRefusal | None:
    """Return a refusal if a first attempt would begin after its goal.

    While more urgent requests are in demand, a less urgent one is refused
    also if others wait in front of it for too long; the slots that it is to
    leave free count as in use. The time that it takes itself doesn't count
    then, so that large requests aren't starved.

    Parameters
    ----------
    terms
        The request's priority and its limits by the demand for its service.
    passed_s
        Seconds since the request arrived.
    is_returning
        See `is_returning_caller`.
    """
    max_goals = _max_forecast_goals(
        choice, now, is_returning=is_returning, overtakes=terms.overtakes
    )
    limit_s = max_goals * goal_s
    ahead_s = choice.first_s - choice.own_s
    ahead_s += reserved_wait_s(choice.forecast, terms.reserved_slots, now)
    begins_s = passed_s + choice.first_s
    if begins_s <= limit_s and ahead_s <= terms.max_wait_s:
        return None
    exceeded = begins_s, limit_s
    if ahead_s > terms.max_wait_s:
        exceeded = ahead_s, terms.max_wait_s
        wait_s = ahead_s - terms.max_wait_s
        reason = (
            f'{ahead_s:.2f} s of work is ahead, and more urgent requests '
            f'leave {terms.max_wait_s:.2f} s'
        )
    else:
        wait_s = choice.first_s - goal_s / 2
        reason = f'first event forecast in {choice.first_s:.2f} s'
    if terms.is_overloaded:
        wait_s = MAX_RETRY_AFTER_S
    retry_after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return ForecastRefusal(reason, retry_after_s, *exceeded)


def deadline_refusal(choice: Choice, left_s: float) -> ForecastRefusal | None:
    """Return a refusal if an attempt would begin after the caller's deadline.

    Its Retry-After is 0, for the estimate by the state of the service.
    """
    if choice.first_s < left_s:
        return None
    reason = (
        f'first event forecast in {choice.first_s:.2f} s, after the deadline'
    )
    return ForecastRefusal(reason, 0, choice.first_s, left_s)


def admission_request(
    admitted: Admitted, *, session: int = 0, wait_s: float | None = None
) -> AdmissionRequest | None:
    """Return what admission by priority needs to know of a request.

    None if the requests of its service aren't ordered by priority.

    Parameters
    ----------
    session
        Digest of what the prompt shares with others: while its last request is
        refused, a conversation sends nothing that follows it.
    wait_s
        Seconds that the caller still waits; None if it doesn't tell.
    """
    if not admitted.is_ordered:
        return None
    return AdmissionRequest(
        service=admitted.service,
        urgency=admitted.urgency,
        goal_s=admitted.route.goal_s,
        customer=admitted.customer,
        session=session,
        refusals=refusals_told(wait_s, admitted.route),
    )


def refusals_told(wait_s: float | None, route: Route) -> int:
    """Return how often a request was refused before, by its caller's deadline.

    Callers start with at least the route's timeout, and return after at most
    `MAX_RETRY_AFTER_S`.
    """
    if wait_s is None:
        return 0
    return int(max(route.timeout_s - wait_s, 0) / MAX_RETRY_AFTER_S)


def is_returning_caller(wait_s: float | None, route: Route) -> bool:
    """Return whether the caller has already waited for longer than the goal.

    Callers start with at least the route's timeout; those that were refused
    before have less time left.

    Parameters
    ----------
    wait_s
        Seconds that the caller still waits; None if it doesn't tell.
    """
    return wait_s is not None and wait_s < route.timeout_s - route.goal_s


def _max_forecast_goals(
    choice: Choice, now: float, *, is_returning: bool, overtakes: bool
) -> float:
    """Return the multiple of the goal that a forecast may reach.

    The forecast of a request that overtakes what waits isn't too low: it
    doesn't depend on how much of that the entry knows.
    """
    if choice.forecast.is_crowded(now) and not overtakes:
        return CROWDED_FORECAST_GOALS
    return RETURNING_FORECAST_GOALS if is_returning else MAX_FORECAST_GOALS


class EntryAdmission:
    """The demand that this entry sees, by service and urgency.

    Requests of services without an order by priority are None and not counted.
    """

    def __init__(self) -> None:
        self._priorities = PriorityAdmission()

    def on_request(self, req: AdmissionRequest | None) -> None:
        """Record a request that asks for admission."""
        if req is not None:
            self._priorities.on_request(req, now=clock_s())

    def on_admitted(self, req: AdmissionRequest | None) -> None:
        """Record a request that is sent to an upstream."""
        if req is not None:
            self._priorities.on_admitted(req, now=clock_s())

    def terms_for(self, req: AdmissionRequest | None) -> AdmissionTerms:
        """Return the terms of a request."""
        if req is None:
            return NO_TERMS
        now = clock_s()
        share = self._priorities.less_urgent_share(
            req.service, req.urgency, now=now
        )
        return AdmissionTerms(
            priority=Priority(urgency=req.urgency, less_urgent_share=share),
            max_wait_s=self._priorities.max_wait_s(req, now=now),
            admitted_share=self._priorities.admitted_share(req, now=now),
            is_most_urgent=self._priorities.is_most_urgent(req, now=now),
            reserved_slots=self._priorities.reserved_slots(req, now=now),
        )

    def status(self) -> dict[str, dict[str, float]]:
        """Return the admitted share by service and urgency."""
        return self._priorities.status(now=clock_s())
