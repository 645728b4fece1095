"""Checks before publication: size, capacity and succession."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import msgspec

from crowrudder_model._member import Member
from crowrudder_model.declared._bundle import (
    MAX_BUNDLE_BYTES,
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
    """Return the faults that matter only when a declaration is published.

    Parameters
    ----------
    declaration
        a declaration without faults of `faults_of`.
    previous
        the bundle that it replaces, if known.
    members
        the hosts, if known; otherwise the declared numbers of replicas
        are used.
    """
    return (
        *_size_faults(declaration),
        *_shadowed_services(declaration),
        *_placement_faults(declaration, members),
        *_rate_faults(declaration, members),
        *_succession_faults(declaration, previous),
    )


def _size_faults(declaration: Declaration) -> Iterator[Fault]:
    size = len(msgspec.json.encode(bundle_of(declaration)))
    if size > MAX_BUNDLE_BYTES:
        allowed = f'a bundle of {MAX_BUNDLE_BYTES} bytes at most'
        yield Fault(FLEET, '', f'{size} bytes', allowed)


def _shadowed_services(declaration: Declaration) -> Iterator[Fault]:
    """Find services that get no host because an earlier one takes all.

    Hosts are assigned to services in the order of the services' names, and
    `replicas = 0` takes all eligible hosts.
    """
    engines = sorted(
        (item for item in declaration.services if item.is_engine),
        key=lambda item: item.name,
    )
    for position, service in enumerate(engines):
        shadowing = (
            earlier
            for earlier in engines[:position]
            if earlier.replicas == 0 and _covers(earlier, service)
        )
        shadowing_service = next(shadowing, None)
        if shadowing_service is not None:
            allowed = (
                f'hosts that [service:{shadowing_service.name}] leaves free'
            )
            yield Fault(section_of(service), 'replicas', NOWHERE, allowed)


def _covers(earlier: Service, service: Service) -> bool:
    return _includes(earlier.regions, service.regions) and _includes(
        earlier.failure_domains,
        service.failure_domains,
    )


def _includes(wide: tuple[str, ...], narrow: tuple[str, ...]) -> bool:
    # An empty list means everywhere.
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
    """Find customers whose rate exceeds the capacity of their services."""
    placed = _placed(declaration, members) if members else None
    for customer in declaration.customers:
        max_rate_per_s = _max_rate_per_s(declaration, customer, placed)
        if max_rate_per_s is not None and customer.rate_per_s > max_rate_per_s:
            yield Fault(
                section_of(customer),
                'rate_per_s',
                f'{customer.rate_per_s:g}',
                f'{max_rate_per_s:g} at most: replicas times slots_per_replica, '
                'through request_s, of its services',
            )


def _max_rate_per_s(
    declaration: Declaration,
    customer: Customer,
    placed: Counter[str] | None,
) -> float | None:
    """Return the capacity of a customer's services in requests a second.

    None if it is unknown or the customer has no services.
    """
    total_per_s = 0.0
    for service in declaration.services:
        if not customer.may_use(service.name):
            continue
        hosts = service.replicas if placed is None else placed[service.name]
        if not hosts:
            # Without a number of replicas or the hosts, its capacity is
            # unknown.
            return None
        total_per_s += hosts * service.slots_per_replica / service.request_s
    return total_per_s if customer.services else None


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
        # Another operator published in between, or the files are outdated.
        allowed = f'{previous.digest}, the digest of the bundle before'
        yield Fault(FLEET, 'parent', declaration.parent, allowed)
    lowest = previous.declaration.generation + 1
    if declaration.generation < lowest:
        found = str(declaration.generation)
        yield Fault(FLEET, 'generation', found, f'{lowest} or more')
    yield from _deletion_faults(declaration, previous.declaration)
    yield from _version_faults(declaration, previous.declaration)


def _deletion_faults(
    after: Declaration, before: Declaration
) -> Iterator[Fault]:
    """Find deleted sections that the previous bundle still uses.

    Hosts change one after the other. During the change, those that haven't
    changed yet still serve with the sections of the previous bundle.
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


def _version_faults(
    after: Declaration,
    before: Declaration,
) -> Iterator[Fault]:
    """Find versions that keep their name but change their weights.

    Hosts that hold the old weights would answer as if they had the new ones.
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
    """Yield each section in use once, with one section that uses it."""
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
