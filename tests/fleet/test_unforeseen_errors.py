"""Errors that nobody foresaw, at each step of a request."""

from __future__ import annotations

import asyncio
import logging

import pytest
from crowrudder_platform.adapter import PlatformCallers

from crowrudder_core.connections import CallerConnection
from crowrudder_core.dispatch import Dispatch, EventStream
from crowrudder_core.forecast import UpstreamForecast
from crowrudder_daemon.fleet_entry._admission import EntryAdmission
from crowrudder_daemon.fleet_entry._attempt import Attempt
from crowrudder_daemon.fleet_entry._caller_side import CallerSide
from crowrudder_daemon.fleet_entry._context import EntryContext
from crowrudder_daemon.fleet_entry._drive import RequestExecution
from crowrudder_daemon.fleet_entry._long_bodies import BodyGate
from crowrudder_daemon.fleet_entry._overload import OverloadGate
from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
from crowrudder_daemon.fleet_entry._requests_task import RequestsTask
from crowrudder_daemon.fleet_entry._retry_spending import RetrySpending
from crowrudder_daemon.fleet_entry._run_activity import RunActivity
from crowrudder_daemon.fleet_entry._upstreams import Upstreams
from crowrudder_daemon.http import ConnectionPool, HttpConnection
from support.fleet import ROUTES, route
from support.fleet_checks import checked
from support.leaving_caller import LeavingCaller, request_bytes, sends
from support.raising import raise_once

ANSWER_S = 1.0
"""An answer to an error comes at once, not at the deadline of 3 s."""

LAST_CHUNK = b'\r\n0\r\n\r\n'

BEFORE_SEND = [
    (OverloadGate, 'refuses'),
    (PlatformCallers, 'read_call'),
    (RequestsTask, '_admit'),
    (RequestsTask, '_admit_on'),
    (RetrySpending, 'on_request'),
    (EntryAdmission, 'terms_for'),
    (EntryAdmission, 'on_request'),
    (RequestQuarantine, 'track'),
    (RequestQuarantine, 'verdict'),
    (Upstreams, 'choose'),
    (RequestExecution, '_create_attempt'),
    (Upstreams, 'take_send'),
    (PlatformCallers, 'upstream_request'),
]
WHEN_SENT = [
    (Dispatch, 'on_sent'),
    (EventStream, 'begin_run'),
    (Upstreams, 'add_pending'),
    (UpstreamForecast, 'on_sent'),
    (PlatformCallers, 'response_metadata'),
]
BEFORE_ANSWER = [
    (RunActivity, 'on_heard'),
    (UpstreamForecast, 'on_success'),
    (RequestExecution, 'on_run_ended'),
    (Dispatch, 'after'),
    (PlatformCallers, 'response_headers'),
]
names = '{0[1]}'.format


def to_replica(world):
    """Return a condition on connections: they lead to a replica."""
    return lambda conn, *_: conn.peer in world.addresses.values()


async def read_status(caller):
    """Return the status of an answer that comes at once; 0 for none."""
    async with asyncio.timeout(ANSWER_S):
        head = await caller.head()
    return int(head.split()[1]) if head else 0


async def read_rest(caller):
    """Return all bytes up to the end of the connection."""
    received = b''
    async with asyncio.timeout(ANSWER_S):
        while part := await caller.head():
            received += part
    return received


async def check_nothing_is_left(world):
    """Check that a request left nothing behind in its entry."""
    async with asyncio.timeout(ANSWER_S):
        await world.until(lambda: not world.entries[0].requests.running)
    entry = world.entries[0]
    pool = entry.upstreams.pool
    assert not entry.upstreams._pending
    assert not entry.upstreams.silences._runs
    assert not any(entry.quarantine._active.values())
    for forecast in entry.upstreams._table.by_id.values():
        assert not forecast.in_flight
    for address in world.addresses.values():
        idle = pool._idle.get(address, [])
        idle = [conn for conn in idle if conn.is_open]
        assert pool.connections(address) == len(idle)
        assert not any(conn._is_busy for conn in idle)


