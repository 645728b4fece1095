"""Answers whose end their upstream delimits, or only its connection."""

from __future__ import annotations

import asyncio

import pytest

from crowrudder_core.quarantine import _unconfirmed
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._caller_side import CallerSide
from crowrudder_standins.fleet_replica import (
    FleetReplica,
    body_of,
    stream_of,
)
from support.fleet_checks import all_runs, checked, fault, inject_fault_all
from support.raw_caller import ask_raw


def break_all(world, *names):
    """Let every engine frame and end its streams as the faults say."""
    for name in names:
        inject_fault_all(world, 'e', name, None)


def break_once(world, service, names):
    """Let one answer of a service be framed and end as the faults say."""
    replicas = [
        replica
        for name, replica in world.replicas.items()
        if name.startswith(service)
    ]
    shared = replicas[0].faults
    for replica in replicas:
        replica.faults = shared
    shared.switch_off('')
    for name in names:
        shared.switch_on(fault(name))


FRAMINGS = {'chunks': (), 'length': ('sized',), 'connection': ('unframed',)}
ENDS = {
    'whole': (),
    'within an event': ('half_event',),
    'within the first event': ('half_first',),
    'after the head': ('head_only',),
    'between events': ('cut',),
    'within an event, reset': ('half_event', 'reset'),
    'between events, reset': ('cut', 'reset'),
}
INDISTINGUISHABLE = ('connection', 'between events')
"""An orderly end between two events looks like the end of the stream."""

BEFORE_AN_EVENT = frozenset(('within the first event', 'after the head'))


class TestRecordOfARun:
    """Guards against records of the engines that name another framing.

    The soak's checks excuse and describe an answer by them.
    """

    @pytest.mark.parametrize('framing', FRAMINGS)
    def test_it_has_the_framing_of_its_stream(self, framing):
        async def check(world):
            break_once(world, 'e', FRAMINGS[framing])
            await world.ask('/draft/x', method='POST', request_id='a')
            (run,) = all_runs(world, 'a')
            assert (run.framing, run.last_event) == (framing, 6)

        checked(check)

    @pytest.mark.parametrize(
        ('faults', 'framing'),
        [((), 'length'), (('unframed',), 'connection'), (('fail',), 'length')],
    )
    def test_it_has_the_framing_of_its_plain_answer(self, faults, framing):
        async def check(world):
            break_once(world, 'p', faults)
            await world.ask('/notice/x', method='POST', request_id='a')
            (run,) = all_runs(world, 'a')
            assert run.framing == framing

        checked(check)


class TestStreamsByFramingAndEnd:
    """Guards against a stream that is broken off and reaches callers as whole.

    Whatever delimits it, and whatever version of HTTP its caller speaks.
    """

    @pytest.mark.parametrize('framing', FRAMINGS)
    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('version', ['1.1', '1.0'])
    def test_a_stream_that_may_be_resumed_is_whole(self, framing, end, version):
        async def check(world):
            break_once(world, 'e', (*FRAMINGS[framing], *ENDS[end]))
            answer = await ask_raw(
                world.nodes[0].callers, '/draft/x', version=version
            )
            assert answer.status == 200
            assert answer.looks_complete
            runs = sorted(run.resumed_after for run in all_runs(world, 'a'))
            if (framing, end) == INDISTINGUISHABLE:
                assert (len(answer.body), runs) == (
                    len(stream_of('a')) / 3,
                    [0],
                )
                return
            assert answer.body == stream_of('a')
            resumed_after = 0 if end in BEFORE_AN_EVENT else 2
            assert runs == ([0] if end == 'whole' else [0, resumed_after])

        checked(check)

    @pytest.mark.parametrize('framing', FRAMINGS)
    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('version', ['1.1', '1.0'])
    def test_any_other_stream_is_whole_or_looks_truncated(
        self, framing, end, version
    ):
        async def check(world):
            break_once(world, 'e', (*FRAMINGS[framing], *ENDS[end]))
            answer = await ask_raw(
                world.nodes[0].callers, '/once/x', version=version
            )
            assert len(all_runs(world, 'a')) == 1
            if end in BEFORE_AN_EVENT:
                assert answer.status == 502
                return
            assert stream_of('a').startswith(answer.body)
            assert not answer.body or answer.body.endswith(b'\n\n')
            is_whole = answer.body == stream_of('a')
            is_expected_whole = end == 'whole'
            assert is_whole == is_expected_whole
            if (framing, end) != INDISTINGUISHABLE:
                assert answer.looks_complete == is_expected_whole

        checked(check)


class TestSlowReader:
    """Guards against a FIN that arrives while the caller holds the stream back."""

    @pytest.mark.parametrize('end', ['whole', 'within an event'])
    @pytest.mark.parametrize('path', ['/draft/x', '/once/x'])
    def test_its_stream_is_whole_or_looks_truncated(
        self, end, path, monkeypatch
    ):
        push = CallerSide.push

        def push_slowly(side, piece):
            push(side, piece)
            return asyncio.ensure_future(asyncio.sleep(0.1))

        monkeypatch.setattr(CallerSide, 'push', push_slowly)

        async def check(world):
            break_once(world, 'e', ('unframed', *ENDS[end]))
            answer = await world.ask(path, method='POST', request_id='a')
            is_whole = end == 'whole' or path == '/draft/x'
            assert answer.cut != is_whole
            assert (answer.body == stream_of('a')) == is_whole
            assert answer.body.endswith(b'\n\n')

        checked(check)


