"""What an entry tells of the connections that it closes."""

from __future__ import annotations

import asyncio
import logging

from support.fleet import config
from support.fleet_checks import checked
from support.leaving_caller import LeavingCaller, request_bytes

IDLE_S = 0.4


class TestCloseLine:
    """Guards against a close whose rule and circumstances nobody can tell."""

    def test_an_idle_connection(self, caplog):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/read/x', request_id='first'))
            assert await caller.status() == 200
            await asyncio.sleep(0)
            with caplog.at_level(logging.INFO):
                assert not await caller.head()

        limits = {**config()['limits'], 'idle_timeout_ms': IDLE_S * 1000}
        checked(check, limits=limits, bounds={'config_s': 0.1})
        line = next(
            each
            for each in caplog.records
            if each.message == 'caller connection closed'
        )
        assert line.state == 'waiting'
        assert line.limit_s == IDLE_S
        assert line.since_version == 1
        assert line.for_s >= IDLE_S
        assert line.requests == 1
        assert not line.read_bytes
        assert not line.unread_bytes
