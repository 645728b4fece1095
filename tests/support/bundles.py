"""Small bundles and member lists."""

from __future__ import annotations

from crowrudder_model import Member
from crowrudder_model.declared import (
    Bundle,
    Customer,
    Declaration,
    Service,
    bundle_of,
    decode_bundle,
    encode_bundle,
)


def declared(
    generation: int,
    *,
    parent: str = '',
    rate: float = 1.0,
    customers: int = 1,
) -> Declaration:
    """Declare one service and customers; different rates make different texts."""
    return Declaration(
        generation,
        parent=parent,
        services=(Service('portal', kind='plain'),),
        customers=tuple(
            Customer(
                f'customer-{number}',
                share=1 / customers,
                rate_per_s=float(rate),
                burst=10,
                services=('portal',),
            )
            for number in range(customers)
        ),
    )


def payload(generation: int, *, parent: str = '', rate: float = 1.0) -> bytes:
    """Encode the value that an operator publishes."""
    return encode_bundle(declared(generation, parent=parent, rate=rate))


def bundle(generation: int, *, parent: str = '', rate: float = 1.0) -> Bundle:
    """Return the bundle that the published value holds."""
    return bundle_of(declared(generation, parent=parent, rate=rate))


def digest_in(value: bytes) -> str:
    """Return the digest of a published value."""
    return decode_bundle(value).digest


def member(host: str, *, domain: str = 'north-a', port: int = 1) -> Member:
    """Return a live entry."""
    return Member(
        host,
        'entry',
        '127.0.0.1',
        rpc_port=port,
        region='north',
        failure_domain=domain,
    )


def fleet(count: int, *, domains: int = 6) -> tuple[Member, ...]:
    """Return the members of a fleet, spread over failure domains."""
    return tuple(
        member(f'host-{number:04}', domain=f'domain-{number % domains}')
        for number in range(count)
    )
