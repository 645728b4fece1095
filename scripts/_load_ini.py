"""Read the sections of an INI file into data classes and report all faults.

Each key is declared with its attribute. A fault names the file, section, key,
what was found and what is allowed, like those of the processes' settings.
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

_KIND_METADATA = 'kind'
_MAX_FILE_BYTES = 1 << 20

Declared = TypeVar('Declared')


def ini_key(kind: Kind, *, default: Any = NOTHING) -> Any:
    """Return the attribute of a key, which is required without a default."""
    return field(default=default, metadata={_KIND_METADATA: kind})


def read_sections(path: Path) -> dict[str, dict[str, str]]:
    """Return a file's texts by section and key, in the order of the file.

    Raises
    ------
    SettingsError
        If the file isn't a readable INI file.
    """
    parser = configparser.RawConfigParser(
        default_section='', delimiters=('=',), interpolation=None
    )
    try:
        if path.stat().st_size > _MAX_FILE_BYTES:
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
    """Parses a file's sections and collects the faults."""

    file: str
    sections: Mapping[str, Mapping[str, str]]
    faults: list[Fault] = field(factory=list)

    def read_section(
        self, section: str, declared: type[Declared], **preset: object
    ) -> Declared | None:
        """Return a parsed section, or None if it has a fault.

        Parameters
        ----------
        given
            Values of attributes that aren't keys of the section.
        """
        before = len(self.faults)
        texts = dict(self.sections.get(section, {}))
        values = dict(preset)
        for attribute in fields(declared):  # type: ignore[arg-type]
            kind = attribute.metadata.get(_KIND_METADATA)
            if kind is None:
                continue
            text = texts.pop(attribute.name, None)
            if text is not None or attribute.default is NOTHING:
                values[attribute.name] = self._parse(
                    section, attribute.name, kind, text
                )
        known = ', '.join(keys_of(declared))
        for key, text in texts.items():
            self.add_fault(section, key, text, f'only {known}')
        return None if len(self.faults) > before else declared(**values)

    def read_named_sections(
        self, prefix: str, declared: type[Declared]
    ) -> tuple[Declared, ...]:
        """Return the valid sections `[PREFIX:NAME]` in file order."""
        values = (
            self.read_section(section, declared, name=name)
            for section, name in self.named_sections(prefix)
        )
        return tuple(each for each in values if each is not None)

    def named_sections(self, prefix: str) -> list[tuple[str, str]]:
        """Return the sections of a prefix, each with its name."""
        start = f'{prefix}:'
        return [
            (section, section.removeprefix(start))
            for section in self.sections
            if section.startswith(start)
        ]

    def add_fault(
        self, section: str, key: str, found: str | None, allowed: str
    ) -> None:
        """Record a fault."""
        self.faults.append(Fault(self.file, section, key, found, allowed))

    def reject_other_sections(self, *allowed: str) -> None:
        """Record a fault for each unknown section; `x:` allows `[x:NAME]`."""
        shown = ', '.join(
            f'[{each}NAME]' if each.endswith(':') else f'[{each}]'
            for each in allowed
        )
        for section in self.sections:
            prefix, colon, name = section.partition(':')
            if f'{prefix}{colon}' not in allowed or bool(colon) != bool(name):
                self.add_fault(section, '', f'[{section}]', f'only {shown}')

    def raise_faults(self) -> None:
        """Raise the recorded faults, if any."""
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
        self.add_fault(section, key, text, kind.allowed)
        return None


def keys_of(declared: type) -> tuple[str, ...]:
    """Return the keys that a class declares."""
    return tuple(
        attribute.name
        for attribute in fields(declared)
        if _KIND_METADATA in attribute.metadata
    )
