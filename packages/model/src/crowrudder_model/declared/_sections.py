"""Mapping between sections of the files and declared parts."""

from __future__ import annotations

from types import MappingProxyType
from typing import TypeVar

from attrs import NOTHING, Attribute, evolve, fields, frozen

from crowrudder_model.declared._checks import format_value, section_of
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._parts import (
    Adapter,
    Customer,
    Model,
    Part,
    Service,
    Version,
)
from crowrudder_model.declared._rules import RULE, Rule

FLEET = 'fleet'
KINDS = MappingProxyType(
    {
        'service': Service,
        'model': Model,
        'version': Version,
        'adapter': Adapter,
        'customer': Customer,
    },
)
PartT = TypeVar('PartT', Service, Model, Version, Adapter, Customer)


@frozen
class Key:
    """A key of a section: its rule, and its default if it has one."""

    name: str
    rule: Rule
    default: object

    @property
    def is_required(self) -> bool:
        """Return whether the section must have the key."""
        return self.default is NOTHING


def keys_of(declared: type) -> tuple[Key, ...]:
    """Return the keys of a section of the files, in declaration order."""
    return tuple(
        Key(item.name, item.metadata[RULE], item.default)
        for item in fields(declared)
        if _is_key(declared, item)
    )


def ini_of(*declared: Part | Declaration) -> str:
    """Return parts, or a complete declaration, as sections of a file.

    >>> print(ini_of(Model('listing')))
    [model:listing]
    <BLANKLINE>
    """
    return '\n'.join(
        section
        for item in declared
        for section in (_section(item), *_sections_inside(item))
    )


def canonical_order(declaration: Declaration) -> Declaration:
    """Return the declaration with its parts sorted by name."""
    # The order of files and sections doesn't matter, so it must not affect the
    # digest.
    return evolve(
        declaration,
        services=_by_name(declaration.services),
        models=_by_name(declaration.models),
        versions=_by_name(declaration.versions),
        adapters=_by_name(declaration.adapters),
        customers=_by_name(declaration.customers),
    )


def _is_key(declared: type, item: Attribute[object]) -> bool:
    # The section header contains the name of a part.
    return RULE in item.metadata and (
        declared is Declaration or item.name != 'name'
    )


def _section(declared: Part | Declaration) -> str:
    lines = [f'[{section_of(declared)}]\n']
    for key in keys_of(type(declared)):
        found = getattr(declared, key.name)
        if found != key.default:
            lines.append(f'{key.name} = {format_value(found)}\n')
    return ''.join(lines)


def _sections_inside(declared: Part | Declaration) -> list[str]:
    if isinstance(declared, Declaration):
        return [_section(part) for part in declared.parts()]
    return []


def _by_name(parts: tuple[PartT, ...]) -> tuple[PartT, ...]:
    return tuple(sorted(parts, key=lambda part: part.name))
