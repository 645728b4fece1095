"""Upstreams that fall silent amid an answer: none is given up for nothing."""

from __future__ import annotations

import asyncio
import sys
import time
from copy import deepcopy

import pytest
from attrs import evolve

from crowrudder_daemon.fleet_entry import _silence_watch, _timeouts
from crowrudder_daemon.fleet_entry._admission import ForecastRefusal
from crowrudder_daemon.fleet_entry._caller_side import CallerSide
from crowrudder_daemon.fleet_entry._statement_log import AnswerSource
from crowrudder_model.fleet import UpstreamStatements
from support.aio import run
from support.fleet import ROUTES, fleet
from support.leaving_caller import LeavingCaller, on_connection, request_bytes
from support.silent_engine import (
    FOREVER,
    NOT_RUN,
    Script,
    plain_body,
    silent_upstreams,
    stream,
)

LIMIT_S = 0.08
"""Silence after which another attempt is wanted."""

LATE_S = 2.5 * LIMIT_S
"""Silence of an upstream that goes on."""

SOON_S = 0.5
"""Bound for what is to happen at once, on a busy machine."""

DEADLINE_MS = 400
TURNS = 16
"""Turns of the event loop within which the first events of a run are read."""

ONE_RETRY = {'retry_share': 0.0, 'retry_extra': 1.3}
"""Bounds that let each service have one retry, after the safety factor."""

MANY_RETRIES = {'retry_extra': 100_000}

STARTS = pytest.mark.parametrize(
    ('before', 'has_head'),
    [(0, False), (0, True), (2, True)],
    ids=['no byte', 'head', 'two events'],
)


@pytest.fixture(autouse=True)
def short_limits(patience, monkeypatch):
    """Shorten the limits of silence."""
    for name in (
        'FIRST_EVENT_TIMEOUT_S',
        'PAUSE_TIMEOUT_S',
        'SHORT_ANSWER_TIMEOUT_S',
    ):
        monkeypatch.setattr(_timeouts, name, LIMIT_S)
    # The limit is at least a multiple of the forecast, 50 ms for a new upstream.
    monkeypatch.setattr(_timeouts, 'TIMEOUT_FORECASTS', 1)
    monkeypatch.setattr(_silence_watch, 'POLL_INTERVAL_S', LIMIT_S / 4)


def short_routes():
    """Return routes with a short goal of pauses, twice which bounds a limit."""
    routes = deepcopy(list(ROUTES))
    for route in routes:
        route['gap_goal_ms'] = LIMIT_S * 1000 / 4
    return routes


def checked(check, *, count=2, service='llm', bounds=None):
    """Start a fleet whose upstreams follow scripts, and run a check with it."""

    async def within():
        async with (
            fleet(
                entries=0, engines=0, plain=0, routes=short_routes()
            ) as world,
            silent_upstreams(world, count=count, service=service) as upstreams,
        ):
            # An entry that starts reads all that is listed at once.
            await world.add_entry(**(bounds or MANY_RETRIES))
            await world.ready()
            await check(world, upstreams)

    run(within())


async def ask(world, upstreams, scripts, *, path='/draft/x', **headers):
    """Send a request of its own body whose runs follow scripts."""
    request_id = headers.pop('request_id', 'a')
    upstreams.scripts[request_id] = list(scripts)
    headers.setdefault('method', 'GET' if path == '/read/x' else 'POST')
    return await world.ask(
        path, request_id=request_id, body=request_id.encode(), **headers
    )


def asked(*args, **more):
    """Send a request without waiting for its answer."""
    return asyncio.ensure_future(ask(*args, **more))


async def go_on_beside(world, upstreams, scripts, **more):
    """Let the first run go on a while after the second one has begun."""
    answer = asked(world, upstreams, scripts, **more)
    first, _ = await upstreams.begun('a', 2)
    await asyncio.sleep(LIMIT_S / 2)
    first.go_on()
    return await answer


def check_whole(answer):
    assert answer.status == 200
    assert answer.body == stream()
    assert not answer.cut


def choose_only(world, name, upstreams, patch):
    """Let the entry choose an upstream for all requests."""
    entry_upstreams = world.entries[0].upstreams
    choose = entry_upstreams.choose
    others = upstreams.servers.keys() - {name}
    patch.setattr(
        entry_upstreams,
        'choose',
        lambda required: choose(
            evolve(required, avoid=required.avoid | others)
        ),
    )


