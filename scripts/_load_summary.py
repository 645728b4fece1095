"""The figures of a run of load, typed and printable."""

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
    """Times in seconds; None where nothing was measured."""

    p50: float | None = None
    p95: float | None = None
    p99: float | None = None
    most: float | None = None

    @classmethod
    def of(cls, times: Iterable[float]) -> Quantiles:
        """Take the nearest ranks of measured times.

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
    """Give the least time that covers this share of all.

    >>> nearest_rank([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


@frozen(kw_only=True)
class Group:
    """The results of one phase, one customer, or both together.

    `goodput_per_s` counts whole answers within their deadlines. Latencies are
    those of whole answers. `seconds` is how long requests arrived.
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
        """The rate that was offered."""
        return self.requests / self.seconds

    @property
    def goodput_per_s(self) -> float:
        """Whole answers in time, a second."""
        return self.good / self.seconds

    @property
    def good_share(self) -> float:
        """Whole answers in time over requests; 1 where there were none."""
        return self.good / self.requests if self.requests else 1.0

    @property
    def whole_share(self) -> float:
        """Whole answers over requests; 1 where there were none."""
        whole = self.outcomes.get('answered', 0)
        return whole / self.requests if self.requests else 1.0


@frozen(kw_only=True)
class FlawCounts:
    """Answers that weren't what they claimed, over all sendings.

    `broken_off` counts connections that ended before the answer did: their
    callers know it. The others claimed to be good.
    """

    broken_off: int
    truncated: int
    mixed: int
    crossed: int

    @property
    def false_claims(self) -> int:
        """How many answers claimed to be good and weren't."""
        return self.truncated + self.mixed + self.crossed


@frozen(kw_only=True)
class Summary:
    """All figures of a run.

    `codes` counts the last answers that weren't good, by outcome and code.
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
        """Find a phase, a customer, a customer in a phase, or the total."""
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
    """Count all results, and the flaws over the answers to all sendings."""
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
    whole = [each for each in results if each.outcome == 'answered']
    first = [each.first_token_s for each in whole]
    return Group(
        name=name,
        seconds=seconds,
        requests=len(results),
        outcomes={outcome: counts[outcome] for outcome in OUTCOMES},
        good=sum(each.good for each in results),
        overdue=sum(each.overdue for each in results),
        sendings=sum(each.sendings for each in results),
        latency=Quantiles.of(each.latency_s for each in whole),
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
    """Give the code in an error's text; empty where there is none.

    It stands there as JSON, or as a stream's last event was decoded.
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
