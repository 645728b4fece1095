"""What a declaration must keep to be published: after another, on hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import msgspec

from crowrudder_model._member import Member
from crowrudder_model.declared._bundle import (
    MOST_BUNDLE_BYTES,
    Bundle,
    bundle_of,
)
from crowrudder_model.declared._checks import Fault, section_of
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._parts import Customer, Service
from crowrudder_model.declared._sections import FLEET
from crowrudder_model.declared.placement import place

NOWHERE = 'nowhere'


def publishing_faults(
    declaration: Declaration,
    *,
    previous: Bundle | None = None,
    members: tuple[Member, ...] = (),
) -> tuple[Fault, ...]:
    """Give the faults that only a publication can have.

    Parameters
    ----------
    declaration
        without faults of its own.
    previous
        the bundle that it follows, if known.
    members
        the hosts, if known; without them the numbers of replicas count.
    """
    return (
        *_size_faults(declaration),
        *_shadowed(declaration),
        *_placement_faults(declaration, members),
        *_rate_faults(declaration, members),
        *_succession_faults(declaration, previous),
    )


def _size_faults(declaration: Declaration) -> Iterator[Fault]:
    size = len(msgspec.json.encode(bundle_of(declaration)))
    if size > MOST_BUNDLE_BYTES:
        allowed = f'a bundle of {MOST_BUNDLE_BYTES} bytes at most'
        yield Fault(FLEET, '', f'{size} bytes', allowed)


def _shadowed(declaration: Declaration) -> Iterator[Fault]:
    """Find services whose every host an earlier service takes.

    Hosts go to the services in the order of their names, and `replicas = 0`
    takes all that are eligible.
    """
    engines = sorted(
        (item for item in declaration.services if item.is_engine),
        key=lambda item: item.name,
    )
    for place_of, service in enumerate(engines):
        takers = (
            earlier
            for earlier in engines[:place_of]
            if earlier.replicas == 0 and _covers(earlier, service)
        )
        taker = next(takers, None)
        if taker is not None:
            allowed = f'hosts that [service:{taker.name}] leaves free'
            yield Fault(section_of(service), 'replicas', NOWHERE, allowed)


def _covers(earlier: Service, service: Service) -> bool:
    return _includes(earlier.regions, service.regions) and _includes(
        earlier.failure_domains,
        service.failure_domains,
    )


def _includes(wide: tuple[str, ...], narrow: tuple[str, ...]) -> bool:
    # Nothing named stands for everywhere.
    return not wide or (bool(narrow) and set(narrow) <= set(wide))


def _placement_faults(
    declaration: Declaration,
    members: tuple[Member, ...],
) -> Iterator[Fault]:
    if not members:
        return
    placed = _placed(declaration, members)
    for service in declaration.services:
        count = placed[service.name]
        if service.is_engine and count < max(1, service.replicas):
            yield Fault(
                section_of(service),
                'replicas',
                str(service.replicas),
                f'{count} at most: so many live engine hosts are in its '
                'regions and failure domains and not taken before it',
            )


def _rate_faults(
    declaration: Declaration,
    members: tuple[Member, ...],
) -> Iterator[Fault]:
    """Find customers whose rate their services could never carry."""
    placed = _placed(declaration, members) if members else None
    for customer in declaration.customers:
        carried = _carried(declaration, customer, placed)
        if carried is not None and customer.rate_per_s > carried:
            yield Fault(
                section_of(customer),
                'rate_per_s',
                f'{customer.rate_per_s:g}',
                f'{carried:g} at most: replicas times slots_per_replica, '
                'through request_s, of its services',
            )


def _carried(
    declaration: Declaration,
    customer: Customer,
    placed: Counter[str] | None,
) -> float | None:
    """Sum up what a customer's services carry, in requests a second."""
    total = 0.0
    for service in declaration.services:
        if not customer.may_use(service.name):
            continue
        hosts = service.replicas if placed is None else placed[service.name]
        if not hosts:
            # Without the hosts, nobody knows how many it will have.
            return None
        total += hosts * service.slots_per_replica / service.request_s
    return total if customer.services else None


def _placed(
    declaration: Declaration,
    members: tuple[Member, ...],
) -> Counter[str]:
    services = place(declaration, members).values()
    return Counter(service.name for service in services)


def _succession_faults(
    declaration: Declaration,
    previous: Bundle | None,
) -> Iterator[Fault]:
    if previous is None:
        return
    if declaration.parent != previous.digest:
        # Another operator published in between, or the files are older.
        allowed = f'{previous.digest}, the digest of the bundle before'
        yield Fault(FLEET, 'parent', declaration.parent, allowed)
    lowest = previous.declaration.generation + 1
    if declaration.generation < lowest:
        found = str(declaration.generation)
        yield Fault(FLEET, 'generation', found, f'{lowest} or more')
    yield from _deletions(declaration, previous.declaration)
    yield from _changed_versions(declaration, previous.declaration)


def _deletions(after: Declaration, before: Declaration) -> Iterator[Fault]:
    """Find what is gone although the bundle before still uses it.

    Hosts change one after the other: while they do, the ones behind still
    serve with what the bundle before names.
    """
    present = {section_of(part) for part in after.parts()}
    for used, user in _uses(before):
        if used not in present:
            yield Fault(
                used,
                '',
                NOWHERE,
                f'the section as it was: [{user}] of the bundle before uses '
                'it; delete it one generation later',
            )


def _changed_versions(
    after: Declaration,
    before: Declaration,
) -> Iterator[Fault]:
    """Find versions that are other weights under the old name.

    Hosts that hold the old ones would answer as if they had the new ones.
    """
    for version in after.versions:
        known = before.version(version.name)
        if known is not None and known.manifest != version.manifest:
            yield Fault(
                section_of(version),
                'manifest',
                version.manifest,
                f'{known.manifest} as before; other weights get a new name',
            )


def _uses(declaration: Declaration) -> Iterator[tuple[str, str]]:
    """Give each section that is in use, once, with one of its users."""
    uses: dict[str, str] = {}
    for service in declaration.services:
        user = section_of(service)
        if service.is_engine:
            uses.setdefault(f'model:{service.model}', user)
            uses.setdefault(f'version:{service.version}', user)
        for adapter in service.adapters:
            uses.setdefault(f'adapter:{adapter}', user)
    for customer in declaration.customers:
        for name in customer.services:
            uses.setdefault(f'service:{name}', section_of(customer))
    yield from uses.items()
