"""The order of requests by the priorities of customers and routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from crowrudder_model.fleet import CustomerKeys, FleetConfig, Route

MAX_URGENCY = 9
"""Upstreams know the urgencies from 0, the first, to this one."""


@define
class PriorityLevels:
    """The urgency of requests by a configuration.

    Where an operator gives the routes of a service of engines different
    priorities, its requests are ordered by the customer's priority, and of
    equal ones by the route's: each combination that the configuration allows
    is one urgency. Elsewhere the customer's priority alone counts, or the
    route's for customers without one.
    """

    _config: FleetConfig
    _levels: dict[str, dict[tuple[int, int], int]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Order the combinations of each service that has several."""
        by_service: dict[str, set[int]] = {}
        for route in self._config.routes:
            for target in route.targets:
                by_service.setdefault(target.service, set()).add(route.priority)
        of_customers = {each.priority for each in self._config.customers}
        self._levels = {
            name: _order(priorities, of_customers)
            for name, priorities in by_service.items()
            if len(priorities) > 1 and self._has_engine(name)
        }

    def is_ordered(self, service: str) -> bool:
        """Return whether a service's routes have different priorities."""
        return service in self._levels

    def urgency(
        self, service: str, route: Route, customer: CustomerKeys | None
    ) -> int:
        """Return the urgency of a request, 0 to 9, 0 first."""
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        levels = self._levels.get(service)
        if levels is not None:
            priority = levels.get((priority, route.priority), MAX_URGENCY)
        return min(max(priority, 0), MAX_URGENCY)

    def _has_engine(self, name: str) -> bool:
        service = self._config.service(name)
        return service is not None and service.engine is not None


def _order(
    of_routes: set[int], of_customers: set[int | None]
) -> dict[tuple[int, int], int]:
    """Return the place of each pair of a customer's and a route's priority."""
    pairs = {
        (route if customer is None else customer, route)
        for route in of_routes
        for customer in (*of_customers, None)
    }
    return {pair: place for place, pair in enumerate(sorted(pairs))}
