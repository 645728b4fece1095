"""Upstreams that fall silent in the platform soak, and streams cut then."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from types import SimpleNamespace
from typing import Any

import pytest
from _platform_chaos import Disturbance, PlatformChaos
from _platform_checks import Verdict
from _platform_load import DEADLINE_S, ROUTE_KINDS, RequestResult
from _platform_silence import Silence, Silences, check_cuts
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from crowrudder_standins._faults import Fault
from crowrudder_standins._serving import application
from crowrudder_standins.fleet_replica import (
    EVENT_INTERVAL_S,
    EVENTS,
    FleetReplica,
    Run,
    event_of,
    stream_of,
)
from support.aio import run
from support.path import until

READ, _, DRAFT, _ = ROUTE_KINDS
BEGAN_AT = 100.0
CUT_AT = BEGAN_AT + 1.4
CLOSED_AT = BEGAN_AT + 1.2


class Soak:
    """Records of a soak in which one stream was truncated."""

    def __init__(self, folder):
        self.replicas = [
            FleetReplica({'--id': name, '--model': 'm'})
            for name in ('engine-0.1', 'engine-1.2')
        ]
        fleet: Any = SimpleNamespace(
            folder=folder,
            all_incarnations=lambda: [
                SimpleNamespace(replica=replica) for replica in self.replicas
            ],
        )
        rng = random.Random(1)
        self.fleet = fleet
        self.chaos = PlatformChaos(fleet, rng, print)
        self.silences = Silences(fleet, rng, str, print)
        self.result = RequestResult(
            'a', DRAFT, 'entry-0', BEGAN_AT, CUT_AT, 200, event_of('a', 1)
        )

    def add_run(self, number, **fields):
        """Add a run; without more fields one that its entry closed."""
        run_record = Run('a', 'POST', '/draft/x', b'', '', 0, 1)
        run_record.began_at = BEGAN_AT + 0.1
        run_record.last_event = 1
        run_record.closed_at = CLOSED_AT
        run_record.ended_at = CLOSED_AT + 0.2
        for name, value in fields.items():
            setattr(run_record, name, value)
        self.replicas[number].runs.append(run_record)

    def disturb(self, name='entry-0', began_s=1.0, ended_s=1.2, **fields):
        self.chaos.disturbances.append(
            Disturbance(name, BEGAN_AT + began_s, BEGAN_AT + ended_s, **fields)
        )

    def cuts(self):
        verdict = Verdict()
        check_cuts(self.silences, [self.result], self.chaos, verdict)
        assert set(verdict.violations) <= {'cut at work'}
        return verdict.violations['cut at work']


@pytest.fixture(name='soak')
def make_soak(tmp_path):
    """Return a soak in which an entry closed the only run of a stream."""
    soak = Soak(tmp_path)
    soak.add_run(0)
    return soak


class TestCutAtWork:
    """Guards against entries that give up a run which nothing replaces."""

    def test_a_run_that_is_closed_is_found(self, soak):
        assert len(soak.cuts()) == 1

    def test_line_names_upstream_silences_and_the_log(self, soak):
        silence = Silence('engine-0.1', BEGAN_AT + 0.2, BEGAN_AT + 2.1)
        soak.silences.periods.append(silence)
        attempt = {'upstream': 'engine-0.1', 'why': 'silent for too long'}
        lines = (
            {'step': 'statement', 'request_id': 'a'},
            {'step': 'request', 'request_id': 'b'},
            {
                'step': 'request',
                'request_id': 'a',
                'outcome': 'failed',
                'reason': 'answered 503',
                'told': 'truncated',
                'attempts': [attempt],
            },
        )
        log = soak.fleet.folder / 'entry-0.log'
        log.write_text('\n'.join(json.dumps(line) for line in lines))
        (text,) = soak.cuts()
        assert text == (
            'a /draft/x at entry-0 1.40; engine-0.1 began 0.10, '
            'events 0 to 1, closed after 1.10 s silent 0.10 to 2.00 s; '
            "failed 'answered 503', truncated; "
            "engine-0.1: 'silent for too long'"
        )

    def test_an_answer_that_was_lost_on_a_silent_link_is_found(self, soak):
        """Guards against a check that trusts the end of the upstream alone."""
        soak.replicas[0].runs.clear()
        soak.add_run(0, ended='whole', last_event=EVENTS, ended_at=CUT_AT - 1)
        assert soak.cuts()

    def test_next_run_that_ends_before_an_event_excuses_nothing(self, soak):
        soak.add_run(
            1,
            began_at=CLOSED_AT,
            resumed_after=1,
            last_event=0,
            cut_by='fin',
            closed_at=math.inf,
        )
        assert soak.cuts()

    def test_a_drop_after_the_entry_had_closed_excuses_nothing(self, soak):
        soak.replicas[0].runs.clear()
        soak.add_run(0, cut_by='fin')
        assert soak.cuts()

    def test_next_run_that_is_closed_too_excuses_nothing(self, soak):
        soak.add_run(1, began_at=CLOSED_AT, resumed_after=1, closed_at=CUT_AT)
        assert soak.cuts()

    def test_disturbances_that_end_no_stream_excuse_nothing(self, soak):
        soak.disturb('')
        soak.disturb()
        soak.disturb(reset_to='engine-1')
        soak.disturb('entry-1', reset_to='engine-0')
        soak.disturb('entry-1', is_freeze=True)
        soak.disturb('entry-1', is_fatal=True)
        soak.disturb(began_s=-2, ended_s=-1, is_freeze=True)
        assert soak.cuts()

    def test_crash_of_another_upstream_or_after_the_end_excuses_nothing(
        self, soak
    ):
        soak.replicas[0].on_crash('fin')
        soak.replicas[0].crashed_at = CUT_AT + 1
        soak.replicas[1].on_crash('fin')
        soak.replicas[1].crashed_at = CLOSED_AT
        assert soak.cuts()


class TestExcuses:
    """Guards against a check that blames entries for the ends of others."""

    def test_a_whole_stream(self, soak):
        soak.result.is_whole = True
        soak.result.body = stream_of('a')
        assert not soak.cuts()

    def test_answers_that_are_no_streams_or_have_not_begun(self, soak):
        soak.result.status = 0
        assert not soak.cuts()
        soak.result.status = 200
        soak.result.kind = READ
        assert not soak.cuts()

    def test_caller_left(self, soak):
        soak.result.caller_left = True
        assert not soak.cuts()

    def test_deadline(self, soak):
        soak.result.ended_at = BEGAN_AT + DEADLINE_S - 0.1
        assert not soak.cuts()
        soak.result.ended_at = BEGAN_AT + DEADLINE_S - 0.5
        assert soak.cuts()

    def test_entry_was_killed(self, soak):
        soak.disturb(ended_s=1.0, is_fatal=True)
        assert not soak.cuts()

    def test_entry_was_frozen(self, soak):
        soak.disturb(is_freeze=True)
        assert not soak.cuts()

    def test_link_to_the_upstream_was_reset(self, soak):
        soak.disturb(reset_to='engine-0')
        assert not soak.cuts()

    def test_upstream_crashed(self, soak):
        soak.replicas[0].on_crash('reset')
        soak.replicas[0].crashed_at = CLOSED_AT
        assert not soak.cuts()

    @pytest.mark.parametrize(
        'fields',
        [
            {'cut_by': 'fin', 'closed_at': math.inf},
            {'cut_by': 'reset', 'closed_at': math.inf},
            {'is_hung': True},
            {'is_unvouched': True},
            {'ended': 'whole', 'is_unframed': True, 'resumed_after': EVENTS},
        ],
    )
    def test_upstream_broke_off(self, soak, fields):
        soak.replicas[0].runs.clear()
        soak.add_run(0, **fields)
        assert not soak.cuts()

    def test_every_upstream_broke_off(self, soak):
        soak.replicas[0].runs.clear()
        soak.add_run(0, cut_by='fin', closed_at=math.inf)
        soak.add_run(
            1,
            began_at=CLOSED_AT,
            last_event=0,
            cut_by='fin',
            closed_at=math.inf,
        )
        assert not soak.cuts()

    def test_next_run_broke_off_after_it_went_on(self, soak):
        soak.add_run(
            1,
            began_at=CLOSED_AT,
            resumed_after=1,
            last_event=2,
            cut_by='fin',
            closed_at=math.inf,
        )
        assert not soak.cuts()


class TestSilences:
    def silences(self, monkeypatch, rng):
        """Return silences of a fleet of three engines, and its log."""
        replicas = [
            FleetReplica({'--id': f'engine-{number}.1', '--model': 'm'})
            for number in range(3)
        ]
        fleet: Any = SimpleNamespace(
            replicas={
                each.id: SimpleNamespace(replica=each, service='llm')
                for each in replicas
            },
            published=0,
            entries=dict,
        )
        fleet.publish = lambda: setattr(fleet, 'published', fleet.published + 1)
        seen: set[tuple[int, int]] = set()

        async def watch():
            while True:
                stalled, refusing = (
                    sum(name in each.faults.active for each in replicas)
                    for name in ('stall', 'full')
                )
                seen.add((stalled, refusing))
                await asyncio.sleep(0)

        for name in ('SILENCE_S', 'INTERVAL_S'):
            monkeypatch.setattr(f'_platform_silence.{name}', (0, 0.01))
        monkeypatch.setattr('_platform_silence.MAX_SLOW_S', 0)
        monkeypatch.setattr('_platform_silence.SERVICES', ('llm',))
        return Silences(fleet, rng, str, lambda _: None), seen, watch

    def test_one_some_and_all_are_silent_and_go_on(self, monkeypatch):
        silences, seen, watch = self.silences(monkeypatch, random.Random(1))

        async def check():
            watching = asyncio.create_task(watch())
            await silences.run(time.monotonic() + 1)
            watching.cancel()

        run(check())
        assert {(0, 0), (1, 0), (1, 2), (2, 0), (2, 1), (3, 0)} <= seen
        assert silences.fleet.published
        assert len(silences.periods) > 3
        for each in silences.fleet.replicas.values():
            assert not each.replica.faults.active
            assert each.replica.event_interval_s == EVENT_INTERVAL_S


class TestStalledReplica:
    """Guards against silences that end answers or lose their place."""

    REQUEST = b'POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n\r\n'

    def replica(self):
        replica = FleetReplica({'--id': 'r.1', '--model': 'm', '--slots': 1})
        replica.weights = 1
        replica.layers = (0, 16)
        socket, port = bind_unused_port()
        server = HTTPServer(application(replica))
        server.add_socket(socket)
        return replica, port

    def test_open_stream_goes_on_where_it_was(self):
        async def check():
            replica, port = self.replica()
            replica.event_interval_s = 0.02
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(self.REQUEST)
            await reader.readuntil(event_of('a', 2))
            replica.faults.switch_on(Fault('stall'))
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.readuntil(event_of('a', 4)), 0.3)
            assert not replica.runs[0].ended
            replica.faults.switch_off('stall')
            await asyncio.wait_for(reader.readuntil(event_of('a', 6)), 2)
            await until(lambda: replica.runs[0].ended == 'whole')
            writer.close()

        run(check())

    def test_refusals_wait_as_well(self):
        async def check():
            replica, port = self.replica()
            replica.places.take()
            replica.faults.switch_on(Fault('stall'))
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(self.REQUEST)
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.3)
            replica.faults.switch_off('stall')
            head = await asyncio.wait_for(reader.readline(), 2)
            assert b' 503 ' in head
            writer.close()

        run(check())

    def test_pause_counts_once_its_caller_was_told(self):
        """Guards against a check that blames entries for what they don't know."""

        async def check():
            replica, port = self.replica()
            replica.stated.pause_s = '1'
            replica.faults.switch_on(Fault('stall'))
            conns = [
                await asyncio.open_connection('127.0.0.1', port)
                for _ in range(2)
            ]
            for _, writer in conns:
                writer.write(self.REQUEST)
            await until(lambda: len(replica.arrivals) == 2)
            assert not replica.stated.pauses
            (reader, stays), (_, leaves) = conns
            leaves.close()
            await asyncio.sleep(0.1)
            sent_at = time.monotonic()
            replica.faults.switch_off('stall')
            head = await asyncio.wait_for(reader.readline(), 2)
            assert b' 503 ' in head
            ((at, _, _),) = replica.stated.pauses
            assert at >= sent_at
            stays.close()

        run(check())

    def test_closed_connection_is_recorded_while_it_is_silent(self):
        async def check():
            replica, port = self.replica()
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            replica.faults.switch_on(Fault('stall'))
            writer.write(self.REQUEST)
            await until(lambda: replica.runs)
            writer.close()
            await until(lambda: replica.runs[0].closed_at < time.monotonic())
            replica.faults.switch_off('stall')
            await until(lambda: replica.runs[0].ended_at < time.monotonic())
            assert not replica.runs[0].ended

        run(check())
