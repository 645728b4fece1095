"""Figures calculated for fleets that are too large for one machine.

The watchers and neighbours are those that the daemon chooses.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from crowrudder_core.config import WATCHERS, watchers_of
from crowrudder_core.membership import neighbours_of
from crowrudder_model import Member

if TYPE_CHECKING:
    from collections.abc import Callable

FULL = 2140
SIZES = (8, 32, 128, FULL)
DOMAINS = 6
ROUND_S = 2.0
LONGEST_ROUND_S = 4.0
"""Longest pause between two exchanges, and the timeout of a dead peer."""

ROUNDS_MISSED = 3
"""Exchanges until a host that the push missed has reached a living peer.

With a third of the hosts dead, 4 in 100 of the missed hosts choose a dead peer
three times in a row."""

WATCH_S = 6.0


def show_worked_out(
    show: Callable[[str, float | str], None],
    *,
    measured_s: float,
    measured_at: int,
) -> None:
    """Print hops and the age of the last platform read.

    Parameters
    ----------
    measured_s
        The longest time until in force everywhere that was measured, in a
        fleet of ``measured_at`` processes.
    """
    hops_of = {}
    for count in SIZES:
        members = _members(count)
        links = _links(members)
        watchers = _watchers(members)
        hops, missed = _simulate_push(links, watchers, dead=set())
        hops_of[count] = hops
        show(f'config.worked_out.hops.{count}', hops)
        show(f'config.worked_out.missed_by_push.{count}', missed)
    dead = set(random.Random(1).sample(sorted(links), FULL // 3))
    hops, missed = _simulate_push(links, watchers, dead=dead)
    show(f'config.worked_out.hops.third_dead.{FULL}', hops)
    show(f'config.worked_out.missed_by_push.third_dead.{FULL}', missed)
    hop_s = measured_s / hops_of[measured_at]
    everywhere_s = hops_of[FULL] * hop_s
    show(f'config.worked_out.everywhere_s.{FULL}', everywhere_s)
    missed_s = hops * hop_s + LONGEST_ROUND_S * ROUNDS_MISSED
    show(f'config.worked_out.everywhere_s.third_dead.{FULL}', missed_s)
    show(
        f'config.worked_out.read_age_s.{FULL}',
        _simulate_oldest_age(links, watchers),
    )
    calls = 2 * len(watchers) / WATCH_S
    show(f'config.worked_out.platform_calls_per_s.idle.{FULL}', calls)
    show(
        f'config.worked_out.platform_calls_per_s.after_change.{FULL}',
        calls + len(watchers),
    )


def _members(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(
            f'host-{number:04}',
            'entry',
            '127.0.0.1',
            failure_domain=f'domain-{number % DOMAINS}',
        )
        for number in range(count)
    )


def _links(members: tuple[Member, ...]) -> dict[str, list[str]]:
    hosts = [member.host for member in members]
    return {host: neighbours_of(host, hosts) for host in hosts}


def _watchers(members: tuple[Member, ...]) -> set[str]:
    return {
        host
        for number in range(DOMAINS)
        for host in watchers_of(f'domain-{number}', members)[:WATCHERS]
    }


def _simulate_push(
    links: dict[str, list[str]],
    sources: set[str],
    *,
    dead: set[str],
) -> tuple[int, int]:
    """Return the hops of a push from the watchers, and the hosts it misses."""
    front = sources - dead
    reached, hops = set(front), 0
    while front:
        neighbours = {peer for host in front for peer in links[host]}
        front = neighbours - reached - dead
        reached |= front
        hops += bool(front)
    return hops, len(links) - len(dead) - len(reached)


def _simulate_oldest_age(
    links: dict[str, list[str]], watchers: set[str]
) -> float:
    """Return the greatest age of the last platform read on any host.

    In each round, each host exchanges its age with a random neighbour, and
    both keep the lower one. A watcher reads every `WATCH_S`.
    """
    rng = random.Random(2)
    ages = dict.fromkeys(links, 0.0)
    oldest = 0.0
    for turn in range(60):
        for host in ages:
            ages[host] += ROUND_S
        for host in watchers:
            ages[host] = min(ages[host], rng.uniform(0, WATCH_S))
        for host in rng.sample(sorted(links), len(links)):
            peer = rng.choice(links[host])
            ages[host] = ages[peer] = min(ages[host], ages[peer])
        if turn > 30:
            oldest = max(oldest, *ages.values())
    return oldest
