"""Requests that retries save, within the budget that all entries share."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from crowrudder_core.limits import SharedRetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRIES = (8, 44, 236)
REQUESTS_PER_S = (20.0, 100.0, 400.0)
DURATION_S = 60.0
SETTLED_S = 30.0
FAILING_SHARE = 1 / 3
"""One upstream of three fails all that it gets; a retry goes to another one."""

SHARE = 0.2
EXTRA = 100.0
WINDOW_S = 10.0
BURST = 80
"""Requests that fail at once, as when a failure domain ends."""


def run(show: Callable[[str, float], None]) -> None:
    """Measure the share of failed first attempts that a retry saves.

    After some time, in the first window after all entries have started, and
    of a burst of failures.
    """
    for entries in ENTRIES:
        for rate in REQUESTS_PER_S:
            name = f'retry_budget.{entries}.{rate:.0f}'
            settled = (SETTLED_S, SETTLED_S + DURATION_S)
            show(f'{name}.saved', _saved(entries, rate, settled))
            show(f'{name}.first_saved', _saved(entries, rate, (0, WINDOW_S)))
            show(f'{name}.burst_saved', _burst_saved(entries, rate))


def _budgets(entries: int) -> list[SharedRetryBudget]:
    budgets = [
        SharedRetryBudget(share=SHARE, extra=EXTRA, window_s=WINDOW_S)
        for _ in range(entries)
    ]
    for each in budgets:
        each.has('s', entry_share=1 / entries, now=0)
    return budgets


def _saved(entries: int, rate: float, counted: tuple[float, float]) -> float:
    rng = random.Random(1)
    budgets = _budgets(entries)
    since, until = counted
    now = 0.0
    failed = saved = 0
    while now < until:
        now += rng.expovariate(rate)
        entry = rng.choice(budgets)
        entry.on_first('s', now=now)
        if rng.random() < FAILING_SHARE:
            is_saved = _retry(entry, entries, now)
            failed += now >= since
            saved += is_saved and now >= since
    return saved / failed


def _burst_saved(entries: int, rate: float) -> float:
    rng = random.Random(1)
    budgets = _budgets(entries)
    now = 0.0
    while now < SETTLED_S:
        now += rng.expovariate(rate)
        rng.choice(budgets).on_first('s', now=now)
    saved = [_retry(rng.choice(budgets), entries, now) for _ in range(BURST)]
    return sum(saved) / BURST


def _retry(budget: SharedRetryBudget, entries: int, now: float) -> bool:
    permit = budget.take('s', entry_share=1 / entries, now=now)
    if permit is None:
        return False
    budget.on_arrived(permit, now=now)
    return True