def state(world, name, **stated):
    """Let an upstream's answer to an earlier request state something."""
    statements = world.entries[0].upstreams.statements
    source = AnswerSource(
        upstream_id='', request_id='earlier', status=200, age_s=0
    )
    statements.on_answer(
        statements.key_of(name), source, UpstreamStatements(**stated)
    )


class TestOneRetryLeft:
    """Guards against streams that are all closed for the sake of one retry."""

    @STARTS
    def test_all_go_on_and_are_whole(self, before, has_head, monkeypatch):
        self._check(monkeypatch, before, has_head)

    def test_beside_a_new_configuration(self, monkeypatch):
        self._check(monkeypatch, 2, has_head=True, with_config=True)

    def _check(self, monkeypatch, before, has_head, *, with_config=False):
        async def check(world, upstreams):
            silent = Script(before=before, has_head=has_head, silent_s=FOREVER)
            ids = [f'q{number}' for number in range(8)]
            with monkeypatch.context() as patch:
                choose_only(world, 's0', upstreams, patch)
                answers = [
                    asked(world, upstreams, [silent], request_id=each)
                    for each in ids
                ]
                for each in ids:
                    await upstreams.begun(each)
            if with_config:
                world.publish(version=2, routes=short_routes())
            await asyncio.sleep(LATE_S)
            await world.ready()
            for each in upstreams.runs:
                each.go_on()
            for answer in answers:
                check_whole(await answer)
            assert len(upstreams.runs) <= len(ids) + 1

        checked(check, bounds=ONE_RETRY)


def refuse_by_budget(world, upstreams, first, monkeypatch):
    assert world.entries[0].upstreams.retries.spend('llm')


def refuse_by_quarantine(world, upstreams, first, monkeypatch):
    quarantine = world.entries[0].requests._context.quarantine
    monkeypatch.setattr(quarantine, 'may_retry', lambda digests: False)


def refuse_by_choice(world, upstreams, first, monkeypatch):
    """Let the other upstream leave."""
    state(world, upstreams.other(first), is_leaving=True)


def refuse_by_forecast(world, upstreams, first, monkeypatch):
    refusal = ForecastRefusal('first event after the deadline', 0, 9, 1)
    prefix = 'crowrudder_daemon.fleet_entry.'
    for name, module in list(sys.modules.items()):
        if name.startswith(prefix) and hasattr(module, 'deadline_refusal'):
            monkeypatch.setattr(module, 'deadline_refusal', lambda *_: refusal)


def refuse_the_send(world, upstreams, first, monkeypatch):
    monkeypatch.setattr(
        world.entries[0].upstreams, 'take_send', lambda *_, **more: 'it pauses'
    )


def pause_once_connected(world, upstreams, first, monkeypatch):
    other = upstreams.other(first)
    on_connection(world, lambda: state(world, other, pause_s=9.0))


def refuse_connections(world, upstreams, first, monkeypatch):
    upstreams.servers[upstreams.other(first)].close()


REFUSALS = (
    refuse_by_quarantine,
    refuse_by_choice,
    refuse_by_forecast,
    refuse_the_send,
    pause_once_connected,
    refuse_connections,
)