def faults(world):
    """Return the number of faults that an entry has counted."""
    text = world.entries[0].runtime.metrics.render().decode()
    return sum(
        float(line.split()[-1])
        for line in text.splitlines()
        if 'unhandled_faults_total{' in line
    )


async def check_answered(world, caplog, path, status=500):
    """Check the answer of a request with a fault, and that the next is served."""
    caller = LeavingCaller(world.nodes[0].callers)
    with caplog.at_level(logging.ERROR):
        caller.send(request_bytes(path))
        assert await read_status(caller) == status
    lines = [
        each for each in caplog.records if each.message == 'unhandled fault'
    ]
    assert [each.request_id for each in lines] == ['a']
    assert all(each.step for each in lines)
    assert faults(world) == 1
    await check_nothing_is_left(world)
    other = LeavingCaller(world.nodes[0].callers)
    other.send(request_bytes('/read/x', request_id='b'))
    assert await read_status(other) == 200


class TestErrorBeforeTheSend:
    """Guards against a caller that waits for ever after an error."""

    @pytest.mark.parametrize('step', BEFORE_SEND, ids=names)
    @pytest.mark.parametrize('path', ['/read/x', '/notice/x', '/draft/x'])
    def test_it_is_answered(self, monkeypatch, caplog, step, path):
        async def check(world):
            raised = raise_once(monkeypatch, *step)
            await check_answered(world, caplog, path)
            assert raised
            assert sends(world) == ['b']

        checked(check)

    @pytest.mark.parametrize('path', ['/read/x', '/draft/x'])
    def test_an_error_of_the_connection_pool(self, monkeypatch, caplog, path):
        async def check(world):
            pool = world.entries[0].upstreams.pool
            raise_once(
                monkeypatch,
                ConnectionPool,
                'acquire',
                only_if=lambda used, _: used is pool,
            )
            await check_answered(world, caplog, path)

        checked(check)


class TestErrorAfterTheSend:
    """Guards against a held caller whose request may have run."""

    @pytest.mark.parametrize('step', WHEN_SENT, ids=names)
    @pytest.mark.parametrize('path', ['/read/x', '/notice/x', '/draft/x'])
    def test_it_is_answered(self, monkeypatch, caplog, step, path):
        async def check(world):
            raised = raise_once(monkeypatch, *step)
            await check_answered(world, caplog, path)
            assert raised

        checked(check)

    @pytest.mark.parametrize('step', BEFORE_ANSWER, ids=names)
    @pytest.mark.parametrize('path', ['/read/x', '/notice/x'])
    def test_a_whole_answer(self, monkeypatch, caplog, step, path):
        async def check(world):
            raised = raise_once(monkeypatch, *step)
            await check_answered(world, caplog, path)
            assert raised

        checked(check)

    @pytest.mark.parametrize('name', ['send', 'head', 'part'])
    @pytest.mark.parametrize('after', [False, True])
    def test_an_error_of_the_connection(self, monkeypatch, caplog, name, after):
        async def check(world):
            raised = raise_once(
                monkeypatch,
                HttpConnection,
                name,
                after=after,
                only_if=to_replica(world),
            )
            await check_answered(world, caplog, '/notice/x')
            assert raised

        checked(check)


class TestErrorAfterTheAnswerHasBegun:
    """Guards against a truncated stream that looks whole, or has no end."""

    @pytest.mark.parametrize(
        'step',
        [
            (CallerSide, 'push'),
            (CallerSide, 'write'),
            (Attempt, '_record_completion'),
            (RequestExecution, '_next_step'),
            (CallerSide, 'finish'),
        ],
        ids=names,
    )
    def test_it_is_truncated(self, monkeypatch, caplog, step):
        async def check(world):
            raised = raise_once(monkeypatch, *step)
            caller = LeavingCaller(world.nodes[0].callers)
            with caplog.at_level(logging.ERROR):
                caller.send(request_bytes('/once/x'))
                received = await read_rest(caller)
            assert raised
            assert received.startswith(b'HTTP/1.1 200 ')
            assert b' 500 ' not in received
            assert LAST_CHUNK not in received
            assert 'unhandled fault' in caplog.messages
            await check_nothing_is_left(world)

        checked(check)

    def test_a_whole_answer_stays_whole(self, monkeypatch, caplog):
        """Guards against a connection that is cut behind its whole answer."""

        async def check(world):
            raised = raise_once(monkeypatch, EntryContext, 'record_end')
            caller = LeavingCaller(world.nodes[0].callers)
            with caplog.at_level(logging.ERROR):
                caller.send(request_bytes('/read/x'))
                assert await read_status(caller) == 200
                await check_nothing_is_left(world)
            assert raised
            assert 'unhandled fault' in caplog.messages
            caller.send(request_bytes('/read/x', request_id='b'))
            assert await read_status(caller) == 200

        checked(check)


