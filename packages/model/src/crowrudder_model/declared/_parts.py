"""The declared parts, with the rule of each key."""

from __future__ import annotations

from attrs import field, frozen

from crowrudder_model.declared._rules import (
    Choice,
    Decimal,
    Digest,
    Name,
    Names,
    WholeNumber,
    rule,
)

MAX_REPLICAS = 100_000
MAX_VERSION_BYTES = 1 << 44
MAX_CHUNKS = 1 << 20
MAX_RATE_PER_S = 1_000_000.0


@frozen
class Model:
    """A model that callers may name.

    >>> Model('listing').name
    'listing'
    """

    name: str = field(metadata=rule(Name(), 'what callers put into `model`'))


@frozen
class Version:
    """Weights of a model; a version never changes once it is published.

    >>> Version('listing-v1', 'listing', 'a' * 64, size=10, chunks=2).chunks
    2
    """

    name: str = field(metadata=rule(Name(), 'the name at the origin'))
    model: str = field(metadata=rule(Name(), 'the model'))
    manifest: str = field(
        metadata=rule(Digest(), "SHA-256 of the manifest's bytes"),
    )
    size: int = field(
        metadata=rule(WholeNumber(1, MAX_VERSION_BYTES), 'bytes in all')
    )
    chunks: int = field(
        metadata=rule(WholeNumber(1, MAX_CHUNKS), 'chunks in all')
    )


@frozen
class Adapter:
    """An adapter, which fits exactly one version.

    >>> Adapter('formal', 'listing', 'listing-v1').version
    'listing-v1'
    """

    name: str = field(metadata=rule(Name(), 'what callers put into `adapter`'))
    model: str = field(metadata=rule(Name(), 'the model'))
    version: str = field(
        metadata=rule(Name(), 'the version that the adapter was made for'),
    )
    manifest: str = field(
        default='',
        metadata=rule(
            Digest(may_be_empty=True),
            "SHA-256 of the manifest's bytes; empty: it comes with the version",
        ),
    )


@frozen
class Service:
    """What runs on hosts: a model on engines, or a plain service.

    >>> Service('portal', kind='plain').is_engine
    False
    """

    name: str = field(metadata=rule(Name(), "the service's name"))
    kind: str = field(
        default='engine',
        metadata=rule(Choice(('engine', 'plain')), 'what serves it'),
    )
    model: str = field(
        default='',
        metadata=rule(Name(), 'the model to serve', only_for='engine'),
    )
    version: str = field(
        default='',
        metadata=rule(Name(), 'the version to load', only_for='engine'),
    )
    adapters: tuple[str, ...] = field(
        default=(),
        metadata=rule(Names(), 'the adapters to load', only_for='engine'),
    )
    regions: tuple[str, ...] = field(
        default=(),
        metadata=rule(
            Names(),
            'where it may run; empty: anywhere',
            only_for='engine',
        ),
    )
    failure_domains: tuple[str, ...] = field(
        default=(),
        metadata=rule(
            Names(),
            'where it may run; empty: anywhere',
            only_for='engine',
        ),
    )
    replicas: int = field(
        default=0,
        metadata=rule(
            WholeNumber(0, MAX_REPLICAS),
            'hosts that run it; 0: every eligible host',
            only_for='engine',
        ),
    )
    rolling_share: float = field(
        default=0.25,
        metadata=rule(
            Decimal(0.001, 1.0),
            'share of the replicas that may change at once',
            only_for='engine',
        ),
    )
    origin_copies: int = field(
        default=1,
        metadata=rule(
            WholeNumber(1, 4),
            'copies taken from the origin: more bytes, less time',
            only_for='engine',
        ),
    )
    fencing: str = field(
        default='checked',
        metadata=rule(
            Choice(('checked', 'ignored')),
            'whether the engines check the fence of an order',
            only_for='engine',
        ),
    )
    slots_per_replica: int = field(
        default=8,
        metadata=rule(
            WholeNumber(1, 4096), 'requests that a replica runs at once'
        ),
    )
    request_s: float = field(
        default=0.05,
        metadata=rule(
            Decimal(0.001, 3600.0),
            'seconds that a short request holds a slot; '
            "only the check of the customers' rates uses it",
        ),
    )

    @property
    def is_engine(self) -> bool:
        """Return whether engines serve it, so that it needs weights."""
        return self.kind == 'engine'


@frozen
class Customer:
    """Who asks, and how much of the fleet that customer may take.

    >>> Customer('show-desk', services=('portal',)).may_use('portal')
    True
    """

    name: str = field(metadata=rule(Name(), 'the value of `X-Customer`'))
    share: float = field(
        default=0.0,
        metadata=rule(
            Decimal(0.0, 1.0),
            'share of the slots kept for this customer under overload',
        ),
    )
    rate_per_s: float = field(
        default=10.0,
        metadata=rule(
            Decimal(0.001, MAX_RATE_PER_S), 'requests a second, lasting'
        ),
    )
    burst: int = field(
        default=20,
        metadata=rule(
            WholeNumber(1, 1_000_000), 'requests at once above the rate'
        ),
    )
    priority_floor: int = field(
        default=0,
        metadata=rule(
            WholeNumber(0, 9),
            'best priority that the customer may ask for (0 is first)',
        ),
    )
    services: tuple[str, ...] = field(
        default=(),
        metadata=rule(Names(), 'services that the customer may use'),
    )

    def may_use(self, service: str) -> bool:
        """Return whether the customer may use the service."""
        return service in self.services


Part = Service | Model | Version | Adapter | Customer