class TestRefusedSecondAttempt:
    """Guards against a run that is closed before another one can follow it.

    And against a retry that is spent although nothing was sent for it.
    """

    @pytest.mark.parametrize(
        'refuse', [refuse_by_budget, *REFUSALS], ids=lambda each: each.__name__
    )
    @pytest.mark.parametrize('before', [0, 2])
    def test_the_silent_upstream_goes_on(self, refuse, before, monkeypatch):
        async def check(world, upstreams):
            silent = Script(before=before, silent_s=LATE_S)
            answer = asked(world, upstreams, [silent])
            (first,) = await upstreams.begun('a')
            refuse(world, upstreams, first, monkeypatch)
            check_whole(await answer)
            assert upstreams.runs == [first]
            is_spent = refuse is refuse_by_budget
            assert world.entries[0].upstreams.retries.is_left('llm') != is_spent

        checked(check, bounds=ONE_RETRY)

    def test_without_another_upstream(self):
        async def check(world, upstreams):
            scripts = [Script(before=2, silent_s=LATE_S)]
            check_whole(await ask(world, upstreams, scripts))
            assert len(upstreams.runs) == 1

        checked(check, count=1, bounds=ONE_RETRY)

    @pytest.mark.parametrize(
        ('before', 'status'), [(0, NOT_RUN), (2, NOT_RUN), (2, 404), (2, 500)]
    )
    def test_an_upstream_that_refuses(self, before, status):
        async def check(world, upstreams):
            silent = Script(before=before, silent_s=FOREVER)
            scripts = [silent, Script(status=status)]
            check_whole(await go_on_beside(world, upstreams, scripts))
            first, second = upstreams.runs
            assert first.is_finished
            assert second.resumed_after == before

        checked(check, bounds=ONE_RETRY)

    def test_an_upstream_that_breaks_off_before_an_event(self):
        async def check(world, upstreams):
            scripts = [Script(before=2, silent_s=FOREVER), Script(size=0)]
            check_whole(await go_on_beside(world, upstreams, scripts))
            assert len(upstreams.runs) == 2

        checked(check, bounds=ONE_RETRY)

    @pytest.mark.parametrize(
        ('has_head', 'is_half'), [(False, False), (True, False), (True, True)]
    )
    def test_an_upstream_that_is_silent_as_well(self, has_head, is_half):
        """Its connection is closed as the first one goes on."""

        async def check(world, upstreams):
            silent = Script(
                has_head=has_head, is_half=is_half, silent_s=FOREVER
            )
            scripts = [Script(before=2, silent_s=FOREVER), silent]
            check_whole(await go_on_beside(world, upstreams, scripts))
            first, second = upstreams.runs
            assert first.is_finished
            await world.until(lambda: second.is_closed)

        checked(check, bounds=ONE_RETRY)


class TestRetryBudget:
    """Guards against an attempt beside a silent one that spends no retry."""

    def test_an_attempt_that_was_sent_spends_one(self):
        async def check(world, upstreams):
            scripts = [Script(before=2, silent_s=FOREVER)]
            check_whole(await ask(world, upstreams, scripts))
            assert len(upstreams.runs) == 2
            assert not world.entries[0].upstreams.retries.is_left('llm')

        checked(check, bounds=ONE_RETRY)


class TestMove:
    """Guards against a caller that stays with an upstream silent for good."""

    @pytest.mark.parametrize(
        ('before', 'has_head', 'is_half'),
        [
            (0, False, False),
            (0, True, False),
            (0, True, True),
            (2, True, True),
        ],
    )
    def test_another_upstream_goes_on(self, before, has_head, is_half):
        """The silent connection is closed soon after, and not earlier."""

        async def check(world, upstreams):
            silent = Script(
                before=before,
                has_head=has_head,
                is_half=is_half,
                silent_s=FOREVER,
            )
            check_whole(await ask(world, upstreams, [silent]))
            first, second = upstreams.runs
            assert second.upstream != first.upstream
            assert second.resumed_after == before
            assert second.is_finished
            await world.until(lambda: first.is_closed)
            assert second.spoke_at <= first.closed_at
            assert first.closed_at < second.spoke_at + SOON_S

        checked(check, bounds=ONE_RETRY)

    def test_all_streams_of_an_upstream(self, monkeypatch):
        async def check(world, upstreams):
            silent = Script(before=2, silent_s=FOREVER)
            ids = [f'q{number}' for number in range(8)]
            with monkeypatch.context() as patch:
                choose_only(world, 's0', upstreams, patch)
                answers = [
                    asked(world, upstreams, [silent], request_id=each)
                    for each in ids
                ]
                for each in ids:
                    await upstreams.begun(each)
            for answer in answers:
                check_whole(await answer)
            for each in ids:
                first, second = upstreams.runs_of(each)
                assert (first.upstream, second.upstream) == ('s0', 's1')

        checked(check)

    def test_an_upstream_that_comes_later_goes_on(self):
        """Guards against an entry that asks only once for another upstream."""

        async def check(world, upstreams):
            scripts = [Script(before=2, silent_s=FOREVER)]
            answer = asked(world, upstreams, scripts)
            await upstreams.begun('a')
            await asyncio.sleep(2 * LIMIT_S)
            await upstreams.add('s1')
            check_whole(await answer)
            assert [run.resumed_after for run in upstreams.runs] == [0, 2]

        checked(check, count=1, bounds=ONE_RETRY)

    @pytest.mark.parametrize(('before', 'status'), [(0, 504), (2, 200)])
    @pytest.mark.parametrize('count', [1, 2])
    def test_no_caller_waits_past_its_deadline(self, before, status, count):
        """With no other upstream, or with one that is silent as well."""

        async def check(world, upstreams):
            began_at = time.monotonic()
            silent = Script(before=before, silent_s=FOREVER)
            answer = await ask(
                world,
                upstreams,
                [silent, Script(silent_s=FOREVER)],
                X_Deadline_Ms=str(DEADLINE_MS),
            )
            took_s = time.monotonic() - began_at
            assert answer.status == status
            if before:
                assert answer.body == stream(end=before)
                assert answer.cut
            assert 0.8 * DEADLINE_MS / 1000 < took_s < 1
            assert len(upstreams.runs) == count
            await world.until(
                lambda: all(run.is_closed for run in upstreams.runs)
            )

        checked(check, count=count)


