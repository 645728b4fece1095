"""Parses a file into `Settings` and reports all of its faults at once."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_daemon.settings._faults import Fault, SettingsError
from crowrudder_daemon.settings._schema import Row, Scope, rows_of
from crowrudder_daemon.settings._sections import SECTIONS, Settings, rows

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_FILE_BYTES = 2**20
Texts = dict[str, dict[str, str]]


def read_settings(path: str | Path) -> Settings:
    """Read and validate a file.

    Raises
    ------
    SettingsError
        With every fault of the file.
    """
    try:
        with Path(path).open('rb') as stream:
            encoded = stream.read(MAX_FILE_BYTES + 1)
        if len(encoded) > MAX_FILE_BYTES:
            raise ValueError('longer than a megabyte')
        text = encoded.decode()
    except (OSError, ValueError) as exc:
        fault = Fault(str(path), '', '', str(exc), 'a readable INI file, UTF-8')
        raise SettingsError((fault,)) from exc
    return parse_settings(text, file=str(path))


def parse_settings(text: str, *, file: str = 'settings') -> Settings:
    """Parse and validate the text of a file.

    Raises
    ------
    SettingsError
        With every fault of the text.
    """
    check = _Check(file, _parse_sections(text, file))
    settings = check.settings()
    if settings is None:
        raise SettingsError(tuple(check.faults))
    return settings


def _parse_sections(text: str, file: str) -> Texts:
    # No default section and no interpolation: a `%` or a section that applies
    # to all others would produce values that can't be found in the file.
    parser = configparser.RawConfigParser(
        default_section='',
        delimiters=('=',),
        comment_prefixes=('#', ';'),
        interpolation=None,
        strict=True,
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, file)
    except configparser.Error as exc:
        raise SettingsError((_syntax_fault(exc, file),)) from exc
    return {
        section: dict(parser.items(section)) for section in parser.sections()
    }


def _syntax_fault(exc: configparser.Error, file: str) -> Fault:
    match exc:
        case configparser.DuplicateOptionError():
            return Fault(file, exc.section, exc.option, 'it twice', 'once')
        case configparser.DuplicateSectionError():
            return Fault(file, exc.section, '', 'it twice', 'once')
        case _:
            found = ' '.join(str(exc).split())
            return Fault(file, '', '', found, '[section] and "key = value"')


@define
class _Check:
    """Validates the sections in one pass and collects faults."""

    file: str
    texts: Texts
    faults: list[Fault] = field(factory=list)
    _role: str = ''
    _upstream: str = ''

    def settings(self) -> Settings | None:
        self._role = self._choice_or_empty('process', 'role', Scope.BOTH)
        self._upstream = self._choice_or_empty('upstream', 'kind', Scope.AGENT)
        self._refuse_unknown_sections()
        values = {
            name: self._section(name, declared, scope)
            for name, declared, scope in SECTIONS
            if self._covers(scope)
        }
        self._check_ports(values['process'])
        if self.faults:
            return None
        classes = {name: declared for name, declared, _ in SECTIONS}
        return Settings(
            **{name: classes[name](**keys) for name, keys in values.items()},
        )

    def _choice_or_empty(self, section: str, key: str, scope: Scope) -> str:
        """Return the value of a key that others depend on, or empty."""
        if not self._covers(scope):
            return ''
        text = self.texts.get(section, {}).get(key, '')
        row = next(
            row for row in rows() if (row.section, row.key) == (section, key)
        )
        try:
            return str(row.kind.parse(text))
        except ValueError:
            return ''

    def _refuse_unknown_sections(self) -> None:
        covered = [name for name, _, scope in SECTIONS if self._covers(scope)]
        allowed = ', '.join(f'[{name}]' for name in covered)
        for name in self.texts:
            if name not in covered:
                self._fault(name, '', f'[{name}]', f'only {allowed}')

    def _section(
        self,
        name: str,
        declared: type,
        scope: Scope,
    ) -> dict[str, object]:
        texts = self.texts.get(name, {})
        known = [
            row for row in rows_of(name, declared) if self._covers(row.scope)
        ]
        self._refuse_unknown_keys(name, texts, known)
        return {
            row.key: self._value(row, texts.get(row.key))
            for row in known
            if row.key in texts or self._requires(scope, row)
        }

    def _refuse_unknown_keys(
        self,
        name: str,
        texts: Mapping[str, str],
        known: list[Row],
    ) -> None:
        keys = [row.key for row in known]
        allowed = f'in this section only {", ".join(keys)}'
        for key, text in texts.items():
            if key not in keys:
                self._fault(name, key, text, allowed)

    def _value(self, row: Row, text: str | None) -> object:
        try:
            if text is not None:
                return row.kind.parse(text)
        except ValueError:
            pass
        self._fault(row.section, row.key, text, row.kind.allowed)
        return None

    def _check_ports(self, process: Mapping[str, object]) -> None:
        """Report duplicate ports here, before the second `bind` fails."""
        key_by_port: dict[object, str] = {}
        rpc = 'rpc_listen_port' if 'rpc_listen_port' in process else 'rpc_port'
        for key in (rpc, 'admin_port', 'http_port'):
            number = process.get(key)
            if number is None:
                continue
            other = key_by_port.setdefault(number, key)
            if other != key:
                allowed = f'another port than {other}'
                self._fault('process', key, str(number), allowed)

    def _covers(self, scope: Scope) -> bool:
        return scope.covers(role=self._role, upstream=self._upstream)

    def _requires(self, section: Scope, row: Row) -> bool:
        return not row.optional and all(
            scope.requires(role=self._role, upstream=self._upstream)
            for scope in (section, row.scope)
        )

    def _fault(
        self,
        section: str,
        key: str,
        found: str | None,
        allowed: str,
    ) -> None:
        self.faults.append(Fault(self.file, section, key, found, allowed))
