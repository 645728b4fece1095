"""When refused callers are to come back."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_core.statements import (
    RETURN_S,
    Accepting,
    Cold,
    Limited,
    Pausing,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from crowrudder_core.statements import Acceptance
    from crowrudder_daemon.fleet_entry._statements import EntryStatements

LOADING_RETRY_AFTER_S = 1.1
"""Time until an engine that loads is available again: 0.7 s for running
requests to end and 0.3 s for the load."""

ABSENT_RETRY_AFTER_S = 2.0
"""Delay before a retry if no upstream is available. A host that restarts
answers after two to three seconds; a version whose source was away takes
longer. Callers wait for at most a third of their time."""

EVACUATED_RETRY_AFTER_S = 2.0
"""Delay before a retry if all upstreams are evacuated. How long this lasts isn't
known; callers wait for at most a third of their time."""

FULL_RETRY_AFTER_S = 0.5
"""Delay before a retry if connections or memory are used up: running requests
end all the time."""

MIN_RETRY_AFTER_S = 0.1


def retry_after_s(
    found: Sequence[Acceptance],
    *,
    is_loading: bool,
    random: Random,
    is_full: bool = False,
) -> float:
    """Return the estimated seconds until a service is available again.

    If the estimate is too short, callers retry during the same outage and
    use up their retries: their requests are refused twice and lost,
    although the service is back before their deadline. Where no upstream
    accepts a request by its own statements, the first one that will tells
    the time, and callers are spread over the second of its return.

    Parameters
    ----------
    found
        What each upstream whose record takes requests states.
    is_full
        Whether any of them lacks only a free connection or memory.
    is_loading
        Whether any engine of the service loads weights.
    """
    outage_s = LOADING_RETRY_AFTER_S if is_loading else ABSENT_RETRY_AFTER_S
    if is_full:
        outage_s = FULL_RETRY_AFTER_S
    first = min(found, key=lambda each: each.wait_s, default=Accepting())
    match first:
        case Pausing(wait_s=wait_s):
            return wait_s + random.uniform(0, RETURN_S)
        case Limited(wait_s=wait_s):
            return max(wait_s, MIN_RETRY_AFTER_S)
    waits_s = (each.wait_s for each in found if each.wait_s > 0)
    return max(min((outage_s, *waits_s)), MIN_RETRY_AFTER_S)


@frozen
class ColdTerms:
    """How fast cold upstreams accept requests, until one accepts any number.

    ``spacing_s`` is the mean time between two requests of all entries.
    """

    spacing_s: float
    last_s: float


def cold_terms(
    found: Mapping[str, Acceptance], statements: EntryStatements
) -> ColdTerms | None:
    """Return the terms if the next request is accepted by a cold upstream.

    Parameters
    ----------
    found
        What each upstream states, by id; None is returned if any accepts a
        request, or will before a cold one does.
    """
    first = min(found.values(), key=lambda each: each.wait_s, default=None)
    if not isinstance(first, Cold):
        return None
    per_s, last_s = 0.0, math.inf
    for upstream_id, stated in found.items():
        if isinstance(stated, Cold):
            per_s += statements.cold_total_per_s(upstream_id)
            last_s = min(last_s, statements.cold_left_s(upstream_id))
        else:
            last_s = min(last_s, stated.wait_s)
    return ColdTerms(spacing_s=1 / max(per_s, 1), last_s=last_s)
