"""An upstream that names a rate limit, with real entries."""

from __future__ import annotations

import asyncio
import time

from support.fleet import Answer
from support.fleet_checks import checked

LIMIT_PER_S = 1.0
WINDOW_S = 4.0
SEND_DURATION_S = 3.0
PAUSE_S = 0.04
PROPAGATION_S = 0.5
"""Time until all entries must respect a limit."""


def max_arrivals(limit_per_s):
    """Return the maximum number of requests in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


async def send_to_all(world, duration_s=SEND_DURATION_S, path='/read/x'):
    """Send requests to all entries in turn, far above the limit."""
    ends_at = time.monotonic() + duration_s
    answers: list[Answer] = []
    while time.monotonic() < ends_at:
        entry = len(answers) % len(world.entries)
        answers.append(await world.ask(path, entry=entry))
        await asyncio.sleep(PAUSE_S)
    return answers


def arrivals(replica, since):
    return sum(at >= since for at, _ in replica.arrivals)


class TestNamedLimit:
    """Guards against a limit that entries apply separately or not at all."""

    def test_all_entries_together_respect_the_limit_of_an_upstream(self):
        async def check(world):
            limited = world.replicas['p0']
            limited.limit_per_s = str(LIMIT_PER_S)
            began_at = time.monotonic()
            answers = await send_to_all(world)
            got = arrivals(limited, began_at + PROPAGATION_S)
            assert got <= max_arrivals(LIMIT_PER_S)
            assert {answer.status for answer in answers} == {200}

        checked(check, entries=3)
