"""Texts for people: tables and lists out of plain values."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

GAP = '  '
NOTHING = '-'
# The end of the year 9999, in seconds since 1970.
LAST_MOMENT = 253402300800


def table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Line up rows under their heads.

    >>> print(table(['host', 'n'], [['a', 12], ['long', None]]))
    host  n
    a     12
    long  -
    """
    lines = [list(heads)]
    lines.extend([cell(item) for item in row] for row in rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        GAP.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def records(found: Sequence[Mapping[str, Any]]) -> str:
    """Line up records under all the keys that occur.

    >>> print(records([{'a': 1}, {'b': [2, 3]}]))
    a  b
    1  -
    -  2, 3
    """
    heads = list(dict.fromkeys(key for record in found for key in record))
    return table(heads, ([item.get(key) for key in heads] for item in found))


def facts(found: Mapping[str, Any]) -> str:
    """Write an answer key by key; a list of records becomes a table.

    >>> print(facts({'host': 'a', 'why': [{'rank': 1}]}))
    host: a
    why:
      rank
      1
    """
    return '\n'.join(_fact(key, item) for key, item in found.items())


def cell(item: object) -> str:
    """Write a value on one line."""
    match item:
        case None | '' | () | []:
            return NOTHING
        case bool():
            return 'yes' if item else 'no'
        case float():
            return f'{item:.6g}'
        case list() | tuple():
            return ', '.join(cell(part) for part in item)
        case dict():
            return ' '.join(f'{key}={cell(part)}' for key, part in item.items())
        case _:
            # An answer may hold anything: no line may break out of its row.
            return ''.join(
                char if char.isprintable() else ' ' for char in str(item)
            )


def moment(since: float | str | None) -> str:
    """Write a time, given in seconds since 1970, in UTC.

    >>> moment(1.5)
    '1970-01-01T00:00:01.500+00:00'
    """
    if isinstance(since, float | int) and 0 < since < LAST_MOMENT:
        found = datetime.fromtimestamp(since, UTC)
        return found.isoformat(timespec='milliseconds')
    return str(since) if since else ''


def _fact(key: str, item: Any) -> str:
    if item and isinstance(item, dict):
        return f'{key}:\n{_indented(facts(item))}'
    if _are_records(item):
        return f'{key}:\n{_indented(records(item))}'
    return f'{key}: {cell(item)}'


def _are_records(item: Any) -> bool:
    return (
        isinstance(item, list)
        and bool(item)
        and all(isinstance(part, dict) for part in item)
    )


def _indented(text: str) -> str:
    return '\n'.join(f'{GAP}{line}' for line in text.splitlines())
