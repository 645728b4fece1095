"""The log fields of an attempt, with those of a cancelled one."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from attrs import define, field

from crowrudder_core.dispatch import BodyEnd, Dispatch, EventStream
from crowrudder_core.forecast import _upstream_forecast
from crowrudder_core.statements import IncarnationKey
from crowrudder_core.transit import TransitDelay
from crowrudder_daemon.fleet.ports import ResponseMetadata
from crowrudder_daemon.fleet_entry import _attempt
from crowrudder_daemon.fleet_entry._attempt import Attempt
from crowrudder_daemon.fleet_entry._attempt_log import log_fields
from crowrudder_daemon.fleet_entry._timeouts import AttemptTimeouts
from crowrudder_daemon.http import WireHead
from crowrudder_standins.fleet_replica import event_of
from support.aio import run
from support.fleet_checks import (
    announce_second_version,
    ask_model,
    checked,
    fault,
    inject_fault_all,
    refuse_requests,
)
from support.leaving_caller import (
    LeavingCaller,
    hold_loop,
    request_bytes,
    sends,
)

HALF_EVENT_BYTES = len(event_of('a', 1)) // 2
HEAD = WireHead(status=200, headers=())


@define
class Clock:
    now: float = 1000

    def __call__(self):
        return self.now


class UpstreamForecast:
    """An outlook that accepts every update on its upstream."""

    upstream = SimpleNamespace(id='e0', address='a')
    transit = TransitDelay()

    def load_report_age_s(self, now):
        return 0.1

    def is_changing(self, now):
        return True

    def __getattr__(self, name):
        return lambda *_, **_more: None


@define
class Connection:
    """A connection whose answers take a given time."""

    clock: Clock
    head_s: float = math.inf
    silent_s: float = 0
    unsent_bytes: int = 0
    is_closed: bool = False
    was_ended_by_peer: bool = False
    body_end: BodyEnd = BodyEnd.OPEN
    body: Any = field(factory=lambda: SimpleNamespace(framing=None))
    context: Any = None

    def send(self, request):
        """Accept a request."""

    def close(self):
        self.is_closed = True
        # The unsent bytes are unknown after the close.
        self.unsent_bytes = -1

    def received_head(self):
        """Return no head."""

    async def head(self):
        if self.head_s < math.inf:
            self.clock.now += self.head_s
            return HEAD
        return await self.part()

    async def part(self):
        self.clock.now += self.silent_s
        raise TimeoutError


@define
class Pool:
    conn: Connection

    async def acquire(self, address, *, timeout_s):
        return self.conn


def create_attempt(conn, timeouts):
    forecast = UpstreamForecast()
    dialect = SimpleNamespace(
        upstream_request=lambda *_: None,
        response_metadata=lambda _: ResponseMetadata(
            is_authentic=True, not_run=False, request_id=''
        ),
    )
    parts: dict[str, Any] = {
        'call': SimpleNamespace(
            request_id='a',
            prompt_tokens=1,
            answer_tokens=1,
            resume_after='',
            model='m',
        ),
        'choice': SimpleNamespace(
            forecast=forecast,
            forecasts=(forecast,),
            weights=2,
            first_s=0.1,
            transit_s=0,
            path=None,
            memory_of=lambda *_: (0,),
        ),
        'side': SimpleNamespace(has_begun=False, has_left=bool),
        'dialect': dialect,
        'upstreams': SimpleNamespace(
            pool=Pool(conn),
            begin_by=lambda *_: math.inf,
            add_pending=lambda _: 1,
            remove_pending=lambda _: None,
            take_send=lambda *_, **_more: '',
            deliveries=SimpleNamespace(
                start=lambda *_, **_more: None, finish=lambda _: None
            ),
            silences=SimpleNamespace(
                add=lambda _: None,
                remove=lambda _: None,
                describe=lambda *_, **_more: None,
            ),
            statements=SimpleNamespace(
                key_of=lambda _: None, on_answer=lambda *_: None
            ),
        ),
    }
    return Attempt(
        body=b'',
        customer='shop',
        urgency=None,
        timeouts=timeouts,
        dispatch=Dispatch(
            repeatable=True, max_sends=2, deadline_at=conn.clock.now + 9
        ),
        observer=Mock(),
        events=EventStream(),
        is_stream=True,
        allowed_regions=lambda: None,
        **parts,
    )


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(_attempt, 'clock_s', made)
    return made


def log_fields_after(conn, *, begin_by):
    timeouts = AttemptTimeouts(first_s=9, pause_s=9, begin_by=begin_by)
    attempt = create_attempt(conn, timeouts)
    ending = run(attempt.run())
    assert conn.is_closed
    return log_fields(attempt, ending)


class TestCancelledAttempt:
    """Guards against a log that doesn't show why a request began too late.

    A request begins on a version after its end, and the caller's 502 comes
    0.7 s after the entry should have closed the connection. The log has to
    distinguish three causes: the entry assumed another end, it cancelled late,
    or its bytes were delayed.
    """

    def test_logs_a_cancellation_in_time(self, clock):
        conn = Connection(clock, silent_s=0.65, unsent_bytes=70)
        line = log_fields_after(conn, begin_by=1000.65)
        assert line['why'] == 'not begun as its version ends'
        assert (line['weights'], line['begin_left_s']) == (2, 0.65)
        assert (line['late_s'], line['unsent_bytes']) == (0, 70)
        assert line['head_s'] == -1

    def test_logs_a_late_cancellation(self, clock):
        conn = Connection(clock, silent_s=1.35)
        line = log_fields_after(conn, begin_by=1000.65)
        assert (line['begin_left_s'], line['late_s']) == (0.65, 0.7)

    def test_logs_the_time_to_the_head_of_an_answer_without_events(self, clock):
        conn = Connection(clock, head_s=0.5, silent_s=0.15)
        line = log_fields_after(conn, begin_by=1000.65)
        assert line['why'] == 'not begun as its version ends'
        assert (line['head_s'], line['late_s']) == (0.5, 0)


class TestUncancelledAttempt:
    def test_an_attempt_without_deadline_has_no_cancellation_fields(
        self, clock
    ):
        line = log_fields_after(
            Connection(clock, silent_s=5), begin_by=math.inf
        )
        assert line['begin_left_s'] is None
        assert line['why'] == 'silent for too long'
        assert not {'late_s', 'head_s', 'unsent_bytes'} & line.keys()

    def test_a_failure_before_the_deadline_is_no_cancellation(self, clock):
        line = log_fields_after(
            Connection(clock, silent_s=0.1), begin_by=1000.65
        )
        assert line['begin_left_s'] == 0.65
        assert 'late_s' not in line


@define
class EarlyHead(Connection):
    """A connection whose head arrives as nobody waits for it any more."""

    def received_head(self):
        return HEAD

    async def head(self):
        raise self.failure

    failure: BaseException = field(factory=TimeoutError)


class TestUnreadHead:
    """Guards against a statement in a head that arrives as its wait ends."""

    @pytest.mark.parametrize('failure', [TimeoutError, asyncio.CancelledError])
    def test_head_is_read_before_the_connection_is_closed(self, clock, failure):
        conn = EarlyHead(clock, failure=failure())
        attempt = create_attempt(
            conn, AttemptTimeouts(first_s=9, pause_s=9, begin_by=math.inf)
        )
        recorded: list[Any] = []
        attempt._reader._statements = SimpleNamespace(
            key_of=lambda name: IncarnationKey(name, 1),
            on_answer=lambda key, *_: recorded.append(key),
        )
        with contextlib.suppress(asyncio.CancelledError):
            run(attempt.run())
        assert recorded == [IncarnationKey('e0', 1)]
        assert conn.is_closed


class TestLogLine:
    def test_logs_json_compatible_fields_of_a_cancelled_attempt(
        self, caplog, monkeypatch
    ):
        # The agent's load report is sent only once here.
        monkeypatch.setattr(_upstream_forecast, 'LOAD_REPORT_TTL_S', 30)

        async def check(world):
            announce_second_version(world, 'e1', end_s=1.6)
            await world.ready()
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            refuse_requests(world, 'e1')
            await ask_model(world)

        with caplog.at_level('INFO'):
            checked(check, entries=1)
        (ended,) = [
            record
            for record in caplog.records
            if record.message == 'request ended'
        ]
        (line,) = json.loads(json.dumps(ended.attempts, allow_nan=False))
        assert line['weights'] == 1
        assert 0.6 < line['begin_left_s'] <= 1.3
        assert line['late_s'] >= 0
        assert line['unsent_bytes'] == 0


class TestBodyFields:
    """Guards against a log that doesn't show how an answer ended."""

    @pytest.mark.parametrize(
        ('faults', 'expected'),
        [
            ((), ('chunks', 'framing', 6, 0)),
            (('sized',), ('length', 'framing', 6, 0)),
            (('unframed',), ('connection', 'fin', 6, 0)),
            (
                ('unframed', 'half_event'),
                ('connection', 'fin', 2, HALF_EVENT_BYTES),
            ),
            (('unframed', 'cut', 'reset'), ('connection', 'reset', 2, 0)),
            (('cut',), ('chunks', 'fin', 2, 0)),
            (('half_first',), ('chunks', 'fin', 0, HALF_EVENT_BYTES)),
        ],
    )
    def test_an_attempt_has_its_framing_and_end(self, faults, expected, caplog):
        async def check(world):
            for name in faults:
                inject_fault_all(world, 'e', name, None)
            await world.ask('/once/x', method='POST', request_id='a')

        with caplog.at_level('INFO'):
            checked(check, engines=1)
        (line,) = (
            record.attempts[0]
            for record in caplog.records
            if record.getMessage() == 'request ended'
        )
        names = ('framing', 'body_end', 'events')
        found = (*(line[name] for name in names), line.get('rest_bytes', 0))
        assert found == expected
        if not {'cut', 'half_event', 'half_first'} & set(faults):
            is_assumed = 'unframed' in faults
            completeness = 'assumed' if is_assumed else 'complete'
            assert line['completeness'] == completeness

    @pytest.mark.parametrize(
        ('fault_name', 'told'), [('slow', 'whole'), ('cut', 'truncated')]
    )
    def test_a_request_has_what_its_caller_was_told(
        self, fault_name, told, caplog
    ):
        async def check(world):
            inject_fault_all(world, 'e', fault_name)
            await world.ask('/once/x', method='POST', request_id='a')

        with caplog.at_level('INFO'):
            checked(check, engines=1)
        (line,) = (
            record
            for record in caplog.records
            if record.getMessage() == 'request ended'
        )
        assert line.told == told


class TestCallerFields:
    """Guards against a log that can't tell a late entry from a slow link."""

    def test_how_late_the_entry_was_for_the_request_and_its_end(self, caplog):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            inject_fault_all(world, 'p', 'hang', count=None)
            caller.send(request_bytes('/read/x'))
            hold_loop(0.2)
            await world.until(lambda: sends(world))
            caller.leave()
            hold_loop(0.2)
            await world.until(lambda: ended_lines(caplog))

        with caplog.at_level('INFO', 'crowrudder.test'):
            checked(check)
        (line,) = ended_lines(caplog)
        assert line.outcome == 'caller_gone'
        assert line.unread_s >= 0.15
        assert line.gone_late_s >= 0.15
        assert line.gone_s >= 0.2

    def test_a_request_in_time_has_none_of_them(self, caplog):
        async def check(world):
            assert (await world.ask('/read/x')).status == 200

        with caplog.at_level('INFO', 'crowrudder.test'):
            checked(check)
        (line,) = ended_lines(caplog)
        assert not hasattr(line, 'unread_s')
        assert not hasattr(line, 'gone_s')


def ended_lines(caplog):
    return [each for each in caplog.records if each.message == 'request ended']
