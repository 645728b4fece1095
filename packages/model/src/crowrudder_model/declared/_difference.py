"""The difference between two declarations, key by key."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from crowrudder_model.declared._checks import section_of, shown
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._parts import Part
from crowrudder_model.declared._sections import keys_of

ABSENT = 'absent'
PRESENT = 'present'


@frozen
class Change:
    """A key, or with an empty key a whole section, that differs."""

    section: str
    key: str
    before: str
    after: str


def difference(
    before: Declaration,
    after: Declaration,
) -> tuple[Change, ...]:
    """Give what differs, by section, in the files' own texts.

    >>> difference(Declaration(1), Declaration(2))[0].after
    '2'
    """
    return tuple(_changes(before, after))


def _changes(before: Declaration, after: Declaration) -> Iterator[Change]:
    olds = {section_of(part): part for part in (before, *before.parts())}
    news = {section_of(part): part for part in (after, *after.parts())}
    for section in (*olds, *(name for name in news if name not in olds)):
        old, new = olds.get(section), news.get(section)
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
        before = shown(getattr(old, key.name))
        after = shown(getattr(new, key.name))
        if before != after:
            yield Change(section, key.name, before, after)
