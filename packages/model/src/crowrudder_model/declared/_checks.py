"""Checks of a declaration: the rule of each key, then cross-references."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from attrs import field, fields, frozen

from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._parts import (
    Adapter,
    Customer,
    Part,
    Service,
    Version,
)
from crowrudder_model.declared._rules import RULE, Rule

# Rounding of floats: three shares of a third may sum to more than one.
SHARE_SLACK = 1e-9


@frozen
class Fault:
    """A key that breaks a rule.

    >>> Fault('service:a', 'replicas', '-1', 'a whole number').section
    'service:a'
    """

    section: str
    key: str
    found: str
    allowed: str
    file: str = field(default='', kw_only=True)

    def __str__(self) -> str:
        """Return the location, the value found and the allowed values."""
        where = f'{self.file}: ' if self.file else ''
        where += f'[{self.section}] ' if self.section else ''
        where += f'{self.key}: ' if self.key else ''
        return f'{where}found {self.found!r}, allowed: {self.allowed}'


def section_of(part: Part | Declaration) -> str:
    """Return the name of the section that declares the part."""
    if isinstance(part, Declaration):
        return 'fleet'
    return f'{type(part).__name__.lower()}:{part.name}'


def faults_of(declaration: Declaration) -> tuple[Fault, ...]:
    """Return all faults that can be found in the declaration alone."""
    return (
        *_rule_faults(declaration),
        *_duplicates(declaration),
        *_references(declaration),
        *_share_faults(declaration),
    )


def _rule_faults(declaration: Declaration) -> Iterator[Fault]:
    for part in (declaration, *declaration.parts()):
        for attribute in fields(type(part)):
            rule = attribute.metadata.get(RULE)
            if rule is None or _is_omitted(part, attribute.name, rule):
                continue
            found = getattr(part, attribute.name)
            if not rule.accepts(found):
                yield Fault(
                    section_of(part),
                    attribute.name,
                    format_value(found),
                    rule.kind.allowed,
                )


def _is_omitted(part: object, key: str, rule: Rule) -> bool:
    """Return whether a plain service omits a key that only engines need."""
    if not isinstance(part, Service) or part.kind != 'plain':
        return False
    return rule.only_for == 'engine' and not getattr(part, key)


def _duplicates(declaration: Declaration) -> Iterator[Fault]:
    sections = Counter(section_of(part) for part in declaration.parts())
    for section, count in sections.items():
        if count > 1:
            yield Fault(section, 'name', str(count), 'one section of a name')
    models = Counter(item.model for item in declaration.services if item.model)
    for service in declaration.services:
        if models[service.model] > 1:
            yield Fault(
                section_of(service),
                'model',
                service.model,
                'a model that no other service serves',
            )


def _references(declaration: Declaration) -> Iterator[Fault]:
    for part in declaration.parts():
        match part:
            case Service(kind='engine'):
                yield from _service_references(declaration, part)
            case Service():
                yield from _plain_faults(part)
            case Version():
                yield from _model_reference(declaration, part)
            case Adapter():
                yield from _adapter_references(declaration, part)
            case Customer():
                yield from _customer_references(declaration, part)


def _service_references(
    declaration: Declaration,
    service: Service,
) -> Iterator[Fault]:
    section = section_of(service)
    yield from _model_reference(declaration, service)
    version = declaration.version(service.version)
    if version is None or version.model != service.model:
        allowed = f'a declared version of model {service.model!r}'
        yield Fault(section, 'version', service.version, allowed)
    for name in service.adapters:
        adapter = declaration.adapter(name)
        if adapter is None or adapter.version != service.version:
            allowed = f'declared adapters of version {service.version!r}'
            yield Fault(section, 'adapters', name, allowed)


def _plain_faults(service: Service) -> Iterator[Fault]:
    """Find engine-only keys in a plain service.

    The settings of its agents say where it runs, so these keys have no effect.
    """
    for attribute in fields(Service):
        rule = attribute.metadata[RULE]
        found = getattr(service, attribute.name)
        if rule.only_for == 'engine' and found != attribute.default:
            yield Fault(
                section_of(service),
                attribute.name,
                format_value(found),
                'nothing in a service of kind `plain`',
            )


def _model_reference(
    declaration: Declaration,
    part: Service | Version | Adapter,
) -> Iterator[Fault]:
    if declaration.model(part.model) is None:
        yield Fault(section_of(part), 'model', part.model, 'a declared model')


def _adapter_references(
    declaration: Declaration,
    adapter: Adapter,
) -> Iterator[Fault]:
    yield from _model_reference(declaration, adapter)
    version = declaration.version(adapter.version)
    if version is None or version.model != adapter.model:
        allowed = f'a declared version of model {adapter.model!r}'
        yield Fault(section_of(adapter), 'version', adapter.version, allowed)


def _customer_references(
    declaration: Declaration,
    customer: Customer,
) -> Iterator[Fault]:
    for name in customer.services:
        if declaration.service(name) is None:
            section = section_of(customer)
            yield Fault(section, 'services', name, 'declared services')


def _share_faults(declaration: Declaration) -> Iterator[Fault]:
    for service in declaration.services:
        users = [
            customer
            for customer in declaration.customers
            if customer.may_use(service.name)
        ]
        total = sum(customer.share for customer in users)
        if total > 1 + SHARE_SLACK:
            yield Fault(
                section_of(service),
                "customers' share",
                f'{total:g}',
                'shares of its customers that sum to 1 at most',
            )


def format_value(found: object) -> str:
    """Return a value as it is written in the files."""
    return ', '.join(found) if isinstance(found, tuple) else str(found)
