"""Comparison of the upstreams' request logs with the callers' answers."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from _caller import NO_ANSWER, REFUSED, Answer, Flaw
from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path


@frozen
class Books:
    """The runs that all upstreams recorded.

    `starts` counts the runs that began at the first token, by request id; a
    resumed stream doesn't count as another start.
    """

    starts: Counter[str]
    mixed_ids: frozenset[str]

    @classmethod
    def read(cls, journals: Iterable[Path]) -> Books:
        """Read the journals of engines and plain services."""
        records = [
            json.loads(line)
            for path in journals
            for line in path.read_text().splitlines()
        ]
        starts = Counter(_started_id(record) for record in records)
        starts.pop('', None)
        mixed = [
            record['request_id']
            for record in records
            if record.get('state') == 'finished' and len(record['ranges']) > 1
        ]
        return cls(starts, frozenset(mixed))


def _started_id(record: dict[str, Any]) -> str:
    plain_id = record.get('plain')
    if plain_id is not None:
        return str(plain_id)
    first = record['state'] == 'started' and not record['resume_from']
    return str(record['request_id']) if first else ''


@frozen(kw_only=True)
class Verdict:
    """Counts over all requests, and a line for each violation."""

    requests: int
    whole: int
    doubled: int
    mixed: int
    cut: int
    crossed: int
    unanswered: int
    not_run_but_ran: int
    misses: tuple[str, ...] = field(factory=tuple)
    not_whole: tuple[str, ...] = field(factory=tuple)

    @property
    def clean(self) -> bool:
        """Whether there was no violation."""
        return not self.misses


def excuse_none(_answer: Answer) -> bool:
    """Return False: excuse no answer."""
    return False


def compare(
    books: Books,
    answers: Iterable[Answer],
    *,
    excused: Callable[[Answer], bool] = excuse_none,
) -> Verdict:
    """Compare the answers of every request with the upstreams' records.

    Parameters
    ----------
    excused
        Returns whether a broken connection is explained by a known end of the
        entry's process rather than by a fault of the entry.
    """
    by_id: dict[str, list[Answer]] = defaultdict(list)
    for answer in answers:
        by_id[answer.request.request_id].append(answer)
    found: dict[str, list[str]] = defaultdict(list)
    for request_id, attempts in by_id.items():
        for kind in _violations(books, request_id, attempts, excused):
            starts = books.starts[request_id]
            found[kind].append(
                f'{kind}: {request_id}: {starts} starts, {_describe(attempts)}'
            )
    not_whole = [
        f'not whole: {each[0].request.request_id}: {_describe(each)}'
        for each in by_id.values()
        if not any(one.whole for one in each)
    ]
    return Verdict(
        requests=len(by_id),
        whole=len(by_id) - len(not_whole),
        doubled=len(found['doubled']),
        mixed=len(found['mixed']),
        cut=len(found['cut']),
        crossed=len(found['crossed']),
        unanswered=len(found['unanswered']),
        not_run_but_ran=len(found['not_run_but_ran']),
        misses=tuple(line for lines in found.values() for line in lines),
        not_whole=tuple(not_whole),
    )


def _describe(attempts: list[Answer]) -> list[str]:
    return [f'{one.status} {one.outcome} {one.detail}' for one in attempts]


def _violations(
    books: Books,
    request_id: str,
    attempts: list[Answer],
    excused: Callable[[Answer], bool],
) -> set[str]:
    starts = books.starts[request_id]
    whole = any(one.whole for one in attempts)
    misses = {_answer_violation(one, excused) for one in attempts}
    misses.discard('')
    if starts > 1 and not attempts[0].request.idempotent:
        misses.add('doubled')
    if whole and request_id in books.mixed_ids:
        misses.add('mixed')
    if whole and not starts:
        misses.add('crossed')
    if starts and all(one.outcome == 'not_run' for one in attempts):
        misses.add('not_run_but_ran')
    return misses


def _answer_violation(one: Answer, excused: Callable[[Answer], bool]) -> str:
    """Return the violation that a single answer shows; empty for none."""
    if one.left or (one.broken and excused(one)):
        return ''
    if one.flaw is not Flaw.NONE:
        return str(one.flaw.value)
    unanswered = one.outcome == NO_ANSWER and one.detail != REFUSED
    return 'unanswered' if unanswered else ''
