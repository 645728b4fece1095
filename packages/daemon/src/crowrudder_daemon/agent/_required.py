"""Settings that every agent has, though an entry has not."""

from __future__ import annotations

from typing import TypeVar

from crowrudder_model import CrowrudderError

_Section = TypeVar('_Section')


def required(section: _Section | None, name: str) -> _Section:
    """Give a section that the check of settings has made sure of."""
    if section is None:
        raise CrowrudderError(
            f'an agent needs the section [{name}]',
            step='settings',
        )
    return section