def both_orders():
    """Return turns that the first and the second run wait, one of them 0."""
    waits = range(TURNS)
    return [(turns, 0) for turns in waits] + [(0, turns) for turns in waits]


async def ask_pairs(world, upstreams, pairs, **more):
    """Send a request for each pair of scripts at the same time."""
    return await asyncio.gather(
        *(
            ask(world, upstreams, pair, request_id=f'q{number}', **more)
            for number, pair in enumerate(pairs)
        )
    )


class TestEventsOfTwoRuns:
    """Guards against events of two runs that are joined, lost or doubled."""

    @pytest.mark.parametrize('is_piecewise', [False, True])
    @pytest.mark.parametrize(
        ('before', 'is_half'), [(0, False), (2, False), (2, True)]
    )
    def test_both_speak_at_one_moment(self, before, is_half, is_piecewise):
        async def check(world, upstreams):
            pairs = [
                (
                    Script(
                        before=before,
                        is_half=is_half,
                        silent_s=FOREVER,
                        turns=first_turns,
                        is_piecewise=is_piecewise,
                    ),
                    Script(
                        wakes=True,
                        turns=second_turns,
                        is_piecewise=is_piecewise,
                    ),
                )
                for first_turns, second_turns in both_orders()
            ]
            for answer in await ask_pairs(world, upstreams, pairs):
                check_whole(answer)
            assert len(upstreams.runs) == 2 * len(pairs)
            runs = [upstreams.runs_of(f'q{n}') for n in range(len(pairs))]
            await world.until(
                lambda: not any(each.is_open for each in upstreams.runs)
            )
            # Else the offsets are too small to let each of the two go on.
            assert any(first.is_closed for first, _ in runs)
            assert any(second.is_closed for _, second in runs)

        checked(check)

    def test_the_silent_run_speaks_near_its_limit(self):
        async def check(world, upstreams):
            pairs = [
                (Script(before=2, silent_s=LIMIT_S + shift_ms / 1000),)
                for shift_ms in range(-10, 30)
            ]
            for answer in await ask_pairs(world, upstreams, pairs):
                check_whole(answer)

        checked(check)

    def test_the_silent_run_breaks_off_then(self):
        """Guards against a stream that ends with a run that others follow."""

        async def check(world, upstreams):
            pairs = [
                (
                    Script(
                        before=2, silent_s=FOREVER, turns=first_turns, size=0
                    ),
                    Script(wakes=True, turns=second_turns),
                )
                for first_turns, second_turns in both_orders()
            ]
            for answer in await ask_pairs(world, upstreams, pairs):
                check_whole(answer)

        checked(check)

    @pytest.mark.parametrize('sizes', [(None, 1), (1, None), (1, 1), (0, 1)])
    def test_a_run_that_breaks_off_then(self, sizes):
        """Guards against a part of a stream that is told as the whole."""

        async def check(world, upstreams):
            pairs = [
                (
                    Script(
                        before=2,
                        silent_s=FOREVER,
                        turns=first_turns,
                        size=sizes[0],
                    ),
                    Script(wakes=True, turns=second_turns, size=sizes[1]),
                )
                for first_turns, second_turns in both_orders()
            ]
            for answer in await ask_pairs(world, upstreams, pairs):
                events = answer.body.count(b'id: ')
                assert answer.status == 200
                assert answer.body == stream(end=events)
                assert answer.cut == (answer.body != stream())
                assert events >= 2

        checked(check)

    @pytest.mark.parametrize('first_turns', [0, 4])
    def test_the_superseded_run_says_nothing_more(self, first_turns):
        """Guards against events of a run after those of the one that follows."""

        async def check(world, upstreams):
            pairs = [
                (
                    Script(
                        before=before,
                        silent_s=FOREVER,
                        turns=first_turns,
                        is_piecewise=True,
                    ),
                    Script(
                        wakes=True,
                        before=1,
                        silent_s=LIMIT_S / 2,
                        is_piecewise=True,
                    ),
                )
                for before in range(5)
            ]
            for answer in await ask_pairs(world, upstreams, pairs):
                check_whole(answer)

        checked(check)


