"""Request outcomes by time window, and version milestones by host."""

from __future__ import annotations

import enum
import re
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from _binds_lines import LogLine

_NUMBERS = re.compile(r'\d+(\.\d+)?')
_VERSION = re.compile(r'(\S+) version (\d+)$')
MILESTONES = {
    'manifest taken': 'manifest',
    'version held': 'held',
    'version staged': 'load begun',
    'version loaded': 'serving',
}
"""Milestone of a version by the log message that marks it."""


class RequestOutcome(enum.Enum):
    """Outcome of a request as its entry recorded it."""

    IN_TIME = 'in time'
    LATE_FIRST = 'late first'
    LATE_PAUSE = 'late pause'
    REFUSED = 'refused'
    REFUSED_AGAIN = 'again'
    DENIED = 'denied'
    FAILED = 'failed'
    GONE = 'left'


def outcome_of(line: LogLine) -> RequestOutcome:
    """Return the outcome of a request from its last log line."""
    fields = line.fields
    if line.message == 'request denied':
        return RequestOutcome.DENIED
    match fields['outcome']:
        case 'answered':
            return _outcome_of_answer(line)
        case 'refused':
            return (
                RequestOutcome.REFUSED_AGAIN
                if fields.get('came_back')
                else RequestOutcome.REFUSED
            )
        case 'caller_gone':
            return RequestOutcome.GONE
        case _:
            return RequestOutcome.FAILED


def _outcome_of_answer(line: LogLine) -> RequestOutcome:
    fields = line.fields
    took_s = fields['first_s'] if fields['first_s'] >= 0 else fields['took_s']
    if took_s > fields['goal_s']:
        return RequestOutcome.LATE_FIRST
    pause_goal_s = fields.get('pause_goal_s')
    if pause_goal_s and fields['pause_s'] > pause_goal_s:
        return RequestOutcome.LATE_PAUSE
    return RequestOutcome.IN_TIME


@define
class Window:
    """Counts of the requests that arrived within one time window."""

    outcomes: Counter[RequestOutcome] = field(factory=Counter)
    reasons: Counter[str] = field(factory=Counter)

    def add(self, line: LogLine) -> None:
        """Count a request and, unless answered in time, the reason."""
        request_outcome = outcome_of(line)
        self.outcomes[request_outcome] += 1
        if request_outcome is not RequestOutcome.IN_TIME:
            self.reasons[f'{request_outcome.value}: {_reason(line)}'] += 1


def _reason(line: LogLine) -> str:
    """Return the reason for an outcome, with its numbers masked."""
    fields = line.fields
    attempts = fields.get('attempts') or []
    why = fields['reason'] or '; '.join(
        each['why'] for each in attempts if each['why']
    )
    if not why and attempts:
        age_s = attempts[-1].get('word_age_s', -1)
        why = f'sent {len(attempts)} times, word of {max(age_s, 0):.1f} s'
    return _NUMBERS.sub('#', why)[:70]


def windows_of(
    lines: Iterable[LogLine], *, zero: float, width_s: float
) -> dict[tuple[int, str], Window]:
    """Group requests by arrival window and route."""
    found: dict[tuple[int, str], Window] = defaultdict(Window)
    for line in lines:
        if line.message in {'request ended', 'request denied'}:
            arrived = line.at - line.fields.get('took_s', 0) - zero
            route = line.fields.get('route', '')
            found[int(arrived // width_s), route].add(line)
    return dict(found)


@define
class VersionTimeline:
    """When a version was announced, and its milestones by host, in seconds."""

    announced_at: float
    hosts: dict[str, dict[str, float]] = field(factory=dict)


def versions_of(
    lines: Iterable[LogLine], *, zero: float
) -> dict[str, VersionTimeline]:
    """Return the timeline of each version from the agents' log lines."""
    found: dict[str, VersionTimeline] = {}
    for line in lines:
        named = _VERSION.match(str(line.fields.get('record', '')))
        if named:
            name = f'{named[1]}@{named[2]}'
            found.setdefault(name, VersionTimeline(line.at - zero))
        milestone = MILESTONES.get(line.message)
        if milestone is None:
            continue
        number = str(line.fields.get('version', '')).rpartition('@')[2]
        for name, timeline in found.items():
            if name.rpartition('@')[2] == number:
                milestones = timeline.hosts.setdefault(line.host, {})
                milestones.setdefault(milestone, line.at - zero)
    return found
