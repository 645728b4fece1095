"""Answers of upstreams that are read when a deadline is due."""

from __future__ import annotations

import pytest

from crowrudder_standins.fleet_replica import FleetReplica
from support.fleet_checks import all_runs, checked, inject_fault_all
from support.leaving_caller import LeavingCaller, hold_loop, request_bytes

DEADLINE_MS = 500
SLOW_S = 0.2
LATE_S = 0.6


@pytest.fixture(autouse=True)
def held_after_answers(monkeypatch):
    """Hold the loop once an answer stands in the entry's socket."""
    answer_plain = vars(FleetReplica)['_plain']

    async def answer_then_hold(replica, call, run_record):
        await answer_plain(replica, call, run_record)
        hold_loop(LATE_S)

    monkeypatch.setattr(FleetReplica, '_plain', answer_then_hold)


class TestAnswerReadWhenTheDeadlineIsDue:
    """Guards against a deadline that discards an answer that was read."""

    @pytest.mark.parametrize('path', ['/read/x', '/notice/x'])
    def test_it_is_delivered(self, path):
        async def check(world):
            inject_fault_all(world, 'p', 'slow', None, amount=SLOW_S)
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes(path, deadline_ms=DEADLINE_MS))
            assert await caller.status() == 200
            assert len(all_runs(world, 'a')) == 1

        checked(check)
