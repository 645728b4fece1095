"""An upstream that names a limit, before real entries."""

from __future__ import annotations

import asyncio
import time

from support.fleet import Answer
from support.fleet_checks import checked

LIMIT_PER_S = 1.0
WINDOW_S = 4.0
LASTS_S = 3.0
PAUSE_S = 0.04
SPREADS_S = 0.5
"""Until entries that were told of a limit have to keep it."""


def allowed(limit_per_s):
    """Give the most requests in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


async def ask_all(world, lasts_s=LASTS_S, path='/read/x'):
    """Send requests to all entries in turn, many more than the limit."""
    ends_at = time.monotonic() + lasts_s
    answers: list[Answer] = []
    while time.monotonic() < ends_at:
        entry = len(answers) % len(world.entries)
        answers.append(await world.ask(path, entry=entry))
        await asyncio.sleep(PAUSE_S)
    return answers


def arrivals(replica, since):
    return sum(at >= since for at, _ in replica.arrivals)


class TestNamedLimit:
    """Guards against a limit that every entry keeps for itself, or none."""

    def test_all_entries_together_keep_an_upstreams_limit(self):
        async def check(world):
            limited = world.replicas['p0']
            limited.limit_per_s = str(LIMIT_PER_S)
            began_at = time.monotonic()
            answers = await ask_all(world)
            got = arrivals(limited, began_at + SPREADS_S)
            assert got <= allowed(LIMIT_PER_S)
            assert {answer.status for answer in answers} == {200}

        checked(check, entries=3)
