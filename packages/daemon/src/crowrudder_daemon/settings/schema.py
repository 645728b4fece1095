"""Kinds and keys to declare the schema of a settings file."""

from __future__ import annotations

from crowrudder_daemon.settings._kinds import (
    Kind,
    decimal,
    name,
    whole,
    word,
)
from crowrudder_daemon.settings._schema import Scope, key, rows_of

__all__ = (
    'Kind',
    'Scope',
    'decimal',
    'key',
    'name',
    'rows_of',
    'whole',
    'word',
)
