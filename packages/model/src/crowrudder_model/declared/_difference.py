"""The difference between two declarations, key by key."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from crowrudder_model.declared._checks import format_value, section_of
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._parts import Part
from crowrudder_model.declared._sections import keys_of

ABSENT = 'absent'
PRESENT = 'present'


@frozen
class Change:
    """A key that differs, or a section that does if the key is empty."""

    section: str
    key: str
    before: str
    after: str


def difference(
    before: Declaration,
    after: Declaration,
) -> tuple[Change, ...]:
    """Return the differences by section, with values as the files have them.

    >>> difference(Declaration(1), Declaration(2))[0].after
    '2'
    """
    return tuple(_changes(before, after))


def _changes(before: Declaration, after: Declaration) -> Iterator[Change]:
    old_parts = {section_of(part): part for part in (before, *before.parts())}
    new_parts = {section_of(part): part for part in (after, *after.parts())}
    for section in (
        *old_parts,
        *(name for name in new_parts if name not in old_parts),
    ):
        old, new = old_parts.get(section), new_parts.get(section)
        if old is None:
            yield Change(section, '', ABSENT, PRESENT)
        elif new is None:
            yield Change(section, '', PRESENT, ABSENT)
        else:
            yield from _key_changes(section, old, new)


def _key_changes(
    section: str,
    old: Part | Declaration,
    new: Part | Declaration,
) -> Iterator[Change]:
    for key in keys_of(type(old)):
        before = format_value(getattr(old, key.name))
        after = format_value(getattr(new, key.name))
        if before != after:
            yield Change(section, key.name, before, after)
