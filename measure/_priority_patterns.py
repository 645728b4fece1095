"""Patterns of demand that differ in who asks, and the shares that are served."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import evolve
from priorities import (
    BURST_AT_S,
    BURST_S,
    LAST,
    MAX_RETRY_AFTER_S,
    MIDDLE,
    URGENT,
    Attempt,
    Case,
    Kind,
    PriorityWorld,
)

SESSIONS = 200
RETURNS = 3
"""How often a refused request comes back, each time after 2 s."""

SECONDS = BURST_AT_S + BURST_S + RETURNS * MAX_RETRY_AFTER_S
"""New requests arrive until the last of the burst has come back."""

MIN_SESSION_ATTEMPTS = 5
"""Attempts from which on a session without any admitted one is unserved."""

LARGEST_SHARE = 0.1
BURST = evolve(LAST, burst=4.0)
LARGE = evolve(BURST, load=0.33, customer='large')
SMALL = evolve(LAST, load=0.02, customer='small')
MOSTLY_SMALL = evolve(BURST, load=0.3)
LARGE_PROMPTS = evolve(BURST, load=0.05, prompt=6000)


def _case(*kinds: Kind, hot_share: float = 0) -> Case:
    return Case(
        kinds=kinds,
        sessions=SESSIONS,
        returns=RETURNS,
        hot_share=hot_share,
        seconds=SECONDS,
    )


PATTERNS = {
    'burst_of_last': _case(URGENT, MIDDLE, BURST),
    'burst_of_urgent': _case(evolve(URGENT, burst=2.6), MIDDLE, LAST),
    'large_customer': _case(URGENT, MIDDLE, LARGE, SMALL),
    'hot_key': _case(URGENT, MIDDLE, BURST, hot_share=0.5),
    'large_prompts': _case(URGENT, MIDDLE, MOSTLY_SMALL, LARGE_PROMPTS),
}


def share_of(worlds: Iterable[PriorityWorld], urgency: int) -> float:
    """Return the share of the requests of a priority that were served."""
    return _served_share(_of_priority(worlds, urgency))


def share_of_customer(worlds: Iterable[PriorityWorld], customer: str) -> float:
    """Return the share of the requests of a customer that were served."""
    return _served_share(
        each
        for each in _final(worlds)
        if each.request.kind.customer == customer
    )


def share_of_largest(worlds: Iterable[PriorityWorld], urgency: int) -> float:
    """Return the served share of the largest tenth of a priority."""
    found = _of_priority(worlds, urgency)
    found.sort(key=lambda each: each.request.prompt)
    count = max(round(LARGEST_SHARE * len(found)), 1)
    return _served_share(found[-count:])


def unserved_share(worlds: Iterable[PriorityWorld]) -> float:
    """Return the share of the sessions with several attempts without success."""
    found = [
        not any(session)
        for world in worlds
        for session in _sessions(world.attempts)
        if len(session) >= MIN_SESSION_ATTEMPTS
    ]
    return sum(found) / max(len(found), 1)


def _final(worlds: Iterable[PriorityWorld]) -> list[Attempt]:
    """Return the last attempt of each request: admitted, or given up."""
    return [
        each
        for world in worlds
        for each in world.attempts
        if each.is_admitted or each.request.returns >= world.case.returns
    ]


def _of_priority(
    worlds: Iterable[PriorityWorld], urgency: int
) -> list[Attempt]:
    return [
        each for each in _final(worlds) if each.request.kind.urgency == urgency
    ]


def _served_share(attempts: Iterable[Attempt]) -> float:
    found = [each.is_admitted for each in attempts]
    return sum(found) / max(len(found), 1)


def _sessions(attempts: Sequence[Attempt]) -> list[list[bool]]:
    """Return which attempts of each session were admitted."""
    found: dict[tuple[str, int], list[bool]] = {}
    for each in attempts:
        key = (each.request.kind.customer, each.request.session)
        found.setdefault(key, []).append(each.is_admitted)
    return list(found.values())
