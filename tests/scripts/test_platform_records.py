"""The soak's records of runs agree with what reaches a receiver."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest
from _platform_chaos import PlatformChaos
from _platform_checks import check_run
from _platform_fleet import Plan, PlatformFleet
from _platform_load import ROUTE_KINDS, RequestResult

from crowrudder_core.dispatch import Completeness, EventStream
from crowrudder_daemon.http import (
    BrokenAnswerError,
    ConnectionPool,
    WireRequest,
)
from crowrudder_standins._faults import Fault
from crowrudder_standins.fleet_replica import EVENTS, LAYERS, FleetReplica
from support.aio import run

DRAFT = ROUTE_KINDS[2]
ENGINE = 'engine-0'
FRAMINGS = {'chunks': (), 'length': ('sized',), 'connection': ('unframed',)}
ENDS = {
    'whole': (),
    'between events': ('cut',),
    'between events, reset': ('cut', 'reset'),
    'within an event': ('half_event',),
    'within an event, reset': ('half_event', 'reset'),
}
TURNS = 5
"""Turns of the event loop within which a connection's end is passed on."""


@contextlib.asynccontextmanager
async def running_fleet(folder):
    """Run a fleet of one engine behind the relay, without programs."""
    fleet = PlatformFleet(
        Plan(entries=0, agents=0, plains=0),
        folder,
        random.Random(),
        random.Random(1),
    )
    try:
        await fleet._add_replica(ENGINE, '127.0.4.1', 'llm', 0)
        yield fleet, loaded_replica(fleet)
    finally:
        fleet.close()


def loaded_replica(fleet):
    """Return the engine's current replica, which holds the model."""
    replica = fleet.replicas[ENGINE].replica
    replica.weights, replica.layers = 1, (0, LAYERS)
    return replica


async def received(fleet, request_id):
    """Return what a caller has after one run, as an entry would tell it."""
    result = RequestResult(
        request_id,
        DRAFT,
        'entry-0',
        0,
        status=200,
        has_seal=True,
        echoed=request_id,
    )
    events = EventStream().begin_run()
    address = fleet.replicas[ENGINE].address
    conn = await ConnectionPool().acquire(address, timeout_s=2)
    conn.send(
        WireRequest(
            method='POST',
            target='/draft/x',
            headers=(('Host', 'a'), ('X-Attempt-Id', request_id)),
            body=b'body',
        )
    )
    try:
        await conn.head()
        while (part := await conn.part()) is not None:
            result.body += events.take(part)
    except BrokenAnswerError:
        return result
    finally:
        completeness = events.completeness(conn.body_end)
        conn.close()
    result.is_whole = completeness is not Completeness.TRUNCATED
    return result


def violations(fleet, *results):
    chaos = PlatformChaos(fleet, random.Random(1), lambda _: None)
    return check_run(results, fleet, chaos).violations


async def wait_turns(turns):
    for _ in range(turns):
        await asyncio.sleep(0)


@pytest.fixture(autouse=True)
def _short_interval(monkeypatch):
    monkeypatch.setattr(FleetReplica, 'event_interval_s', 0.001)


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('is_crash_reset', [False, True])
class TestCrashAtAnyTime:
    """Guards against a run whose record tells another end than its receiver saw.

    Then the check blames the entry for an end that nothing tells from a whole
    one.
    """

    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('turns', range(TURNS))
    def test_in_a_turn_after_the_end_of_a_run(
        self, framing, end, is_crash_reset, turns, tmp_path, monkeypatch
    ):
        async def check():
            async with running_fleet(tmp_path) as (fleet, replica):
                fleet.is_crash_reset = lambda: is_crash_reset
                for name in (*FRAMINGS[framing], *ENDS[end]):
                    replica.faults.switch_on(Fault(name))
                crashes = []
                release = replica.places.release

                async def crash():
                    await wait_turns(turns)
                    await fleet.crash(ENGINE, 0)

                def release_and_crash():
                    crashes.append(asyncio.ensure_future(crash()))
                    release()

                monkeypatch.setattr(
                    replica.places, 'release', release_and_crash
                )
                result = await received(fleet, 'q')
                await asyncio.gather(*crashes)
                assert not violations(fleet, result), result

        run(check())

    def test_before_each_event(
        self, framing, is_crash_reset, tmp_path, monkeypatch
    ):
        async def check(event):
            async with running_fleet(tmp_path) as (fleet, replica):
                fleet.is_crash_reset = lambda: is_crash_reset
                for name in FRAMINGS[framing]:
                    replica.faults.switch_on(Fault(name))
                crashes = []
                check_cut = replica._check_cut

                async def crash_and_check_cut(send, run_record, number):
                    if number == event:
                        crash = fleet.crash(ENGINE, 0)
                        crashes.append(asyncio.ensure_future(crash))
                    await check_cut(send, run_record, number)

                monkeypatch.setattr(replica, '_check_cut', crash_and_check_cut)
                result = await received(fleet, 'q')
                await asyncio.gather(*crashes)
                assert not violations(fleet, result), result

        for event in range(1, EVENTS + 1):
            run(check(event))


class TestReplacedReplicas:
    def test_runs_of_all_incarnations_are_recorded(self, tmp_path):
        """Guards against a run that is missing where two crashes overlap."""

        async def check():
            async with running_fleet(tmp_path) as (fleet, _):
                for number in range(4):
                    replica = loaded_replica(fleet)
                    asked = asyncio.ensure_future(received(fleet, f'q{number}'))
                    while not replica.runs:  # noqa: ASYNC110
                        await asyncio.sleep(0.001)
                    await asyncio.gather(
                        fleet.crash(ENGINE, 0.01), fleet.crash(ENGINE, 0.02)
                    )
                    await asked
                recorded = [
                    run_record.request_id
                    for incarnation in fleet.all_incarnations()
                    for run_record in incarnation.replica.runs
                ]
                assert recorded == ['q0', 'q1', 'q2', 'q3']

        run(check())
