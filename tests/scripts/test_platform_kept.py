"""Kept connections in the platform soak, and the end of their requests."""

from __future__ import annotations

import asyncio
import json
import math
import random
import socket
import struct
import time
from datetime import UTC, datetime
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import _platform_kept
import pytest
from _platform_chaos import Disturbance, PlatformChaos
from _platform_checks import Verdict
from _platform_config import IDLE_LIMIT_S, configuration
from _platform_fleet import GRACE_S, STAND_INS
from _platform_kept import (
    MAX_IDLE_SHARE,
    KeptCaller,
    KeptLoad,
    KeptResult,
    choose_idle_share,
)
from _platform_kept_checks import CROSSING_S, check_kept
from _platform_load import DEADLINE_S, ROUTE_KINDS
from crowrudder_platform._records import decode_record
from tornado.testing import bind_unused_port

from support.aio import run
from support.path import until

BEGAN_AT = 100.0
LATE_S = CROSSING_S + 0.1
HELD_S = DEADLINE_S + 1.0
LATE, HELD = 'closed late', 'held past its deadline'
PASSED_ON = 'closed after it was passed on'
SUSPENDED = 'closed after a suspension'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n'
    b'\r\n2\r\nok\r\n0\r\n\r\n'
)


class Soak:
    """Records of a soak with one request on a kept connection."""

    def __init__(self, folder: Path) -> None:
        self.runs: list[Any] = []
        replica = SimpleNamespace(runs=self.runs)
        fleet: Any = SimpleNamespace(
            folder=folder,
            all_incarnations=lambda: [SimpleNamespace(replica=replica)],
        )
        self.fleet = fleet
        rng = random.Random(1)
        self.chaos = PlatformChaos(fleet, rng, print)
        self.load = KeptLoad(fleet, rng, str, self.chaos, print)
        self.caller = KeptCaller('k', 'entry-0', '', rng, str, float)
        self.load.callers.append(self.caller)

    def disturb(self, name='entry-0', began_s=0.0, ended_s=0.0, **fields):
        self.chaos.disturbances.append(
            Disturbance(name, BEGAN_AT + began_s, BEGAN_AT + ended_s, **fields)
        )

    def broken(self, end, took_s, *, has_run=False, began_at=BEGAN_AT, **more):
        """Return the violations of a request that ended after a time."""
        result = KeptResult(
            'a', ROUTE_KINDS[0], 'entry-0', began_at, began_at + took_s, **more
        )
        result.sent_at, result.end = began_at, end
        self.caller.results[:] = [result]
        self.runs[:] = [SimpleNamespace(request_id='a')] if has_run else []
        verdict = Verdict()
        check_kept(self.load, verdict)
        return dict(verdict.violations)


@pytest.fixture(name='soak')
def make_soak(tmp_path):
    """Return a soak without any disturbance."""
    return Soak(tmp_path)


