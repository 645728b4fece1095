"""The operators' configuration of a fleet."""

from __future__ import annotations

import enum

from attrs import field, frozen

from crowrudder_model.fleet._engine import EngineFigures


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@frozen
class RouteTarget:
    """One of the services of a route, with its share of the requests."""

    service: str
    weight: float = 1


@frozen(kw_only=True)
class Route:
    """Where requests of one host name and path prefix go.

    Parameters
    ----------
    timeout_s
        Longest time that the operators want a caller kept waiting.
    goal_s
        Time within which an answer is of full use: to its end, of a stream to
        its first event.
    pause_goal_s
        Longest pause within a stream that is still of full use; 0 for none.
    priority
        0 is the most urgent.
    attempts
        Most upstreams to which one request may be sent.
    public
        Whether it needs no key.
    resumable
        Whether a stream may go on at another upstream after a given event.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent once more."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.ONCE:
                return False
            case RouteKind.STREAM:
                return self.resumable


@frozen(kw_only=True)
class FleetService:
    """A group of equal upstreams.

    ``engine`` is None for plain services. ``origin`` is the address of a
    source of weights, which isn't listed among the upstreams; ``link_mbps``
    is its link in Mbit/s.
    """

    name: str
    most_connections: int = 0
    engine: EngineFigures | None = None
    origin: str = ''
    failure_domain: str = ''
    link_mbps: float = 0


@frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take; bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 10
    idle_timeout_s: float = 60


@frozen(kw_only=True)
class CustomerKeys:
    """A customer, the keys by which its requests are known, its priority.

    ``priority`` is None where the route's applies.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


@frozen(kw_only=True)
class FleetConfig:
    """One published configuration; a higher version replaces it whole."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[FleetService, ...] = ()
    customers: tuple[CustomerKeys, ...] = ()
    limits: CallerLimits = CallerLimits()
    asks_for_keys: bool = False
    _services: dict[str, FleetService] = field(init=False, eq=False, repr=False)
    _keys: dict[str, CustomerKeys] = field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Index what is looked up for each request."""
        services = {service.name: service for service in self.services}
        keys = {
            key: customer
            for customer in self.customers
            for key in customer.keys
        }
        object.__setattr__(self, '_services', services)
        object.__setattr__(self, '_keys', keys)

    def service(self, name: str) -> FleetService | None:
        """Find a service by its name."""
        return self._services.get(name)

    def customer_of(self, key: str) -> CustomerKeys | None:
        """Find the customer that holds a key."""
        return self._keys.get(key)

    @property
    def origin(self) -> FleetService | None:
        """The source of weights, if there is one."""
        return next((each for each in self.services if each.origin), None)

    def engine_service(self, model: str) -> FleetService | None:
        """Find the service whose engines serve a model."""
        for service in self.services:
            if service.engine is not None and service.engine.model == model:
                return service
        return None
