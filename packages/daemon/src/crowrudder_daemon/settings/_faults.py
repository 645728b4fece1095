"""Validation errors of a settings file, with the allowed values."""

from __future__ import annotations

from attrs import frozen


@frozen
class Fault:
    """One validation error in a settings file.

    >>> print(Fault('a.ini', 'limits', 'slots', '0', 'a whole number from 1'))
    a.ini: [limits] slots: found '0', allowed: a whole number from 1
    """

    file: str
    section: str
    key: str
    found: str | None
    allowed: str

    def __str__(self) -> str:
        found = 'nothing' if self.found is None else repr(self.found)
        key = f' {self.key}' if self.key else ''
        place = f'[{self.section}]{key}' if self.section else 'the file'
        return f'{self.file}: {place}: found {found}, allowed: {self.allowed}'


class SettingsError(Exception):
    """The settings are invalid; carries all faults in file order."""

    step = 'settings'

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = faults
