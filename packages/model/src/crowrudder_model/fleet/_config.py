"""The operators' configuration of a fleet."""

from __future__ import annotations

import enum
from bisect import bisect
from itertools import accumulate

from attrs import field, frozen

from crowrudder_model.fleet._engine import EngineFigures


class RouteKind(enum.Enum):
    """Which requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@frozen
class RouteTarget:
    """A service of a route, with its share of the requests."""

    service: str
    weight: float = 1


@frozen(kw_only=True)
class Route:
    """The target services for requests of one host name and path prefix.

    Parameters
    ----------
    timeout_s
        Maximum time for which a caller may wait.
    goal_s
        Target time to the end of an answer, or to the first event of a stream.
        A later answer is not of full use.
    pause_goal_s
        Target for the longest pause within a stream; 0 for none. A stream with
        a longer pause is not of full use.
    priority
        0 is the most urgent.
    attempts
        Maximum number of upstreams to which one request may be sent.
    public
        Whether requests need no key.
    resumable
        Whether another upstream can resume a stream after a given event.
    regions
        The regions in which requests may be served; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    goal_s: float
    pause_goal_s: float = 0
    priority: int = 5
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    regions: frozenset[str] = frozenset()

    def target_at(self, draw: float) -> RouteTarget | None:
        """Return the target of a request; None if no target has a share.

        Parameters
        ----------
        draw
            A random number from 0 up to 1, which selects it by weight.

        Examples
        --------
        >>> halves = (RouteTarget('a'), RouteTarget('b'))
        >>> route = Route(
        ...     name='r',
        ...     host='h',
        ...     prefix='/',
        ...     kind=RouteKind.ONCE,
        ...     targets=halves,
        ...     timeout_s=1,
        ...     goal_s=1,
        ... )
        >>> route.target_at(0.6).service
        'b'
        """
        sharing = [target for target in self.targets if target.weight > 0]
        if not sharing:
            return None
        bounds = list(accumulate(target.weight for target in sharing))
        # A product that is rounded up selects the last one.
        return sharing[bisect(bounds, draw * bounds[-1], hi=len(bounds) - 1)]

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.ONCE:
                return False
            case RouteKind.STREAM:
                return self.resumable


@frozen(kw_only=True)
class FleetService:
    """A group of equivalent upstreams.

    ``engine`` is None for plain services. ``origin`` is the address of a
    source of weights, which isn't listed among the upstreams; ``link_mbps``
    is the rate of its link in Mbit/s. An upstream is cold for ``warm_up_s`` after
    it started; meanwhile it accepts ``cold_requests_per_s`` from all entries
    together, 0 for no limit.
    """

    name: str
    most_connections: int = 0
    engine: EngineFigures | None = None
    origin: str = ''
    failure_domain: str = ''
    link_mbps: float = 0
    warm_up_s: float = 0
    cold_requests_per_s: float = 0


@frozen(kw_only=True)
class CallerLimits:
    """Limits on the size and time of a request, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 10
    idle_timeout_s: float = 60


@frozen(kw_only=True)
class CustomerKeys:
    """A customer, the keys that identify its requests, and its terms.

    ``priority`` is None if the route's applies. ``regions`` are those in which
    its requests may be served; empty for any.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@frozen(kw_only=True)
class FleetConfig:
    """A published configuration; a higher version replaces all of it."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[FleetService, ...] = ()
    customers: tuple[CustomerKeys, ...] = ()
    limits: CallerLimits = CallerLimits()
    asks_for_keys: bool = False
    _services: dict[str, FleetService] = field(init=False, eq=False, repr=False)
    _keys: dict[str, CustomerKeys] = field(init=False, eq=False, repr=False)
    _host_regions: dict[str, frozenset[str]] = field(
        init=False, eq=False, repr=False
    )

    def __attrs_post_init__(self) -> None:
        """Build the indexes that are used for each request."""
        services = {service.name: service for service in self.services}
        keys = {
            key: customer
            for customer in self.customers
            for key in customer.keys
        }
        object.__setattr__(self, '_services', services)
        object.__setattr__(self, '_keys', keys)
        host_regions = _regions_by_host(self.routes)
        object.__setattr__(self, '_host_regions', host_regions)

    def regions_of_host(self, host: str) -> frozenset[str] | None:
        """Return the regions that routes of a host name are restricted to.

        None if all its routes may be served anywhere.
        """
        return self._host_regions.get(host.lower())

    def service(self, name: str) -> FleetService | None:
        """Return the service with a name, or None."""
        return self._services.get(name)

    def customer_of(self, key: str) -> CustomerKeys | None:
        """Return the customer that holds a key, or None."""
        return self._keys.get(key)

    def newest_of(self, customer: CustomerKeys, key: str) -> CustomerKeys:
        """Return a customer as this configuration has it.

        It may have lost the key since it was identified. One that was removed
        is returned unchanged.
        """
        by_key = self._keys.get(key)
        if by_key is not None and by_key.name == customer.name:
            return by_key
        found = (each for each in self.customers if each.name == customer.name)
        return next(found, customer)

    @property
    def origin(self) -> FleetService | None:
        """The service that is the source of weights, or None."""
        return next((each for each in self.services if each.origin), None)

    @property
    def regions(self) -> frozenset[str]:
        """The regions to which any route or customer is restricted."""
        return frozenset().union(
            *(route.regions for route in self.routes),
            *(customer.regions for customer in self.customers),
        )

    def engine_service(self, model: str) -> FleetService | None:
        """Return the service whose engines serve a model, or None."""
        for service in self.services:
            if service.engine is not None and service.engine.model == model:
                return service
        return None


def _regions_by_host(
    routes: tuple[Route, ...],
) -> dict[str, frozenset[str]]:
    """Return the regions of the restricted routes, by host name."""
    found: dict[str, frozenset[str]] = {}
    for route in routes:
        if route.regions:
            host = route.host.lower()
            found[host] = found.get(host, frozenset()) | route.regions
    return found
