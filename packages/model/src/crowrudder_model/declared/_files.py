"""Parser of the declared files, which collects all faults of a directory."""

from __future__ import annotations

import configparser
import re
from collections.abc import Iterator, Mapping
from typing import Any

from attrs import Factory, define, evolve, frozen

from crowrudder_model.declared._checks import Fault, faults_of
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._parts import Part
from crowrudder_model.declared._rules import (
    Choice,
    Decimal,
    Digest,
    Name,
    Names,
    WholeNumber,
)
from crowrudder_model.declared._sections import (
    FLEET,
    KINDS,
    Key,
    canonical_order,
    keys_of,
)

SUFFIX = '.ini'
ALLOWED_SECTIONS = ', '.join(
    (f'[{FLEET}]', *(f'[{kind}:NAME]' for kind in KINDS))
)
# A file can't contain a section of this name, so no section sets defaults
# for the others.
DISABLED_DEFAULT_SECTION = '\n'
MAX_DIGITS = 18
INTEGER = re.compile(rf'[+-]?[0-9]{{1,{MAX_DIGITS}}}')


@frozen
class ParsedDeclaration:
    """What a directory declares; complete only if `faults` is empty."""

    declaration: Declaration
    faults: tuple[Fault, ...]


@define
class _Reader:
    """Collects the parts and faults of all files of a directory."""

    faults: list[Fault] = Factory(list)
    file_of: dict[str, str] = Factory(dict)
    parts: dict[str, list[Part]] = Factory(dict)
    fleet: Declaration = Factory(lambda: Declaration(1))
    has_unreadable: bool = False

    def read(self, file: str, text: str) -> None:
        # RawConfigParser doesn't interpolate: a `%` in a value is literal.
        parser = configparser.RawConfigParser(
            default_section=DISABLED_DEFAULT_SECTION
        )
        parser.optionxform = str  # type: ignore[assignment,method-assign]
        try:
            parser.read_string(text, source=file)
        except configparser.Error as exc:
            self.faults.append(_unreadable(file, exc))
            self.has_unreadable = True
            return
        for section in parser.sections():
            self._section(file, section, dict(parser.items(section)))

    def _section(self, file: str, section: str, found: dict[str, str]) -> None:
        kind, _, name = section.partition(':')
        declared = Declaration if section == FLEET else KINDS.get(kind)
        if declared is None or (section != FLEET and not name):
            self._fault(file, section, '', section, ALLOWED_SECTIONS)
            return
        first = self.file_of.get(section)
        if first is not None:
            allowed = f'one such section; {first} has it'
            self._fault(file, section, '', section, allowed)
            return
        self.file_of[section] = file
        values = self._values(section, keys_of(declared), found)
        if section == FLEET:
            self.fleet = Declaration(**values)
        else:
            part = KINDS[kind](name, **values)
            self.parts.setdefault(kind, []).append(part)

    def _values(
        self,
        section: str,
        keys: tuple[Key, ...],
        found: dict[str, str],
    ) -> dict[str, Any]:
        file = self.file_of[section]
        known = {key.name: key for key in keys}
        for unknown in found.keys() - known.keys():
            allowed = ', '.join(known) or 'no key'
            self._fault(file, section, unknown, found[unknown], allowed)
        values: dict[str, Any] = {}
        for key in keys:
            text = found.get(key.name)
            if text is not None:
                values[key.name] = self._value(section, key, text)
            elif key.is_required:
                self._fault(file, section, key.name, '', key.rule.kind.allowed)
                values[key.name] = _placeholder(key)
        return values

    def _value(self, section: str, key: Key, text: str) -> object:
        try:
            return _parsed(key, text.strip())
        except ValueError:
            allowed = key.rule.kind.allowed
            self._fault(self.file_of[section], section, key.name, text, allowed)
            return _placeholder(key)

    def _fault(
        self,
        file: str,
        section: str,
        key: str,
        found: str,
        allowed: str,
    ) -> None:
        self.faults.append(Fault(section, key, found, allowed, file=file))

    def finish(self) -> ParsedDeclaration:
        if FLEET not in self.file_of and not self.faults:
            self._fault('', FLEET, '', '', 'a section [fleet] in one file')
        parts = {f'{kind}s': tuple(self.parts.get(kind, ())) for kind in KINDS}
        # Each key of `parts` holds the class that KINDS has for it.
        declaration = canonical_order(
            evolve(self.fleet, **parts),  # type: ignore[arg-type]
        )
        self.faults.extend(self._declaration_faults(declaration))
        self.faults.sort(key=lambda item: (item.file, item.section, item.key))
        return ParsedDeclaration(declaration, tuple(self.faults))

    def _declaration_faults(self, declaration: Declaration) -> Iterator[Fault]:
        # References to sections of an unreadable file would be reported as
        # undeclared.
        if self.has_unreadable:
            return
        # A key that can't be parsed is reported already; its placeholder isn't
        # checked.
        reported = {(fault.section, fault.key) for fault in self.faults}
        for fault in faults_of(declaration):
            if (fault.section, fault.key) not in reported:
                file = self.file_of.get(fault.section, '')
                yield evolve(fault, file=file)


def read_files(texts: Mapping[str, str]) -> ParsedDeclaration:
    r"""Parse the texts of a directory's `.ini` files, given by file name.

    >>> read_files({'a.ini': '[fleet]\ngeneration = 0'}).faults[0].key
    'generation'
    """
    reader = _Reader()
    for file in sorted(texts):
        if file.endswith(SUFFIX):
            reader.read(file, texts[file])
    return reader.finish()


def _parsed(key: Key, text: str) -> object:
    match key.rule.kind:
        case Name() | Digest() | Choice():
            return text
        case Names():
            names = re.split(r'[,\n]', text)
            return tuple(name.strip() for name in names if name.strip())
        case WholeNumber():
            if INTEGER.fullmatch(text) is None:
                raise ValueError(text)
            return int(text)
        case Decimal():
            return float(text)


def _placeholder(key: Key) -> object:
    """Return a placeholder for a value whose fault is already reported."""
    if not key.is_required:
        return key.default
    return '' if isinstance(key.rule.kind, Name | Digest | Choice) else 1


def _unreadable(file: str, exc: configparser.Error) -> Fault:
    match exc:
        case configparser.DuplicateOptionError():
            return Fault(
                exc.section,
                exc.option,
                f'line {exc.lineno}: the key again',
                'each key once in a section',
                file=file,
            )
        case configparser.DuplicateSectionError():
            return Fault(
                exc.section,
                '',
                f'line {exc.lineno}: the section again',
                'each section once',
                file=file,
            )
        case configparser.MissingSectionHeaderError():
            found = f'line {exc.lineno}: {exc.line.strip()}'
            return Fault(
                '', '', found, f'a section first: {ALLOWED_SECTIONS}', file=file
            )
        case configparser.ParsingError():
            found = '; '.join(f'line {no}: {text}' for no, text in exc.errors)
            allowed = 'lines `[section]`, `key = value` and `# comment`'
            return Fault('', '', found, allowed, file=file)
    return Fault('', '', str(exc), 'an INI file', file=file)
