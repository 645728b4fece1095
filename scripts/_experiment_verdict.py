"""Whether an experiment kept the promises, as typed and printable values."""

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
    """A fault that was set off; times in seconds.

    `error` says what of it failed, such as a version not loaded in time.
    """

    name: str
    kind: str
    at_s: float
    took_s: float
    error: str


@frozen(kw_only=True)
class PromiseReport:
    """A promise with the figure that was measured."""

    name: str
    figure: str
    least: float
    most: float | None
    measured: float
    kept: bool

    def __str__(self) -> str:
        """Give the line for people."""
        most = '' if self.most is None else f', at most {self.most:g}'
        told = 'kept' if self.kept else 'BROKEN'
        return (
            f'promise {self.name}: {self.figure}={self.measured:.4g} '
            f'(at least {self.least:g}{most}): {told}'
        )


@frozen(kw_only=True)
class Report:
    """All that an experiment gives back; written as JSON."""

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
        """Give the report for people; the last line is the verdict."""
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


def judge(
    experiment: Experiment,
    summary: Summary,
    verdict: Verdict,
    steps: tuple[StepReport, ...],
) -> Report:
    """Hold the figures against what always has to hold and the promises."""
    promises = tuple(_check(each, summary) for each in experiment.promises)
    broken = (
        *_broken_books(summary, verdict),
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
    """Read a promise's figure of a group; infinite where nothing came."""
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
    found = (
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
        measured=found,
        kept=promise.least <= found <= promise.most,
    )


def _broken_books(summary: Summary, verdict: Verdict) -> list[str]:
    """Name what never may happen, whatever the file promises."""
    broken = list(verdict.misses)
    if summary.never_ended:
        broken.append(f'{summary.never_ended} requests never got a final word')
    return broken
