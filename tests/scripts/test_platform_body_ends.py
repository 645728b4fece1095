"""The platform soak tells a truncated stream from one that looks ended."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Any, cast

import pytest
from _platform_body_ends import BodyEnds, looks_ended
from _platform_load import ROUTE_KINDS, RequestResult
from attrs import define, field

from crowrudder_standins.fleet_replica import (
    FleetReplica,
    Run,
    event_of,
    stream_of,
)
from support.aio import run

READ, _, DRAFT, _ = ROUTE_KINDS
TWO_EVENTS = event_of('a', 1) + event_of('a', 2)


def result_with(body, kind=DRAFT):
    return RequestResult('a', kind, 'entry-0', 0, body=body)


def ran(*, cut_by='', ended='', crashed_by='', is_unframed=True, last_event=2):
    replica = FleetReplica({'--id': 'r.1', '--model': 'm'})
    if crashed_by:
        replica.on_crash(crashed_by)
    run_record = Run('a', 'POST', '/', b'', '', 0, 1, ended, began_at=0)
    run_record.ended_at = 0 if cut_by or not crashed_by else math.inf
    run_record.is_unframed = is_unframed
    run_record.cut_by = cut_by
    run_record.last_event = last_event
    return replica, run_record


class TestLooksEnded:
    """Guards against a check that excuses truncations which an entry can tell."""

    @pytest.mark.parametrize(
        'run_record', [ran(cut_by='fin'), ran(crashed_by='fin', last_event=3)]
    )
    def test_an_orderly_end_between_events_without_framing(self, run_record):
        assert looks_ended(result_with(TWO_EVENTS), [run_record])

    @pytest.mark.parametrize(
        'run_record',
        [
            ran(cut_by='reset'),
            ran(crashed_by='reset'),
            ran(cut_by='reset', crashed_by='fin'),
            ran(is_unframed=False, cut_by='fin'),
            ran(cut_by='fin', last_event=1),
            ran(crashed_by='fin', last_event=1),
            ran(),
        ],
    )
    def test_nothing_else_is_excused(self, run_record):
        assert not looks_ended(result_with(TWO_EVENTS), [run_record])

    @pytest.mark.parametrize(
        'body', [b'', TWO_EVENTS[:-1], TWO_EVENTS[:-30], stream_of('b')]
    )
    def test_neither_are_half_events_nothing_and_other_streams(self, body):
        assert not looks_ended(result_with(body), [ran(cut_by='fin')])

    def test_a_run_that_ended_before_the_crash_is_not_excused(self):
        replica, run_record = ran(ended='whole', crashed_by='fin')
        run_record.ended_at = replica.crashed_at - 1
        assert not looks_ended(result_with(TWO_EVENTS), [(replica, run_record)])

    def test_any_run_that_ended_there_counts(self):
        runs = [ran(cut_by='fin'), ran(is_unframed=False)]
        assert looks_ended(result_with(TWO_EVENTS), runs)

    def test_plain_answers_are_never_excused(self):
        result = result_with(TWO_EVENTS, READ)
        assert not looks_ended(result, [ran(cut_by='fin')])


@define
class Fleet:
    """A fleet of one replica."""

    replica: FleetReplica = field(
        factory=lambda: FleetReplica({'--id': 'r.1', '--model': 'm'})
    )
    is_crash_reset: Any = bool

    @property
    def replicas(self):
        return {'r': self}


class TestBodyEnds:
    def test_draws_framings_and_ends_and_takes_them_back(self, monkeypatch):
        async def check():
            fleet = Fleet()
            loop = asyncio.get_running_loop()
            body_ends = BodyEnds(
                cast('Any', fleet), random.Random(1), lambda _: None
            )
            monkeypatch.setattr('_platform_body_ends.INTERVAL_S', (0, 0.01))
            monkeypatch.setattr('_platform_body_ends.DURATION_S', (0, 0.01))
            await body_ends.run(loop.time() + 0.5)
            assert not fleet.replica.faults.active
            names = ' '.join(body_ends.counts).split()
            assert {'unframed', 'sized', 'head_only', 'reset'} <= set(names)
            draws = {fleet.is_crash_reset() for _ in range(20)}
            assert draws == {True, False}

        run(check())