class TestPlainRequests:
    """Guards against plain requests that silence loses or runs twice."""

    @pytest.mark.parametrize(('before', 'has_head'), [(0, False), (2, True)])
    def test_a_late_answer_is_taken_if_nobody_else_can(self, before, has_head):
        async def check(world, upstreams):
            late = Script(before=before, has_head=has_head, silent_s=LATE_S)
            answer = await ask(world, upstreams, [late], path='/read/x')
            assert answer.status == 200
            assert answer.body == plain_body('s0')
            assert len(upstreams.runs) == 1

        checked(check, count=1, service='plain', bounds=ONE_RETRY)

    def test_a_late_answer_is_taken_if_the_other_refuses(self):
        async def check(world, upstreams):
            scripts = [Script(silent_s=FOREVER), Script(status=NOT_RUN)]
            answer = await go_on_beside(
                world, upstreams, scripts, path='/read/x'
            )
            first, _ = upstreams.runs
            assert answer.status == 200
            assert answer.body == plain_body(first.upstream)

        checked(check, service='plain', bounds=ONE_RETRY)

    @pytest.mark.parametrize(('before', 'has_head'), [(0, False), (2, True)])
    def test_another_upstream_answers(self, before, has_head):
        async def check(world, upstreams):
            silent = Script(before=before, has_head=has_head, silent_s=FOREVER)
            answer = await ask(world, upstreams, [silent], path='/read/x')
            first, second = upstreams.runs
            assert answer.status == 200
            assert answer.body == plain_body(second.upstream)
            assert second.upstream != first.upstream
            await world.until(lambda: first.is_closed)
            assert second.spoke_at <= first.closed_at
            assert first.closed_at < second.spoke_at + SOON_S

        checked(check, service='plain', bounds=ONE_RETRY)

    @pytest.mark.parametrize('before', [0, 2])
    def test_answers_of_two_runs_are_not_mixed(self, before):
        async def check(world, upstreams):
            pairs = [
                (
                    Script(
                        before=before,
                        silent_s=FOREVER,
                        turns=first_turns,
                        is_piecewise=True,
                    ),
                    Script(wakes=True, turns=second_turns, is_piecewise=True),
                )
                for first_turns, second_turns in both_orders()
            ]
            for answer in await ask_pairs(
                world, upstreams, pairs, path='/read/x'
            ):
                assert answer.status == 200
                assert answer.body in {plain_body('s0'), plain_body('s1')}
                assert not answer.cut

        checked(check, service='plain')

    @pytest.mark.parametrize('before', [0, 2])
    @pytest.mark.parametrize(
        ('path', 'service'), [('/notice/x', 'plain'), ('/once/x', 'llm')]
    )
    def test_what_may_not_be_repeated_runs_once(self, path, service, before):
        async def check(world, upstreams):
            late = Script(before=before, silent_s=LATE_S)
            answer = await ask(world, upstreams, [late], path=path)
            (only,) = upstreams.runs
            is_plain = service == 'plain'
            whole = plain_body(only.upstream) if is_plain else stream()
            assert answer.status == 200
            assert answer.body == whole
            assert not answer.cut

        checked(check, service=service)


