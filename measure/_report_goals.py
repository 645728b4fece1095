"""The goals of the issues, beside the figures that were measured."""

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
    rivals: str = ''
    """Names of the baselines that have to be worse, in the same run."""

    def __str__(self) -> str:
        """Give the bound."""
        bounds = (('≥', self.least), ('≤', self.most))
        shown = [
            f'{sign} {bound:g}' for sign, bound in bounds if bound is not None
        ]
        if self.rivals:
            shown.append(f'ahead of `{self.rivals}`')
        return ', '.join(shown)

    def covers(self, figure: Figure) -> bool:
        """Whether the goal is about this figure."""
        return fnmatchcase(figure.name, self.names)

    def judge(self, figure: Figure, known: Iterable[Figure] = ()) -> Verdict:
        """Hold a figure against the bound; text meets no bound.

        Parameters
        ----------
        known
            All figures, among them the baselines.
        """
        number = figure.number
        if number is None:
            return Verdict.NOT_MET
        enough = self.least is None or number >= self.least
        little = self.most is None or number <= self.most
        met = enough and little and self._is_ahead(number, known)
        return Verdict.MET if met else Verdict.NOT_MET

    def _is_ahead(self, number: float, known: Iterable[Figure]) -> bool:
        rivals = [
            each.number
            for each in known
            if fnmatchcase(each.name, self.rivals) and each.number is not None
        ]
        if not rivals:
            return not self.rivals
        if self.most is None:
            return number > max(rivals)
        return number < min(rivals)


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
        rivals='route.*.p99_over_ideal',
    ),
    Goal(
        issue=5,
        names='route.p95_ttft_over_ideal',
        most=1.3,
        rivals='route.*.p95_ttft_over_ideal',
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
class Judged:
    """A goal with a figure that it covers, or None for a goal without one."""

    goal: Goal
    figure: Figure | None
    verdict: Verdict


def judge_all(figures: Iterable[Figure]) -> tuple[Judged, ...]:
    """Hold all figures against all goals, in the order of the goals."""
    known = tuple(figures)
    judged: list[Judged] = []
    for goal in GOALS:
        covered = [figure for figure in known if goal.covers(figure)]
        judged.extend(
            Judged(goal, figure, goal.judge(figure, known))
            for figure in covered
        )
        if not covered:
            judged.append(Judged(goal, None, Verdict.NOT_MEASURED))
    return tuple(judged)
