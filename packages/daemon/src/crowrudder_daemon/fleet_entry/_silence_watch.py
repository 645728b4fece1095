"""Find runs whose upstream has been silent for too long, and report them."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_daemon.fleet_entry._run_activity import RunActivity
    from crowrudder_daemon.process import Runtime

POLL_INTERVAL_S = 0.1
"""Interval of checks while any run is open. A timer for each run would cost
more, as nearly every run ends before its limit."""

FIRST_MOVES = 2
"""How many runs of an upstream get another run at the first check that finds
them silent. The number doubles with each check: most silences end by themselves
within a second, and those of a lost host must all be dealt with in that time."""

MAX_MOVES = 1000
"""The number for an upstream that is known to have ended."""

MAX_ASKED = 50
"""Most silent runs that one check asks: each looks for another upstream, and
other connections wait meanwhile."""

LATENESS_KEPT_S = 5.0
"""How long late checks are remembered for the log lines of silent runs."""


@frozen(kw_only=True)
class Silence:
    """The silence of one run, as it was when the entry acted on it.

    Attributes
    ----------
    silent_s
        Seconds since the upstream sent anything for the run.
    after_event
        Id of the last event before it; empty before the first one.
    others
        How many other runs at the upstream were silent as well.
    loop_late_s
        How late the event loop was at worst since the silence began.
    """

    silent_s: float
    after_event: str
    others: int
    loop_late_s: float


class SilenceWatch:
    """Checks the runs of this entry and logs silent upstreams."""

    def __init__(self, runtime: Runtime) -> None:
        self._log = runtime.log
        self._runs: set[RunActivity] = set()
        self._silent_since: dict[str, float] = {}
        self._silent_counts: Counter[str] = Counter()
        self._limits: dict[str, int] = {}
        self._asked: set[RunActivity] = set()
        self._late: deque[tuple[float, float]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0
        self._silences = runtime.metrics.counter(
            'upstream_silences',
            'Times at which runs at an upstream fell silent.',
        )

    def add(self, run: RunActivity) -> None:
        """Watch a run that was sent."""
        self._runs.add(run)
        if self._timer is None:
            self._schedule()

    def remove(self, run: RunActivity) -> None:
        """Stop watching a run that has ended."""
        self._runs.discard(run)

    def on_upstream_ended(self, upstream_id: str) -> None:
        """Move the runs of an incarnation that has ended at the next check.

        A host that lost its power closes no connection.
        """
        for run in self._runs:
            if run.upstream_id == upstream_id:
                run.is_upstream_ended = True
        self._limits[upstream_id] = MAX_MOVES

    def describe(self, run: RunActivity, *, after_event: str) -> Silence:
        """Return the silence of a run as of now."""
        now = clock_s()
        heard_at = run.heard_at
        others = max(self._silent_counts[run.upstream_id] - 1, 0)
        return Silence(
            silent_s=now - heard_at,
            after_event=after_event,
            others=others,
            loop_late_s=max(
                (late_s for at, late_s in self._late if at >= heard_at),
                default=0,
            ),
        )

    def _schedule(self) -> None:
        self._due_at = clock_s() + POLL_INTERVAL_S
        self._timer = asyncio.get_running_loop().call_later(
            POLL_INTERVAL_S, self._poll
        )

    def _poll(self) -> None:
        now = clock_s()
        self._record_lateness(now)
        silent = [run for run in self._runs if run.is_silent(now)]
        self._silent_counts = Counter(run.upstream_id for run in silent)
        self._log_changes(now)
        self._timer = None
        if self._runs:
            self._schedule()
        self._report(silent)

    def _record_lateness(self, now: float) -> None:
        """Excuse the runs while this process did not read their sockets."""
        late_s = now - self._due_at
        while self._late and self._late[0][0] < now - LATENESS_KEPT_S:
            self._late.popleft()
        if late_s < POLL_INTERVAL_S:
            return
        self._late.append((now, late_s))
        for run in self._runs:
            run.excuse(late_s)

    def _report(self, silent: list[RunActivity]) -> None:
        """Report silent runs in order, up to a limit for each upstream."""
        moved: Counter[str] = Counter()
        for run in self._next_asked(silent):
            upstream_id = run.upstream_id
            limit = self._limits.setdefault(upstream_id, FIRST_MOVES)
            if moved[upstream_id] < limit:
                moved[upstream_id] += run.on_silent()
        self._limits = {
            upstream_id: min(2 * limit, MAX_MOVES)
            if moved[upstream_id] >= limit
            else limit
            for upstream_id, limit in self._limits.items()
            if upstream_id in self._silent_counts
        }

    def _next_asked(self, silent: list[RunActivity]) -> list[RunActivity]:
        """Return the silent runs of this check in their order.

        Where there are more than one check can take, those that were asked
        last come when all others had their turn.
        """
        if len(silent) <= MAX_ASKED:
            self._asked.clear()
            return sorted(silent, key=lambda each: each.rank)
        waiting = [run for run in silent if run not in self._asked]
        if not waiting:
            self._asked.clear()
            waiting = silent
        chosen = sorted(waiting, key=lambda each: each.rank)[:MAX_ASKED]
        self._asked.update(chosen)
        return chosen

    def _log_changes(self, now: float) -> None:
        runs = self._silent_counts
        if not runs and not self._silent_since:
            return
        for upstream_id, count in runs.items():
            if upstream_id not in self._silent_since:
                self._silent_since[upstream_id] = now
                self._silences.add()
                self._log.info(
                    'upstream fell silent',
                    extra={
                        'step': 'silence',
                        'upstream': upstream_id,
                        'silent_runs': count,
                        'runs': self._runs_at(upstream_id),
                    },
                )
        for upstream_id in self._silent_since.keys() - runs.keys():
            since = self._silent_since.pop(upstream_id)
            left = self._runs_at(upstream_id)
            self._log.info(
                'upstream speaks again' if left else 'silent runs ended',
                extra={
                    'step': 'silence',
                    'upstream': upstream_id,
                    'logged_silent_s': round(now - since, 3),
                    'runs': left,
                },
            )

    def _runs_at(self, upstream_id: str) -> int:
        return sum(run.upstream_id == upstream_id for run in self._runs)