class TestCallerThatLeaves:
    """Guards against upstreams that work on for a caller that has left."""

    @pytest.mark.parametrize('how', ['fin', 'reset'])
    @pytest.mark.parametrize(
        ('path', 'service', 'before'),
        [
            ('/draft/x', 'llm', 0),
            ('/draft/x', 'llm', 2),
            ('/read/x', 'plain', 0),
        ],
    )
    def test_both_connections_are_closed(self, path, service, before, how):
        async def check(world, upstreams):
            upstreams.scripts['a'] = [
                Script(before=before, silent_s=FOREVER),
                Script(silent_s=FOREVER),
            ]
            caller = LeavingCaller(world.nodes[0].callers)
            method = 'GET' if service == 'plain' else 'POST'
            caller.send(request_bytes(path, method=method))
            both = await upstreams.begun('a', 2)
            await asyncio.sleep(LIMIT_S / 2)
            assert all(each.is_open for each in both)
            caller.leave(how)
            left_at = time.monotonic()
            await world.until(lambda: all(each.is_closed for each in both))
            assert time.monotonic() < left_at + SOON_S

        checked(check, service=service)


class TestSlowCaller:
    """Guards against a second run while a caller is slow to take the first."""

    def test_a_caller_that_is_slow_to_take_the_first_event(self, monkeypatch):
        begin = CallerSide.begin

        async def begin_slowly(side, *args):
            await begin(side, *args)
            await asyncio.sleep(LATE_S)

        monkeypatch.setattr(CallerSide, 'begin', begin_slowly)

        async def check(world, upstreams):
            check_whole(await ask(world, upstreams, [Script()]))
            assert len(upstreams.runs) == 1

        checked(check)


class TestOutcomesBesideEachOther:
    """Guards against an outcome that is forgotten where two runs stand."""

    def test_two_runs_that_were_not_run(self):
        async def check(world, upstreams):
            scripts = [
                Script(status=NOT_RUN, silent_s=LATE_S),
                Script(status=NOT_RUN),
            ]
            answer = await ask(world, upstreams, scripts)
            assert len(upstreams.runs) == 2
            assert answer.status == NOT_RUN
            assert answer.retry_after_s > 0

        checked(check, bounds=ONE_RETRY)

    def test_the_first_answers_while_the_other_is_silent(self):
        async def check(world, upstreams):
            scripts = [Script(silent_s=FOREVER), Script(silent_s=FOREVER)]
            answer = asked(world, upstreams, scripts, path='/read/x')
            first, second = await upstreams.begun('a', 2)
            first.go_on()
            answer = await answer
            assert answer.body == plain_body(first.upstream)
            await world.until(lambda: second.is_closed)

        checked(check, service='plain')

    def test_an_error_is_passed_on_if_nothing_better_comes(self):
        async def check(world, upstreams):
            scripts = [Script(silent_s=FOREVER), Script(status=500)]
            answer = await ask(
                world,
                upstreams,
                scripts,
                path='/read/x',
                X_Deadline_Ms=str(DEADLINE_MS),
            )
            assert answer.status == 500

        checked(check, service='plain')

    def test_an_upstream_that_could_not_be_sent_to_for_a_moment(self):
        """Guards against one refusal that excludes an upstream for good."""

        async def check(world, upstreams):
            silent = Script(before=2, silent_s=FOREVER)
            answer = asked(world, upstreams, [silent], X_Deadline_Ms='2500')
            (first,) = await upstreams.begun('a')
            other = upstreams.other(first)
            pauses = iter([LIMIT_S])

            def pause_once():
                for pause_s in pauses:
                    state(world, other, pause_s=pause_s)

            on_connection(world, pause_once)
            check_whole(await answer)
            assert not list(pauses)

        checked(check, bounds=ONE_RETRY)

    def test_a_quarantined_request_has_no_second_run(self):
        """Guards against a run that goes on after its request was taken back."""

        async def check(world, upstreams):
            scripts = [
                Script(before=2, silent_s=FOREVER),
                Script(silent_s=FOREVER),
            ]
            answer = asked(world, upstreams, scripts)
            first, second = await upstreams.begun('a', 2)
            quarantine = world.entries[0].requests._context.quarantine
            for each in set().union(*quarantine._active.values()):
                each.on_quarantined()
            await world.until(lambda: second.is_closed)
            assert first.is_open
            first.go_on()
            check_whole(await answer)

        checked(check)
