"""Formats plain values as tables and lists."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

COLUMN_GAP = '  '
EMPTY_CELL = '-'
# The end of the year 9999, in seconds since 1970.
MAX_TIMESTAMP_S = 253402300800


def format_table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows as aligned columns under their heads.

    >>> print(format_table(['host', 'n'], [['a', 12], ['long', None]]))
    host  n
    a     12
    long  -
    """
    lines = [list(heads)]
    lines.extend([format_cell(item) for item in row] for row in rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        COLUMN_GAP.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_records(values: Sequence[Mapping[str, Any]]) -> str:
    """Format records as a table with a column for every key.

    >>> print(format_records([{'a': 1}, {'b': [2, 3]}]))
    a  b
    1  -
    -  2, 3
    """
    heads = list(dict.fromkeys(key for record in values for key in record))
    return format_table(
        heads, ([item.get(key) for key in heads] for item in values)
    )


def format_mapping(values: Mapping[str, Any]) -> str:
    """Format a mapping by key; a list of records becomes a table.

    >>> print(format_mapping({'host': 'a', 'why': [{'rank': 1}]}))
    host: a
    why:
      rank
      1
    """
    return '\n'.join(_format_entry(key, item) for key, item in values.items())


def format_cell(item: object) -> str:
    """Format a value on one line."""
    match item:
        case None | '' | () | []:
            return EMPTY_CELL
        case bool():
            return 'yes' if item else 'no'
        case float():
            return f'{item:.6g}'
        case list() | tuple():
            return ', '.join(format_cell(part) for part in item)
        case dict():
            return ' '.join(
                f'{key}={format_cell(part)}' for key, part in item.items()
            )
        case _:
            # Answers may hold line breaks and control characters, which would
            # break the table.
            return ''.join(
                char if char.isprintable() else ' ' for char in str(item)
            )


def format_time(since: float | str | None) -> str:
    """Format a time in seconds since 1970 as UTC.

    >>> format_time(1.5)
    '1970-01-01T00:00:01.500+00:00'
    """
    if isinstance(since, float | int) and 0 < since < MAX_TIMESTAMP_S:
        found = datetime.fromtimestamp(since, UTC)
        return found.isoformat(timespec='milliseconds')
    return str(since) if since else ''


def _format_entry(key: str, item: Any) -> str:
    if item and isinstance(item, dict):
        return f'{key}:\n{_indent(format_mapping(item))}'
    if _are_records(item):
        return f'{key}:\n{_indent(format_records(item))}'
    return f'{key}: {format_cell(item)}'


def _are_records(item: Any) -> bool:
    return (
        isinstance(item, list)
        and bool(item)
        and all(isinstance(part, dict) for part in item)
    )


def _indent(text: str) -> str:
    return '\n'.join(f'{COLUMN_GAP}{line}' for line in text.splitlines())
