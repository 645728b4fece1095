"""Access to settings sections that agents require and entries lack."""

from __future__ import annotations

from typing import TypeVar

from crowrudder_model import CrowrudderError

_Section = TypeVar('_Section')


def required(section: _Section | None, name: str) -> _Section:
    """Return a section; validation of the settings ensures that it is set."""
    if section is None:
        raise CrowrudderError(
            f'an agent needs the section [{name}]',
            step='settings',
        )
    return section
