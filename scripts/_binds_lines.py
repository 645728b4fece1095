"""Parsing of a fleet's structured log lines."""

from __future__ import annotations

import json
from datetime import datetime
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'


@frozen
class LogLine:
    """One log line: its time, host, message and all fields.

    ``at`` is in seconds since the epoch by the host's clock.
    """

    at: float
    host: str
    message: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines, without any prefix; skip all others.

    Log collectors put a time or a host before each line.
    """
    for text in texts:
        _, brace, rest = text.partition('{')
        line = _parse_line(brace + rest)
        if line is not None:
            yield line


def _parse_line(text: str) -> LogLine | None:
    try:
        fields = json.loads(text)
        at = datetime.strptime(fields['at'], TIME_FORMAT)
        return LogLine(
            at.timestamp(), fields['host'], fields['message'], fields
        )
    except (ValueError, KeyError, TypeError):
        return None
