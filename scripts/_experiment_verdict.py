"""Evaluate an experiment against its promises and the fixed invariants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from _load_summary import Group, Summary
from _load_text import summary_lines
from attrs import frozen

if TYPE_CHECKING:
    from _books import Verdict
    from _experiment_plan import Experiment, Promise


@frozen(kw_only=True)
class StepReport:
    """A step that was run, with times in seconds.

    `error` is the failure of the step, such as a version not loaded in time.
    """

    name: str
    kind: str
    at_s: float
    took_s: float
    error: str


@frozen(kw_only=True)
class PromiseReport:
    """A promise with the measured figure."""

    name: str
    figure: str
    least: float
    most: float | None
    measured: float
    kept: bool

    def __str__(self) -> str:
        """Return the line of the printed report."""
        most = '' if self.most is None else f', at most {self.most:g}'
        status = 'kept' if self.kept else 'BROKEN'
        return (
            f'promise {self.name}: {self.figure}={self.measured:.4g} '
            f'(at least {self.least:g}{most}): {status}'
        )


@frozen(kw_only=True)
class Report:
    """Result of an experiment, written as JSON."""

    experiment: str
    seed: int
    passed: bool
    engines: int
    summary: Summary
    books: dict[str, int]
    promises: tuple[PromiseReport, ...]
    steps: tuple[StepReport, ...]
    broken: tuple[str, ...]

    def lines(self) -> list[str]:
        """Return the lines of the printed report, with the verdict last."""
        counts = ' '.join(f'{name}={n}' for name, n in self.books.items())
        return [
            *summary_lines(self.summary),
            *(
                f'fault {step.name}: {step.kind} at {step.at_s:g} s, '
                f'took {step.took_s:g} s {step.error}'.rstrip()
                for step in self.steps
            ),
            *map(str, self.promises),
            *(f'BROKEN: {line}' for line in self.broken),
            f'experiment {self.experiment}: '
            f'{"ok" if self.passed else "failed"} seed={self.seed} {counts}',
        ]


def evaluate(
    experiment: Experiment,
    summary: Summary,
    verdict: Verdict,
    steps: tuple[StepReport, ...],
) -> Report:
    """Return the report: figures checked against invariants and promises."""
    promises = tuple(_check(each, summary) for each in experiment.promises)
    broken = (
        *_find_broken_invariants(summary, verdict),
        *(f'fault {step.name}: {step.error}' for step in steps if step.error),
        *(str(promise) for promise in promises if not promise.kept),
    )
    return Report(
        experiment=experiment.name,
        seed=summary.seed,
        passed=not broken,
        engines=experiment.fleet.engines,
        summary=summary,
        books={
            'requests': verdict.requests,
            'whole': verdict.whole,
            'doubled': verdict.doubled,
            'mixed': verdict.mixed,
            'cut': verdict.cut,
            'crossed': verdict.crossed,
            'unanswered': verdict.unanswered,
            'not_run_but_ran': verdict.not_run_but_ran,
        },
        promises=promises,
        steps=steps,
        broken=broken,
    )


def measured(figure: str, group: Group, summary: Summary) -> float:
    """Return a figure of a group; infinite for a time without a sample."""
    match figure:
        case 'latency_p95_s':
            return _or_infinite(group.latency.p95)
        case 'first_token_p95_s':
            return _or_infinite(group.first_token.p95)
        case 'sendings_per_request':
            return group.sendings / max(1, group.requests)
        case _:
            return float(getattr(group, figure))


def _or_infinite(time_s: float | None) -> float:
    return float('inf') if time_s is None else time_s


def _check(promise: Promise, summary: Summary) -> PromiseReport:
    group = summary.group(promise.phase, promise.customer)
    figure_value = (
        float('nan')
        if group is None
        else measured(promise.figure, group, summary)
    )
    most = None if promise.most == float('inf') else promise.most
    return PromiseReport(
        name=promise.name,
        figure=promise.figure,
        least=promise.least,
        most=most,
        measured=figure_value,
        kept=promise.least <= figure_value <= promise.most,
    )


def _find_broken_invariants(summary: Summary, verdict: Verdict) -> list[str]:
    """Return the violated invariants, which hold whatever the file promises."""
    broken = list(verdict.misses)
    if summary.never_ended:
        broken.append(f'{summary.never_ended} requests never got a final word')
    return broken
