"""Compute the figures of a run of load."""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from _caller import Answer, Flaw
from _load_plan import LoadPlan
from _load_run import CallResult
from attrs import frozen

_CODE = re.compile(r'[\'"]code[\'"]: ?[\'"](\w+)')
OUTCOMES = (
    'answered',
    'not_run',
    'failed',
    'unknown',
    'no_answer',
    'not_sent',
)


@frozen(kw_only=True)
class Quantiles:
    """Quantiles of times in seconds; None without a sample."""

    p50: float | None = None
    p95: float | None = None
    p99: float | None = None
    most: float | None = None

    @classmethod
    def of(cls, times: Iterable[float]) -> Quantiles:
        """Return the nearest-rank quantiles of measured times.

        >>> Quantiles.of([3.0, 1.0, 2.0]).p50
        2.0
        """
        ordered = sorted(times)
        if not ordered:
            return cls()
        return cls(
            p50=nearest_rank(ordered, 0.5),
            p95=nearest_rank(ordered, 0.95),
            p99=nearest_rank(ordered, 0.99),
            most=ordered[-1],
        )


def nearest_rank(ordered: Sequence[float], share: float) -> float:
    """Return the smallest time that covers this share of all.

    >>> nearest_rank([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


@frozen(kw_only=True)
class Group:
    """The results of one phase, one customer, or both together.

    `goodput_per_s` counts complete answers within their deadlines. Latencies
    are those of complete answers. `seconds` is how long requests arrived.
    """

    name: str
    seconds: float
    requests: int
    outcomes: dict[str, int]
    good: int
    overdue: int
    sendings: int
    latency: Quantiles
    first_token: Quantiles

    @property
    def rate_per_s(self) -> float:
        """Return the offered rate."""
        return self.requests / self.seconds

    @property
    def goodput_per_s(self) -> float:
        """Return the complete answers in time per second."""
        return self.good / self.seconds

    @property
    def good_share(self) -> float:
        """Return the share of requests with a complete answer in time.

        1 if there were no requests.
        """
        return self.good / self.requests if self.requests else 1.0

    @property
    def whole_share(self) -> float:
        """Return the share of requests with a complete answer.

        1 if there were no requests.
        """
        complete = self.outcomes.get('answered', 0)
        return complete / self.requests if self.requests else 1.0


@frozen(kw_only=True)
class FlawCounts:
    """Defective answers over all sendings.

    `broken_off` counts connections that ended before the answer did, which
    their callers notice. The others reported success.
    """

    broken_off: int
    truncated: int
    mixed: int
    crossed: int

    @property
    def false_claims(self) -> int:
        """Return the number of defective answers that reported success."""
        return self.truncated + self.mixed + self.crossed


@frozen(kw_only=True)
class Summary:
    """All figures of a run.

    `codes` counts the final answers that aren't `answered`, by outcome and
    code.
    """

    seed: int
    total: Group
    phases: tuple[Group, ...]
    customers: tuple[Group, ...]
    parts: tuple[Group, ...]
    flaws: FlawCounts
    never_ended: int
    versions: dict[str, int]
    codes: dict[str, int]

    def group(self, phase: str = '', customer: str = '') -> Group | None:
        """Return a phase, a customer, a customer in a phase, or the total."""
        name = '/'.join(part for part in (phase, customer) if part)
        groups = (self.total, *self.phases, *self.customers, *self.parts)
        return next(
            (each for each in groups if each.name == (name or 'total')), None
        )


def summarize(
    plan: LoadPlan,
    results: Sequence[CallResult],
    answers: Sequence[Answer],
) -> Summary:
    """Return the figures of all results, and the flaws of all answers."""
    seconds = {phase.name: phase.seconds for phase in plan.phases}
    by_phase: dict[str, list[CallResult]] = defaultdict(list)
    by_customer: dict[str, list[CallResult]] = defaultdict(list)
    by_both: dict[tuple[str, str], list[CallResult]] = defaultdict(list)
    for each in results:
        phase, customer = each.arrival.phase, each.arrival.request.customer
        by_phase[phase].append(each)
        by_customer[customer].append(each)
        by_both[phase, customer].append(each)
    return Summary(
        seed=plan.bounds.seed,
        total=_group('total', plan.seconds, results),
        phases=tuple(
            _group(name, seconds[name], by_phase[name]) for name in seconds
        ),
        customers=tuple(
            _group(name, plan.seconds, by_customer[name])
            for name in sorted(by_customer)
        ),
        parts=tuple(
            _group('/'.join(both), seconds[both[0]], by_both[both])
            for both in sorted(by_both)
        ),
        flaws=_flaws(answers),
        never_ended=sum(one.never_ended for one in results),
        versions=_versions(answers),
        codes=_codes(results),
    )


def _group(name: str, seconds: float, results: Sequence[CallResult]) -> Group:
    counts = Counter(each.outcome for each in results)
    complete = [each for each in results if each.outcome == 'answered']
    first = [each.first_token_s for each in complete]
    return Group(
        name=name,
        seconds=seconds,
        requests=len(results),
        outcomes={outcome: counts[outcome] for outcome in OUTCOMES},
        good=sum(each.good for each in results),
        overdue=sum(each.overdue for each in results),
        sendings=sum(each.sendings for each in results),
        latency=Quantiles.of(each.latency_s for each in complete),
        first_token=Quantiles.of(at_s for at_s in first if at_s is not None),
    )


def _flaws(answers: Iterable[Answer]) -> FlawCounts:
    counts = Counter(
        'broken_off' if answer.broken else answer.flaw.value
        for answer in answers
    )
    return FlawCounts(
        broken_off=counts['broken_off'],
        truncated=counts[Flaw.CUT.value],
        mixed=counts[Flaw.MIXED.value],
        crossed=counts[Flaw.CROSSED.value],
    )


def _codes(results: Iterable[CallResult]) -> dict[str, int]:
    counts = Counter(
        f'{each.outcome} {code_of(each.answer)}'.strip()
        for each in results
        if each.answer is not None and each.outcome != 'answered'
    )
    return dict(sorted(counts.items()))


def code_of(answer: Answer) -> str:
    """Return the code in an error's text; empty if there is none.

    The text is JSON, or the `repr` of a stream's decoded last event.
    """
    found = _CODE.search(answer.detail)
    return found[1] if found else ''


def _versions(answers: Iterable[Answer]) -> dict[str, int]:
    counts = Counter(
        version
        for answer in answers
        if answer.whole
        for version in answer.versions
    )
    return dict(sorted(counts.items()))
