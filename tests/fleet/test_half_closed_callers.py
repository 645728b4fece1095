"""Callers that end only their sending side, and read on."""

from __future__ import annotations

import asyncio

import pytest

from support.fleet_checks import all_runs, checked, inject_fault_all
from support.leaving_caller import LeavingCaller, request_bytes

STOPPED_S = 0.5


class TestHalfClosedCaller:
    """Guards against a request that is run for a caller that may have left."""

    @pytest.mark.parametrize('path', ['/read/x', '/notice/x', '/draft/x'])
    def test_its_request_is_not_run(self, path):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes(path))
            caller.end_sending()
            assert not await asyncio.wait_for(caller.head(), STOPPED_S)
            assert not all_runs(world, 'a')

        checked(check)

    def test_a_run_in_progress_is_stopped(self):
        async def check(world):
            inject_fault_all(world, 'p', 'slow', None, amount=2.0)
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/read/x'))
            await world.until(lambda: all_runs(world, 'a'))
            caller.end_sending()
            assert not await asyncio.wait_for(caller.head(), STOPPED_S)
            assert not world.entries[0].requests.running

        checked(check)