class TestErrorOfTheErrorAnswer:
    """Guards against a caller that is held as its error can't be told."""

    def test_an_error_answer_that_cannot_be_encoded(self, monkeypatch, caplog):
        async def check(world):
            raise_once(monkeypatch, PlatformCallers, 'own_headers')
            await check_answered(world, caplog, '/nowhere/x')

        checked(check)

    def test_the_answer_to_the_fault_cannot_be_encoded(
        self, monkeypatch, caplog
    ):
        async def check(world):
            raise_once(monkeypatch, RequestsTask, '_admit_on')
            raise_once(monkeypatch, PlatformCallers, 'own_headers')
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/read/x'))
            assert await read_status(caller) == 500
            assert faults(world) == 2
            await check_nothing_is_left(world)

        checked(check)

    def test_the_answer_to_the_fault_cannot_be_sent(self, monkeypatch):
        async def check(world):
            raise_once(monkeypatch, RequestsTask, '_admit_on')
            raise_once(monkeypatch, CallerSide, '_begin')
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/read/x'))
            assert not await read_rest(caller)
            await check_nothing_is_left(world)

        checked(check)

    def test_an_answer_with_an_illegal_header(self, monkeypatch, caplog):
        """Guards against a close without a byte, as if it had begun."""

        async def check(world):
            monkeypatch.setattr(
                PlatformCallers,
                'response_headers',
                lambda _self, _head: [('X-Broken', 'a\r\nb')],
            )
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/read/x'))
            assert await read_status(caller) == 500
            await check_nothing_is_left(world)

        checked(check)

    @pytest.mark.parametrize('how', ['fin', 'reset'])
    def test_a_caller_that_leaves_is_no_second_fault(self, monkeypatch, how):
        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            choose = Upstreams.choose

            def leave_and_fail(*_args):
                monkeypatch.setattr(Upstreams, 'choose', choose)
                caller.leave(how)
                raise RuntimeError('leaves')

            monkeypatch.setattr(Upstreams, 'choose', leave_and_fail)
            caller.send(request_bytes('/read/x'))
            async with asyncio.timeout(ANSWER_S):
                await world.until(lambda: faults(world))
            await check_nothing_is_left(world)
            assert faults(world) == 1

        checked(check)


class TestErrorWhileReading:
    """Guards against a close without a word while a request is being read."""

    @pytest.mark.parametrize(
        'step',
        [
            (CallerSide, 'on_request_head'),
            (BodyGate, 'on_head'),
            (BodyGate, 'on_part'),
            (CallerConnection, 'on_request'),
        ],
        ids=names,
    )
    def test_it_is_answered(self, monkeypatch, caplog, step):
        async def check(world):
            raise_once(monkeypatch, *step)
            await check_answered(world, caplog, '/notice/x')
            assert sends(world) == ['b']

        checked(check)


class TestSplitWithoutWeights:
    """Guards against an error where no target of a route has a share."""

    def test_it_is_refused_at_once(self):
        split = [{'service': 'plain', 'weight': 0}] * 2
        routes = (*ROUTES, route('none', '/none/', 'safe', '', split=split))

        async def check(world):
            caller = LeavingCaller(world.nodes[0].callers)
            caller.send(request_bytes('/none/x'))
            async with asyncio.timeout(ANSWER_S):
                head = (await caller.head()).lower()
            assert head.startswith(b'http/1.1 503 ')
            assert b'retry-after: 2.00' in head
            assert not sends(world)
            assert not faults(world)

        checked(check, routes=routes)