class TestEndOfRequest:
    """Guards against whole requests that get neither an answer nor a refusal."""

    @pytest.mark.parametrize('end', ['FIN', 'RST'])
    def test_close_after_the_request_was_read(self, soak, end):
        assert set(soak.broken(end, LATE_S)) == {LATE}

    def test_close_that_crosses_the_request(self, soak):
        assert not soak.broken('RST', CROSSING_S / 2)

    def test_close_of_a_request_that_was_passed_on(self, soak):
        assert set(soak.broken('FIN', 0.01, has_run=True)) == {PASSED_ON}

    @pytest.mark.parametrize('end', ['answer', 'FIN', 'waiting'])
    def test_caller_that_is_held(self, soak, end):
        assert set(soak.broken(end, HELD_S)) == {HELD}

    def test_answer_in_time(self, soak):
        assert not soak.broken('answer', DEADLINE_S, head_at=BEGAN_AT + 1)

    def test_request_that_was_not_sent_whole_is_left_out(self, soak):
        assert not soak.broken('', HELD_S)

    def test_line_shows_restarts_and_the_close(self, soak, tmp_path):
        now = time.monotonic()
        soak.chaos.terminations += [('entry-0', now - 2), ('entry-1', now)]
        soak.chaos.restarts.append(('entry-0', now + 0.1))
        at = datetime.now(tz=UTC).astimezone().isoformat(' ')[:23]
        line = {'message': 'caller connection closed', 'at': at, 'rule': 'idle'}
        old = line | {'at': '2020-01-01 00:00:00,000', 'rule': 'older'}
        (tmp_path / 'entry-0.log').write_text(
            '\n'.join(map(json.dumps, (line, old)))
        )
        (text,) = soak.broken('FIN', LATE_S, began_at=now - LATE_S)[LATE]
        assert 'a /read/x at entry-0: FIN' in text
        assert f'SIGTERM at {LATE_S - 2:+.3f} s' in text
        assert f'start at {LATE_S + 0.1:+.3f} s' in text
        assert text.count('SIGTERM') == 1
        assert '"rule": "idle"' in text
        assert 'older' not in text


class TestExcuses:
    """Guards against excuses for entries that could have answered."""

    @pytest.mark.parametrize(
        ('name', 'began_s', 'is_excused'),
        [
            ('entry-0', 0.1, True),
            ('entry-0', LATE_S + 0.1, False),
            ('entry-0', -CROSSING_S - 0.1, False),
            ('entry-1', 0.1, False),
        ],
    )
    def test_only_the_own_entrys_kill_excuses(
        self, soak, name, began_s, is_excused
    ):
        soak.disturb(name, began_s, began_s, is_fatal=True)
        assert (not soak.broken('RST', LATE_S)) is is_excused

    @pytest.mark.parametrize(
        ('name', 'fields', 'is_excused'),
        [
            ('entry-0', {'is_freeze': True}, True),
            (STAND_INS, {}, True),
            ('entry-0', {}, False),
            ('entry-1', {'is_freeze': True}, False),
            ('', {}, False),
        ],
    )
    def test_time_of_a_suspension_does_not_count(
        self, soak, name, fields, is_excused
    ):
        soak.disturb(name, -1, 1, **fields)
        soak.disturb(name, 0.5, 1.1, **fields)
        at = {'head_at': BEGAN_AT + 1}
        assert (not soak.broken('answer', HELD_S, **at)) is is_excused
        assert soak.broken('answer', HELD_S + 1.2, **at)

    def test_close_of_what_stood_in_the_socket(self, soak):
        soak.disturb(began_s=-0.5, ended_s=0.5, is_freeze=True)
        assert set(soak.broken('FIN', 0.55)) == {SUSPENDED}
        assert not soak.broken('FIN', 0.1)
        assert set(soak.broken('FIN', 0.5 + LATE_S)) == {LATE}

    @pytest.mark.parametrize(
        ('sent_after_s', 'ended_after_s', 'name', 'is_excused'),
        [
            (2.9, GRACE_S, 'entry-0', True),
            (3.1, GRACE_S, 'entry-0', False),
            (2.9, GRACE_S * 0.8, 'entry-0', False),
            (2.9, GRACE_S, 'entry-1', False),
        ],
    )
    def test_drain_excuses_only_runs_at_its_end(
        self, soak, sent_after_s, ended_after_s, name, is_excused
    ):
        soak.chaos.terminations.append((name, BEGAN_AT - sent_after_s))
        # Not judged as held: the deadline is the shorter time here.
        soak.disturb(STAND_INS, 1, HELD_S)
        took_s = ended_after_s - sent_after_s
        broken = soak.broken('FIN', took_s, has_run=True)
        assert set(broken) == (set() if is_excused else {PASSED_ON})
        assert set(soak.broken('FIN', took_s)) == {LATE}


