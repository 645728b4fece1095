"""Reading the sections of an INI file into data classes, checked as a whole.

Each key is declared beside its attribute; the faults name file, section, key,
what was found and what is allowed, as those of the processes' settings do.
"""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from attrs import NOTHING, define, field, fields

from crowrudder_daemon.settings import Fault, SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_daemon.settings.schema import Kind

_KIND = 'kind'
_MOST_FILE_BYTES = 1 << 20

Declared = TypeVar('Declared')


def ini(kind: Kind, *, default: Any = NOTHING) -> Any:
    """Declare a key; without a default it has to be written."""
    return field(default=default, metadata={_KIND: kind})


def read_sections(path: Path) -> dict[str, dict[str, str]]:
    """Read a file's texts by section and key, in its order.

    Raises
    ------
    SettingsError
        If it isn't a readable INI file.
    """
    parser = configparser.RawConfigParser(
        default_section='', delimiters=('=',), interpolation=None
    )
    try:
        if path.stat().st_size > _MOST_FILE_BYTES:
            raise ValueError('longer than a megabyte')
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, ValueError, configparser.Error) as exc:
        found = ' '.join(str(exc).split())
        allowed = 'a readable INI file, each section and key once'
        raise SettingsError(
            (Fault(str(path), '', '', found, allowed),)
        ) from exc
    return {name: dict(parser.items(name)) for name in parser.sections()}


@define
class SectionCheck:
    """One pass over a file's sections, which collects the faults."""

    file: str
    sections: Mapping[str, Mapping[str, str]]
    faults: list[Fault] = field(factory=list)

    def one(
        self, section: str, declared: type[Declared], **given: object
    ) -> Declared | None:
        """Read a section; None if there is a fault in it.

        Parameters
        ----------
        given
            Attributes that come from elsewhere than the section's keys.
        """
        before = len(self.faults)
        texts = dict(self.sections.get(section, {}))
        read = dict(given)
        for attribute in fields(declared):  # type: ignore[arg-type]
            kind = attribute.metadata.get(_KIND)
            if kind is None:
                continue
            text = texts.pop(attribute.name, None)
            if text is not None or attribute.default is NOTHING:
                read[attribute.name] = self._parse(
                    section, attribute.name, kind, text
                )
        known = ', '.join(keys_of(declared))
        for key, text in texts.items():
            self.refuse(section, key, text, f'only {known}')
        return None if len(self.faults) > before else declared(**read)

    def many(
        self, prefix: str, declared: type[Declared]
    ) -> tuple[Declared, ...]:
        """Read the sections `[PREFIX:NAME]` in the order of the file."""
        read = (
            self.one(section, declared, name=name)
            for section, name in self.named(prefix)
        )
        return tuple(each for each in read if each is not None)

    def named(self, prefix: str) -> list[tuple[str, str]]:
        """List the sections of a prefix, each with its name."""
        start = f'{prefix}:'
        return [
            (section, section.removeprefix(start))
            for section in self.sections
            if section.startswith(start)
        ]

    def refuse(
        self, section: str, key: str, found: str | None, allowed: str
    ) -> None:
        """Note a fault."""
        self.faults.append(Fault(self.file, section, key, found, allowed))

    def refuse_sections_but(self, *allowed: str) -> None:
        """Note the sections that nobody reads; `x:` allows `[x:NAME]`."""
        shown = ', '.join(
            f'[{each}NAME]' if each.endswith(':') else f'[{each}]'
            for each in allowed
        )
        for section in self.sections:
            prefix, colon, name = section.partition(':')
            if f'{prefix}{colon}' not in allowed or bool(colon) != bool(name):
                self.refuse(section, '', f'[{section}]', f'only {shown}')

    def end(self) -> None:
        """Raise what was found, if anything."""
        if self.faults:
            raise SettingsError(tuple(self.faults))

    def _parse(
        self, section: str, key: str, kind: Kind, text: str | None
    ) -> object:
        try:
            if text is not None:
                return kind.parse(text)
        except ValueError:
            pass
        self.refuse(section, key, text, kind.allowed)
        return None


def keys_of(declared: type) -> tuple[str, ...]:
    """List the keys that a class declares."""
    return tuple(
        attribute.name
        for attribute in fields(declared)
        if _KIND in attribute.metadata
    )
