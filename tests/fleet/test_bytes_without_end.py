"""One of three upstreams sends answers without end: others are served."""

from __future__ import annotations

import asyncio
import time

import pytest

from support.aio import run
from support.endless_engine import (
    AFTER_WHOLE,
    BEGUN,
    KINDS,
    PLAIN_BODY,
    REFUSED,
    REFUSED_AND_SILENT,
    STRAY,
    WHOLE_STREAM,
    endless_upstreams,
)
from support.endless_entry import (
    MANY_RETRIES,
    Taken,
    choose_faulty_first,
    entry_process,
)
from support.fleet import fleet

DEADLINE_S = 3.0
ASKED = 12
MAX_TAKEN = 1_048_576
MAX_TURN_S = 0.05
EVERY_KIND = {**KINDS, 'after a whole answer': AFTER_WHOLE, 'stray': STRAY}


def checked(check, *, service='llm'):
    """Start a fleet with such upstreams, and run a check with it."""

    async def within():
        async with (
            fleet(entries=0, engines=0, plain=0) as world,
            endless_upstreams(world, service=service) as upstreams,
        ):
            await world.add_entry(**MANY_RETRIES)
            await world.ready()
            await check(world, upstreams)

    run(within())


async def timed(world, path, number):
    """Return an answer and the seconds that its caller waited."""
    began_at = time.monotonic()
    answer = await world.ask(
        path,
        method='GET' if path == '/read/x' else 'POST',
        body=b'%d' % number,
    )
    return answer, time.monotonic() - began_at


async def ask_many(world, path):
    """Send requests at once; check that all are served in time."""
    answers = await asyncio.gather(
        *(timed(world, path, number) for number in range(ASKED))
    )
    expected = PLAIN_BODY if path == '/read/x' else WHOLE_STREAM
    for answer, took_s in answers:
        assert (answer.status, answer.body) == (200, expected)
        assert not answer.cut
        assert took_s < DEADLINE_S


def check_served_beside(kind, path):
    """Check requests beside an upstream that sends answers of a kind.

    The entry has a process of its own, since its callbacks include the
    garbage collector, which here goes over the objects of all tests. Return
    the upstreams that got the requests.
    """

    async def within():
        service = 'plain' if path == '/read/x' else 'llm'
        async with (
            fleet(entries=0, engines=0, plain=0) as world,
            endless_upstreams(world, service=service) as upstreams,
        ):
            upstreams.kind = EVERY_KIND[kind]
            async with entry_process(world) as entry:
                await ask_many(world, path)
            assert entry.most_taken <= MAX_TAKEN
            assert entry.longest_s < MAX_TURN_S
            return upstreams.runs

    return run(within())


class TestRequestsBeside:
    """Guards against an answer without end that holds the whole entry."""

    @pytest.mark.parametrize('kind', EVERY_KIND)
    def test_repeatable_streams_are_served(self, kind):
        runs = check_served_beside(kind, '/draft/x')
        assert runs.count('s0') >= 2

    @pytest.mark.parametrize('kind', ['informational answers', 'head'])
    def test_repeatable_plain_requests_are_served(self, kind):
        check_served_beside(kind, '/read/x')

    def test_the_upstream_is_avoided_for_a_while(self, monkeypatch):
        async def check(world, upstreams):
            upstreams.kind = KINDS['comments']
            choose_faulty_first(world, monkeypatch, 1)
            await timed(world, '/draft/x', 0)
            for number in range(1, ASKED):
                await timed(world, '/draft/x', number)
            assert upstreams.runs.count('s0') == 1

        checked(check)


class TestWhatTheCallerGets:
    @pytest.mark.parametrize('kind', [*KINDS, 'stray'])
    def test_an_unsafe_request_gets_502(self, kind, monkeypatch):
        """Its caller got 200 and a body without end, or waited for long."""

        async def check(world, upstreams):
            upstreams.kind = EVERY_KIND[kind]
            choose_faulty_first(world, monkeypatch, 1)
            answer, took_s = await timed(world, '/once/x', 0)
            assert answer.status == 502
            assert took_s < DEADLINE_S / 2
            assert upstreams.runs == ['s0']

        checked(check)

    @pytest.mark.parametrize('kind', BEGUN)
    def test_a_begun_stream_is_resumed_elsewhere(self, kind, monkeypatch):
        async def check(world, upstreams):
            upstreams.kind = BEGUN[kind]
            choose_faulty_first(world, monkeypatch, 1)
            taken = Taken(monkeypatch)
            answer, took_s = await timed(world, '/draft/x', 0)
            comments = answer.body.replace(b': wait\n\n', b'')
            assert comments == WHOLE_STREAM
            assert not answer.cut
            assert took_s < DEADLINE_S
            assert taken.most <= MAX_TAKEN
            assert len(upstreams.runs) == 2

        checked(check)

    @pytest.mark.parametrize('kind', BEGUN)
    def test_one_that_may_not_be_resumed_is_truncated(self, kind, monkeypatch):
        async def check(world, upstreams):
            upstreams.kind = BEGUN[kind]
            choose_faulty_first(world, monkeypatch, 1)
            answer, took_s = await timed(world, '/once/x', 0)
            assert answer.cut
            assert took_s < DEADLINE_S / 2

        checked(check)


class TestRefusalWithoutEnd:
    @pytest.mark.parametrize('kind', [REFUSED, REFUSED_AND_SILENT])
    @pytest.mark.parametrize('path', ['/draft/x', '/once/x'])
    def test_it_is_still_a_refusal(self, kind, path, monkeypatch):
        """An unsafe request got 502, though its upstream had not run it."""

        async def check(world, upstreams):
            upstreams.kind = kind
            choose_faulty_first(world, monkeypatch, 1)
            taken = Taken(monkeypatch)
            answer, took_s = await timed(world, path, 0)
            assert (answer.status, answer.body) == (200, WHOLE_STREAM)
            assert took_s < DEADLINE_S
            assert taken.most <= MAX_TAKEN

        checked(check)


def test_log_and_counter_say_which_bound_was_met(monkeypatch, caplog):
    async def check(world, upstreams):
        upstreams.kind = KINDS['comments']
        choose_faulty_first(world, monkeypatch, 1)
        await timed(world, '/draft/x', 0)
        page = world.entries[0].runtime.metrics.render().decode()
        name = 'crowrudder_answer_bounds_met_total{bound="comments"} 1'
        assert name in page

    with caplog.at_level('INFO'):
        checked(check)
    attempts = [
        attempt
        for record in caplog.records
        if record.message == 'request ended'
        for attempt in record.attempts
    ]
    assert [each.get('bound') for each in attempts] == ['comments', None]
