"""Shares of sessions, customers and sizes within priorities, in virtual time.

The fleet of `priorities` under patterns of demand whose refused requests come
back. Shown are the share of the sessions that are left unserved, and for each
priority the share in time at once, and the share served in the end of all
requests and of the largest tenth: means of six seeds.
"""

from __future__ import annotations

from _priority_patterns import (
    PATTERNS,
    share_of,
    share_of_customer,
    share_of_largest,
    unserved_share,
)
from priorities import PriorityWorld, Show

SEEDS = range(1, 7)


def run(show: Show) -> None:
    """Print the figures of each pattern."""
    for name, case in PATTERNS.items():
        worlds = [PriorityWorld(case, True, seed=seed) for seed in SEEDS]
        for each in worlds:
            each.run()
        prefix = f'priority_patterns.{name}'
        show(f'{prefix}.unserved_sessions', unserved_share(worlds))
        for urgency in sorted(worlds[0].outcomes):
            _show_priority(show, f'{prefix}.{urgency}', worlds, urgency)
        for customer in {kind.customer for kind in case.kinds} - {''}:
            share = share_of_customer(worlds, customer)
            show(f'{prefix}.{customer}.served', share)


def _show_priority(
    show: Show, prefix: str, worlds: list[PriorityWorld], urgency: int
) -> None:
    found = [world.outcomes[urgency] for world in worlds]
    asked = sum(outcome.asked for outcome in found)
    in_time = sum(outcome.in_time for outcome in found)
    show(f'{prefix}.in_time', in_time / max(asked, 1))
    show(f'{prefix}.served', share_of(worlds, urgency))
    show(f'{prefix}.largest_served', share_of_largest(worlds, urgency))