class TestPlainAnswersByFramingAndEnd:
    """Guards against the head of an answer that is taken for all of it."""

    @pytest.mark.parametrize(
        'faults',
        [
            (),
            ('unframed',),
            ('unframed', 'head_only'),
            ('unframed', 'head_only', 'reset'),
            ('cut',),
            ('cut', 'reset'),
        ],
    )
    @pytest.mark.parametrize(
        ('path', 'method'), [('/read/x', 'GET'), ('/notice/x', 'POST')]
    )
    @pytest.mark.parametrize('version', ['1.1', '1.0'])
    def test_an_answer_is_whole_or_replaced(
        self, faults, path, method, version
    ):
        async def check(world):
            break_once(world, 'p', faults)
            answer = await ask_raw(
                world.nodes[0].callers, path, method=method, version=version
            )
            is_broken = bool({'head_only', 'cut'} & set(faults))
            is_repeated = is_broken and method == 'GET'
            assert len(all_runs(world, 'a')) == 1 + is_repeated
            assert answer.looks_complete
            if is_broken and not is_repeated:
                assert answer.status == 502
            else:
                assert (answer.status, answer.body) == (200, body_of('a'))

        checked(check)


class TestStreamWithoutAnEvent:
    """Guards against an empty stream, told as whole, of an upstream that crashed."""

    @pytest.mark.parametrize('end', ['head_only', 'half_first'])
    @pytest.mark.parametrize(
        ('path', 'status'), [('/draft/x', 200), ('/once/x', 502)]
    )
    def test_it_is_an_attempt_like_any_other(self, end, path, status):
        async def check(world):
            break_once(world, 'e', ('unframed', end))
            answer = await world.ask(path, method='POST', request_id='a')
            assert answer.status == status
            assert status == 502 or answer.body == stream_of('a')

        checked(check)


class TestAnswerThatIsNotProvenWhole:
    """Guards against an entry that acts on an assumed end as on a proven one."""

    def test_its_upstream_stays_avoided(self):
        async def check(world):
            break_all(world, 'unframed')
            (forecast,) = world.entries[0].upstreams._table.by_id.values()
            avoid_until = clock_s() + 60
            forecast.avoid_until = avoid_until
            answer = await world.ask('/draft/x', method='POST', request_id='a')
            assert answer.body == stream_of('a')
            assert forecast.avoid_until == avoid_until

        checked(check, engines=1, plain=0)

    def test_a_later_answer_proves_that_its_upstream_outlived_it(
        self, monkeypatch
    ):
        monkeypatch.setattr(_unconfirmed, 'ALIVE_AFTER_S', 0)

        async def check(world):
            inject_fault_all(world, 'p', 'unframed', None)
            quarantine = world.entries[0].requests._context.quarantine
            completed = quarantine._core._ledger._completed_at
            await world.ask('/read/x', request_id='a')
            assert not completed
            await world.ask('/read/x', request_id='b')
            assert len(completed) == 1

        checked(check, engines=0, plain=1)


class TestStreamWithoutFraming:
    """Guards against a FIN within an event that is taken for the end."""

    def test_a_stream_that_ends_within_an_event_is_broken_off(self):
        async def check(world):
            break_all(world, 'unframed', 'half_event')
            answer = await world.ask('/once/x', method='POST', request_id='a')
            assert answer.cut
            assert answer.body.endswith(b'\n\n')
            assert stream_of('a').startswith(answer.body)

        checked(check)


class TestCallerWithoutChunks:
    """Guards against a close that tells a caller without chunks: complete."""

    def test_a_broken_answer_ends_with_a_reset(self):
        async def check(world):
            break_all(world, 'half_event')
            answer = await ask_raw(
                world.nodes[0].callers, '/once/x', version='1.0'
            )
            assert not answer.looks_complete

        checked(check)

    def test_an_entry_that_ends_resets_an_unfinished_answer(self, monkeypatch):
        async def check(world):
            monkeypatch.setattr(FleetReplica, 'event_interval_s', 0.2)
            asking = asyncio.ensure_future(
                ask_raw(world.nodes[0].callers, '/once/x', version='1.0')
            )
            await world.until(lambda: all_runs(world, 'a'))
            await asyncio.sleep(0.3)
            await world.entries[0]._http.close_all_connections()
            answer = await asking
            assert answer.status == 200
            assert not answer.looks_complete

        checked(check)

    @pytest.mark.parametrize('path', ['/draft/x', '/read/x'])
    def test_a_kept_connection_is_closed_only_after_a_stream(self, path):
        """Guards against a stream whose caller waits forever for its end."""

        async def check(world):
            answer = await ask_raw(
                world.nodes[0].callers,
                path,
                version='1.0',
                headers='Connection: keep-alive\r\n',
                timeout_s=1,
            )
            is_stream = path == '/draft/x'
            assert answer.body == (stream_of if is_stream else body_of)('a')
            assert answer.was_ended == is_stream
            kept = None if is_stream else b'keep-alive'
            assert answer.header(b'connection') == kept

        checked(check)
