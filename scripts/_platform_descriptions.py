"""Descriptions of bodies and runs in the violations of a platform soak."""

from __future__ import annotations

import math
from itertools import takewhile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_standins.fleet_replica import FleetReplica, Run

EVENT_END = b'\n\n'
EXCERPT_BYTES = 24


def describe_answer(
    body: bytes,
    expected: bytes,
    ran: Iterable[tuple[FleetReplica, Run]],
) -> str:
    """Return where a body differs from the expected one, and its runs."""
    runs = '; '.join(_describe_run(*each) for each in ran)
    return f'{_difference(body, expected)}; {runs or "no run in the records"}'


def _difference(body: bytes, expected: bytes) -> str:
    pairs = zip(body, expected, strict=False)
    same = sum(1 for _ in takewhile(lambda pair: pair[0] == pair[1], pairs))
    event = expected.count(EVENT_END, 0, same) + 1
    return (
        f'{_size(body)} received, {_size(expected)} expected, they differ '
        f'from byte {same}, in event {event}: {_excerpt(body, same)} for '
        f'{_excerpt(expected, same)}'
    )


def _describe_run(replica: FleetReplica, run: Run) -> str:
    parts = [f'{replica.id}: framing {run.framing}']
    if run.resumed_after:
        parts.append(f'resumed after event {run.resumed_after}')
    parts += [f'last event {run.last_event}', _end_of(run)]
    if replica.crashed_by:
        crashed_s = replica.crashed_at - run.began_at
        parts.append(
            f'replica crashed by {replica.crashed_by} {crashed_s:.3f} s after '
            'the begin'
        )
    return ', '.join(parts)


def _end_of(run: Run) -> str:
    if not math.isfinite(run.ended_at):
        return 'no end'
    end = f'cut by {run.cut_by}' if run.cut_by else f'ended {run.ended}'
    return f'{end.strip()} after {run.ended_at - run.began_at:.3f} s'


def _size(body: bytes) -> str:
    return f'{len(body)} bytes and {body.count(EVENT_END)} events'


def _excerpt(body: bytes, first: int) -> str:
    excerpt = body[first : first + EXCERPT_BYTES]
    return repr(excerpt) if excerpt else 'the end'
