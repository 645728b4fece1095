"""The goals of the issues, compared with the measured figures."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from fnmatch import fnmatchcase

from _report_figures import Figure
from attrs import frozen


class Verdict(enum.Enum):
    """Whether a goal was reached."""

    MET = 'met'
    NOT_MET = 'not met'
    NOT_MEASURED = 'not measured'


@frozen(kw_only=True)
class Goal:
    """A bound on the figures whose names match.

    >>> Goal(issue=4, names='a.*', most=1.5).judge(Figure('a.8', '1.2')).value
    'met'
    """

    issue: int
    names: str
    least: float | None = None
    most: float | None = None
    baselines: str = ''
    """Pattern of the baselines that must be worse in the same run."""

    def __str__(self) -> str:
        """Return the bounds as text."""
        bounds = (('≥', self.least), ('≤', self.most))
        shown = [
            f'{sign} {bound:g}' for sign, bound in bounds if bound is not None
        ]
        if self.baselines:
            shown.append(f'ahead of `{self.baselines}`')
        return ', '.join(shown)

    def covers(self, figure: Figure) -> bool:
        """Return whether the goal applies to this figure."""
        return fnmatchcase(figure.name, self.names)

    def evaluate(self, figure: Figure, known: Iterable[Figure] = ()) -> Verdict:
        """Compare a figure with the bounds; text never meets them.

        Parameters
        ----------
        known
            All figures, including the baselines.
        """
        number = figure.number
        if number is None:
            return Verdict.NOT_MET
        enough = self.least is None or number >= self.least
        little = self.most is None or number <= self.most
        met = (
            enough and little and self._is_better_than_baselines(number, known)
        )
        return Verdict.MET if met else Verdict.NOT_MET

    def _is_better_than_baselines(
        self, number: float, known: Iterable[Figure]
    ) -> bool:
        baselines = [
            each.number
            for each in known
            if fnmatchcase(each.name, self.baselines)
            and each.number is not None
        ]
        if not baselines:
            return not self.baselines
        if self.most is None:
            return number > max(baselines)
        return number < min(baselines)


GOALS = (
    Goal(issue=4, names='weights.time_over_bound.128', most=1.15),
    Goal(issue=4, names='weights.time_over_bound.faults.[0-9]*', most=2),
    Goal(issue=4, names='weights.origin_copies.[0-9]*', most=1.05),
    Goal(issue=4, names='weights.origin_copies.faults.[0-9]*', most=1.5),
    Goal(issue=4, names='weights.live_latency_ratio', most=1.2),
    Goal(
        issue=5,
        names='route.p99_over_ideal',
        most=1.3,
        baselines='route.*.p99_over_ideal',
    ),
    Goal(
        issue=5,
        names='route.p95_ttft_over_ideal',
        most=1.3,
        baselines='route.*.p95_ttft_over_ideal',
    ),
    Goal(issue=5, names='route.cache_hit_ratio', least=0.85),
    Goal(issue=5, names='route.cache_fullest_over_mean', most=1.25),
    Goal(issue=5, names='route.goodput_overload', least=0.95),
    Goal(issue=5, names='route.small_customer_share', least=0.95),
    Goal(issue=5, names='route.attempts_per_request', most=1.1),
    Goal(issue=5, names='drain.last_new_work_s', most=3),
    Goal(issue=6, names='config.everywhere_s.128', most=5),
    Goal(issue=6, names='config.worked_out.everywhere_s.2140', most=18),
    Goal(
        issue=6,
        names='config.worked_out.platform_calls_per_s.*.2140',
        most=500,
    ),
    Goal(issue=6, names='config.reverts', most=0),
    Goal(issue=6, names='config.process.cpu_share.[0-9]*', most=0.023),
    Goal(issue=6, names='config.process.memory_mb.[0-9]*', most=256),
    Goal(issue=6, names='config.process.bytes_per_s.[0-9]*', most=3000),
)


@frozen
class GoalResult:
    """A goal with its verdict on a figure, which is None if not measured."""

    goal: Goal
    figure: Figure | None
    verdict: Verdict


def evaluate_goals(figures: Iterable[Figure]) -> tuple[GoalResult, ...]:
    """Compare all figures with all goals, in the order of the goals."""
    known = tuple(figures)
    results: list[GoalResult] = []
    for goal in GOALS:
        covered = [figure for figure in known if goal.covers(figure)]
        results.extend(
            GoalResult(goal, figure, goal.evaluate(figure, known))
            for figure in covered
        )
        if not covered:
            results.append(GoalResult(goal, None, Verdict.NOT_MEASURED))
    return tuple(results)
