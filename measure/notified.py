"""Measures what agents gain that entries notify of sends, in virtual time.

The cases and seeds are those of `uneven`. Compared are the reports of today's
model, those of agents that read an old state of their engine, and those of
agents that add the sends and ends that entries of their region notify them of;
``product_`` is the same with the recipients and the preference of the product.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from _dispatch_policies import by_forecast
from _uneven_policies import by_close_first
from uneven import CASES, FRESH_S, SEEDS, Reports, UnevenWorld

if TYPE_CHECKING:
    from _dispatch_policies import Policy

BATCHED_S = (0.002, 0.023)
"""Delay of notifications that an entry collects for up to 20 ms."""

_of_agent = partial(Reports, by_agent=True, near_delay_s=FRESH_S)
_product = partial(_of_agent, prefers_close=True)

WORLDS: dict[str, tuple[Policy, Reports]] = {
    'today': (by_forecast, Reports()),
    'old_state': (by_forecast, _of_agent()),
    'notified': (by_forecast, _of_agent(notify_delay_s=FRESH_S)),
    'notified_20_per_s': (
        by_forecast,
        _of_agent(notify_delay_s=FRESH_S, near_interval_s=0.05),
    ),
    'batched': (by_forecast, _of_agent(notify_delay_s=BATCHED_S)),
    'batched_20_per_s': (
        by_forecast,
        _of_agent(notify_delay_s=BATCHED_S, near_interval_s=0.05),
    ),
    'product_old_state': (by_close_first, _product()),
    'product_notified': (by_close_first, _product(notify_delay_s=FRESH_S)),
    'product_batched': (by_close_first, _product(notify_delay_s=BATCHED_S)),
}

Show = Callable[[str, float], None]


def run(show: Show) -> None:
    """Print the figures of each kind of reports in each case."""
    for case_name in CASES:
        for seed in SEEDS:
            run_case(show, case_name, seed)


def run_case(show: Show, case_name: str, seed: int) -> None:
    """Print the figures of each kind of reports in one case, of one seed."""
    for name, (policy, reports) in WORLDS.items():
        world = UnevenWorld(CASES[case_name], policy, seed, reports)
        world.run()
        prefix = f'notified.{case_name}.{name}.{seed}'
        show(f'{prefix}.late', world.late_share)
        show(f'{prefix}.other_region', world.far_share)
        show(f'{prefix}.notifications_per_s', world.notifications_per_s)