class TestGaps:
    """Guards against callers whose gaps don't come near the idle limit."""

    def test_most_gaps_are_near_the_longest(self):
        rng = random.Random(1)
        shares = [choose_idle_share(rng) for _ in range(1000)]
        assert max(shares) <= MAX_IDLE_SHARE
        assert sum(each > 0.75 * MAX_IDLE_SHARE for each in shares) > 800
        assert min(shares) < 0.5 * MAX_IDLE_SHARE

    @pytest.mark.parametrize(('before', 'after'), [(9, 0.1), (0.1, 0.5)])
    def test_gap_follows_the_newest_limit(self, soak, before, after):
        limits = [before]
        soak.caller.idle_limit_s = lambda: limits[-1]

        async def waits():
            began_at = time.monotonic()
            waiting = soak.caller._wait(asyncio.StreamReader(), began_at + 5)
            task = asyncio.create_task(waiting)
            await asyncio.sleep(0.05)
            limits.append(after)
            assert await task
            return time.monotonic() - began_at

        assert 0.3 * after < run(waits()) < 3


class TestIdleLimits:
    """Guards against limits that are not published, or change one way only."""

    @pytest.mark.parametrize('limit_s', [IDLE_LIMIT_S, 0.4])
    def test_limit_is_in_the_configuration(self, limit_s):
        body = configuration(1, '', [], is_large=False, idle_limit_s=limit_s)
        record: Any = decode_record('op/config', json.dumps(body).encode())
        assert record.limits.idle_timeout_s == limit_s

    def test_limits_are_lowered_and_raised_in_turn(self, soak, monkeypatch):
        for name in ('CHANGE_INTERVAL_S', 'SERIES_INTERVAL_S'):
            monkeypatch.setattr(_platform_kept, name, (0, 0.01))
        published = []
        soak.fleet.publish = lambda: published.append(soak.fleet.idle_limit_s)
        run(soak.load.change_limits(time.monotonic() + 0.1))
        assert len(published) >= 2
        assert published[0] < 1 < published[1]


async def _calls(caller, serve):
    """Let a caller send to a server until one of its requests has ended."""
    sock, port = bind_unused_port()
    server = await asyncio.start_server(serve, sock=sock)
    caller.address = f'127.0.0.1:{port}'
    caller.idle_limit_s = lambda: 0.02
    calls = asyncio.create_task(caller.run(math.inf))
    await until(lambda: any(each.end for each in caller.results))
    calls.cancel()
    server.close()


class TestCaller:
    """Guards against ends of a connection that are recorded as another."""

    @pytest.mark.parametrize(
        ('answer', 'is_reset', 'end'),
        [
            (ANSWER, False, 'answer'),
            (CHUNKED, False, 'answer'),
            (ANSWER[:-1], False, 'FIN'),
            (b'', False, 'FIN'),
            (b'', True, 'RST'),
        ],
    )
    def test_end_is_recorded(self, soak, answer, is_reset, end):
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            if is_reset:
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.close()

        run(_calls(soak.caller, serve))
        first = next(each for each in soak.caller.results if each.end)
        assert first.end == end
        assert first.is_whole is (end == 'answer')
        assert first.body == (b'ok' if first.is_whole else b'')
        assert 0 < first.sent_at <= first.ended_at

    def test_pair_in_two_parts(self, soak, monkeypatch):
        monkeypatch.setattr(_platform_kept, 'PAIR_SHARE', 1)
        monkeypatch.setattr(_platform_kept, 'PARTS_SHARE', 1)
        received = []

        async def serve(reader, writer):
            for _ in range(2):
                received.append(await reader.readuntil(b'\r\n\r\n'))
            await asyncio.sleep(0.1)
            writer.write(ANSWER)
            await asyncio.sleep(0.1)
            writer.write(ANSWER)

        run(_calls(soak.caller, serve))
        first, second = soak.caller.results
        assert [b'k-0' in received[0], b'k-1' in received[1]] == [True, True]
        assert second.began_at < first.sent_at < second.sent_at
        assert second.sent_at == first.ended_at
