"""Check that each whole request on a kept connection is answered in time."""

from __future__ import annotations

import json
import time
from datetime import datetime
from typing import TYPE_CHECKING

from _platform_fleet import GRACE_S, STAND_INS
from _platform_load import DEADLINE_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from _platform_chaos import PlatformChaos
    from _platform_checks import Verdict
    from _platform_fleet import PlatformFleet
    from _platform_kept import KeptLoad, KeptResult

CROSSING_S = 0.2
"""Time after a request's last byte in which a close may cross it."""

HELD_MARGIN_S = 0.7
DRAIN_SEND_S = 3.0
LAST_OF_GRACE_S = GRACE_S * 5 / 6
"""A run may be broken off in the last sixth of the grace period if its request
was sent at most ``DRAIN_SEND_S`` after SIGTERM."""

LOG_WINDOW_S = 0.3


def check_kept(load: KeptLoad, verdict: Verdict) -> None:
    """Check all requests of the callers that keep connections."""
    ran = {
        run.request_id
        for incarnation in load.fleet.all_incarnations()
        for run in incarnation.replica.runs
    }
    for each in load.results:
        has_run = each.request_id in ran
        broken = broken_promise(each, load.chaos, has_run=has_run)
        verdict.ends[f'kept: {broken or each.end}'] += 1
        if broken:
            verdict.add_violation(broken, _describe(each, load))


def broken_promise(
    each: KeptResult, chaos: PlatformChaos, *, has_run: bool
) -> str:
    """Return the promise that the end of a request breaks; empty for none."""
    if was_killed(each, chaos):
        return ''
    took_s = each.ended_at - each.sent_at - suspended_s(each, chaos)
    if took_s > DEADLINE_S + HELD_MARGIN_S:
        return 'held past its deadline'
    if each.head_at or each.end == 'waiting':
        return ''
    if has_run:
        is_excused = was_at_end_of_grace(each, chaos)
        return '' if is_excused else 'closed after it was passed on'
    if took_s > CROSSING_S:
        return 'closed late'
    if stood_in_socket(each, chaos):
        return 'closed after a suspension'
    return ''


def was_killed(each: KeptResult, chaos: PlatformChaos) -> bool:
    """Return whether the entry was killed before the end of a request.

    A request may be sent before the end of its connection is seen.
    """
    return chaos.was_killed(
        each.entry, each.sent_at - CROSSING_S, each.ended_at
    )


def was_at_end_of_grace(each: KeptResult, chaos: PlatformChaos) -> bool:
    """Return whether a run was broken off in the last of a drain's time."""
    return any(
        name == each.entry
        and each.sent_at <= at + DRAIN_SEND_S
        and at + LAST_OF_GRACE_S <= each.ended_at
        for name, at in chaos.terminations
    )


def suspended_s(each: KeptResult, chaos: PlatformChaos) -> float:
    """Return how long the entry or the caller's process was suspended."""
    total_s, counted_to = 0.0, each.sent_at
    periods = sorted(
        (period.began_at, period.ended_at)
        for period in chaos.disturbances
        if period.name == STAND_INS
        or (period.is_freeze and period.name == each.entry)
    )
    for began_at, ended_at in periods:
        ended_at = min(ended_at, each.ended_at)
        total_s += max(ended_at - max(began_at, counted_to), 0)
        counted_to = max(counted_to, ended_at)
    return total_s


def stood_in_socket(each: KeptResult, chaos: PlatformChaos) -> bool:
    """Return whether an entry closed after a suspension that it was sent in.

    Such a close doesn't cross the request: the entry could read it.
    """
    return any(
        period.is_freeze
        and period.name == each.entry
        and each.sent_at + CROSSING_S < period.ended_at <= each.ended_at
        for period in chaos.disturbances
    )


def _describe(each: KeptResult, load: KeptLoad) -> str:
    parts = [
        f'{each.request_id} {each.kind.path} at {each.entry}: '
        f'{each.end} {each.reason} after {each.ended_at - each.sent_at:.3f} s, '
        f'suspended {suspended_s(each, load.chaos):.3f} s, '
        f'head after {max(each.head_at - each.sent_at, 0):.3f} s',
        *_restarts(load.chaos, each),
        *_closes(load.fleet, each),
    ]
    return '; '.join(parts)


def _restarts(chaos: PlatformChaos, each: KeptResult) -> Iterator[str]:
    """Return the signals that ended the entry shortly before, and its starts."""
    starts = [('start', *restart) for restart in chaos.restarts]
    ends = [('SIGTERM', *termination) for termination in chaos.terminations]
    for kind, name, at in starts + ends:
        if name == each.entry and abs(at - each.ended_at) <= GRACE_S:
            yield f'{kind} at {at - each.sent_at:+.3f} s'


def _closes(fleet: PlatformFleet, each: KeptResult) -> Iterator[str]:
    """Return the closes that the entry logged shortly before the end."""
    path = fleet.folder / f'{each.entry}.log'
    ended_at = time.time() - time.monotonic() + each.ended_at
    for line in path.read_text().splitlines() if path.exists() else ():
        if '"caller connection closed"' not in line:
            continue
        at = datetime.fromisoformat(json.loads(line)['at']).timestamp()
        if abs(ended_at - at) < LOG_WINDOW_S:
            after_s = each.ended_at - each.sent_at + at - ended_at
            yield f'close at {after_s:+.3f} s: {line}'
