"""Requests through a real entry to faulty replicas."""

from __future__ import annotations

import asyncio

import pytest

from crowrudder_standins.fleet_replica import body_of, seal_of, stream_of
from support.fleet import KEY, route
from support.fleet_checks import all_runs, checked, fault, inject_fault_all


class TestCompleteAnswers:
    def test_a_plain_answer_is_forwarded_unchanged(self):
        async def check(world):
            answer = await world.ask('/read/x?y=1', request_id='a')
            (began,) = all_runs(world, 'a')
            assert answer.status == 200
            assert answer.body == body_of('a')
            assert answer.header('x-attempt-id') == 'a'
            assert began.target == '/read/x?y=1'
            assert began.customer == 'shop'

        checked(check)

    def test_a_stream_is_forwarded_with_its_seal(self):
        async def check(world):
            answer = await world.ask('/draft/x', method='POST', request_id='a')
            (began,) = all_runs(world, 'a')
            assert (began.method, began.body) == ('POST', b'body')
            seals = {seal_of(name, 'a') for name in world.replicas}
            assert answer.header('x-replica-seal') in seals
            assert answer.body == stream_of('a')

        checked(check)

    def test_a_header_with_other_characters_is_forwarded(self):
        """Guards against a request that is never answered.

        A header's value may have bytes beyond ASCII; its encoding failed.
        """

        async def check(world):
            answer = await world.ask('/read/x', request_id='a', X_Name='café')
            assert answer.body == body_of('a')

        checked(check)

    def test_sends_the_customer_of_the_key_to_the_upstream(self):
        async def check(world):
            await world.ask('/read/x', request_id='a', X_Tenant='somebody')
            (began,) = all_runs(world, 'a')
            assert began.customer == 'shop'

        checked(check)


class TestBrokenStreams:
    @pytest.mark.parametrize('how', ['cut', 'half_event'])
    def test_a_second_break_truncates_the_answer(self, how):
        """Guards against a truncated stream that looks complete.

        Both upstreams that the route allows break off. If the entry then ended
        the answer normally, the caller would get a listing without its end.
        """

        async def check(world):
            inject_fault_all(world, 'e', how)
            answer = await world.ask('/draft/x', method='POST', request_id='a')
            assert answer.cut
            assert stream_of('a').startswith(answer.body)
            assert answer.body.endswith(b'\n\n')
            runs = all_runs(world, 'a')
            assert sorted(began.resumed_after for began in runs) == [0, 2]

        checked(check)

    @pytest.mark.parametrize('how', ['cut', 'half_event'])
    def test_one_break_is_hidden_from_the_caller(self, how):
        async def check(world):
            for number in range(6):
                faulty = world.replicas[f'e{number % 2}']
                faulty.faults.switch_on(fault(how))
                request_id = f'a{number}'
                answer = await world.ask(
                    '/draft/x', method='POST', request_id=request_id
                )
                faulty.faults.switch_off('')
                assert answer.body == stream_of(request_id)

        checked(check, bounds={'retry_extra': 100})

    def test_a_stream_that_may_not_resume_is_truncated_and_runs_once(self):
        async def check(world):
            inject_fault_all(world, 'e', 'cut')
            answer = await world.ask('/once/x', method='POST', request_id='a')
            assert answer.cut
            assert len(all_runs(world, 'a')) == 1

        checked(check)

    @pytest.mark.default_timeouts
    def test_waits_for_a_silent_upstream_without_retry_budget(self):
        """Guards against abandoning the last attempt that is possible.

        Many attempts fail, the retry budget is spent, and an upstream is slow.
        If silence ended the attempt without a check that another one can
        follow, the caller would get 502 after 0.9 s although the upstream
        answers in 1.2 s.
        """

        async def check(world):
            inject_fault_all(world, 'e', 'slow', None, amount=1.2)
            answer = await world.ask('/draft/x', method='POST', request_id='a')
            assert answer.body == stream_of('a')
            assert len(all_runs(world, 'a')) == 1

        checked(check, entries=1, bounds={'retry_share': 0, 'retry_extra': 0})

    @pytest.mark.default_timeouts
    def test_retries_a_silent_upstream_elsewhere(self):
        async def check(world):
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            answers = [
                await world.ask('/draft/x', method='POST', request_id=f'a{n}')
                for n in range(3)
            ]
            assert [answer.status for answer in answers] == [200] * 3

        checked(check)


class TestAnswersOfFailures:
    """Guards against an upstream's own answer that is replaced by a 502."""

    @pytest.mark.parametrize('second', [None, 'full', 'lost'])
    def test_first_answer_is_relayed_if_no_other_upstream_answers(self, second):
        async def check(world):
            world.replicas['p0'].faults.switch_on(fault('fail', None))
            if second:
                world.replicas['p1'].faults.switch_on(fault(second, None))
            for number in range(6):
                answer = await world.ask('/read/x', request_id=f'a{number}')
                if world.replicas['p0'].runs_of(f'a{number}'):
                    assert answer.status == 500
                    assert answer.body == b'failed'

        checked(check, plain=2 if second else 1)


class TestOnce:
    @pytest.mark.parametrize('how', ['lost', 'cut', 'unvouched'])
    def test_runs_once_if_its_answer_is_lost(self, how):
        """Guards against a notice that is sent twice.

        The upstream runs the request and its answer is lost. If the entry
        retried it at another upstream, a household would get two calls.
        """

        async def check(world):
            inject_fault_all(world, 'p', how)
            answer = await world.ask('/notice/x', method='POST', request_id='a')
            assert answer.status == 502
            assert len(all_runs(world, 'a')) == 1

        checked(check)

    def test_retries_a_full_upstream_elsewhere(self):
        async def check(world):
            world.replicas['p0'].faults.switch_on(fault('full', None))
            for number in range(4):
                answer = await world.ask(
                    '/notice/x', method='POST', request_id=f'a{number}'
                )
                assert answer.status == 200

        checked(check)

    def test_a_refusal_by_all_upstreams_has_a_retry_after(self):
        async def check(world):
            inject_fault_all(world, 'p', 'full', None)
            answer = await world.ask('/notice/x', method='POST', request_id='a')
            assert answer.status == 503
            assert answer.retry_after_s >= 0
            assert not all_runs(world, 'a')

        checked(check)

    def test_forwards_an_error_of_the_upstream(self):
        async def check(world):
            inject_fault_all(world, 'p', 'fail')
            answer = await world.ask('/notice/x', method='POST', request_id='a')
            assert (answer.status, answer.body) == (500, b'failed')
            assert answer.header('x-replica-seal')

        checked(check)


class TestRepeatable:
    @pytest.mark.parametrize(
        'how',
        [
            'lost',
            'cut',
            'fail',
            pytest.param('hang', marks=pytest.mark.default_timeouts),
            'unvouched',
        ],
    )
    def test_is_retried_elsewhere(self, how):
        async def check(world):
            world.replicas['p0'].faults.switch_on(fault(how, None))
            for number in range(4):
                answer = await world.ask('/read/x', request_id=f'a{number}')
                assert answer.body == body_of(f'a{number}')

        checked(check)

    def test_is_sent_no_more_often_than_its_route_allows(self):
        async def check(world):
            inject_fault_all(world, 'p', 'lost', None)
            answer = await world.ask('/read/x', request_id='a')
            assert answer.status == 502
            assert len(all_runs(world, 'a')) == 2

        checked(check, plain=4)


class TestCrossedAnswers:
    def test_discards_an_answer_to_another_request(self):
        async def check(world):
            inject_fault_all(world, 'p', 'crossed')
            answer = await world.ask('/notice/x', method='POST', request_id='a')
            assert answer.status == 200
            assert answer.body == body_of('a')

        checked(check)

    def test_discards_a_duplicate_answer(self):
        async def check(world):
            inject_fault_all(world, 'p', 'extra', None)
            for number in range(8):
                answer = await world.ask(
                    '/notice/x', method='POST', request_id=f'a{number}'
                )
                assert answer.body == body_of(f'a{number}')

        checked(check)


class TestTimes:
    def test_a_silent_once_only_request_ends_at_its_routes_timeout(self):
        async def check(world):
            inject_fault_all(world, 'p', 'hang', None)
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            answer = await world.ask('/notice/x', method='POST', request_id='a')
            assert answer.status == 504
            assert 0.95 <= loop.time() - began_at <= 2

        short = [
            route('notice', '/notice/', 'unsafe', 'plain', timeout_ms=1000),
        ]
        checked(check, routes=short)

    def test_ends_before_the_deadline_of_its_caller(self):
        async def check(world):
            inject_fault_all(world, 'p', 'hang', None)
            answer = await world.ask(
                '/notice/x',
                method='POST',
                request_id='a',
                X_Deadline_Ms='200',
            )
            assert answer.status == 504

        checked(check)

    def test_a_request_ends_when_its_caller_leaves(self):
        async def check(world):
            inject_fault_all(world, 'e', 'slow', None, amount=3.0)
            asking = asyncio.ensure_future(
                world.ask('/draft/x', method='POST', request_id='a')
            )
            await world.until(lambda: all_runs(world, 'a'))
            entry = world.entries[0]
            asking.cancel()
            await world.until(lambda: not entry.requests.running)
            assert len(all_runs(world, 'a')) == 1

        checked(check)


class TestDenials:
    def test_an_unknown_route_is_not_found(self):
        async def check(world):
            assert (await world.ask('/nowhere/x')).status == 404

        checked(check)

    def test_an_unknown_key_is_refused_and_a_public_route_needs_none(self):
        async def check(world):
            answer = await world.ask('/read/x', X_Credential='wrong')
            assert answer.status == 401
            answer = await world.ask('/open/x', X_Credential='wrong')
            assert answer.status == 200

        checked(check)

    def test_an_outdated_configuration_gives_no_final_denial(self):
        """Guards against a 401 for a new customer from an outdated entry.

        An entry loses the platform, a key is added, and its holder sends a
        request to that entry. If the entry decided by the keys that it knew
        before, a valid request would be denied for good.
        """

        async def check(world):
            entry = world.entries[0]
            entry.catalog.reading.confirmed_at -= 100
            world.store.faults.switch_on(fault('busy', None))
            for path, key in (('/read/x', 'new'), ('/nowhere/x', KEY)):
                entry.catalog.reading.confirmed_at = -1000
                answer = await world.ask(path, X_Credential=key)
                assert answer.status == 503
                assert answer.retry_after_s > 0

        checked(check)

    def test_a_malformed_deadline_is_a_bad_request(self):
        async def check(world):
            answer = await world.ask('/read/x', X_Deadline_Ms='soon')
            assert answer.status == 400

        checked(check)


class TestRecords:
    def test_logs_the_time_to_the_first_send_separately(self, caplog):
        """One log line shows whether the entry or an upstream is slow."""

        async def check(world):
            inject_fault_all(world, 'e', 'slow', amount=0.3)
            await world.ask('/draft/x', method='POST', request_id='a')

        with caplog.at_level('INFO'):
            checked(check)
        (line,) = [
            record
            for record in caplog.records
            if record.message == 'request ended'
        ]
        assert 0 <= line.sent_s <= line.took_s - 0.29


class TestRetryAfter:
    """The ``Retry-After`` of refusals."""

    def test_retry_after_outlasts_an_outage(self):
        """Guards against requests that are refused twice and lost.

        No engine has weights for two seconds. If the delay before a retry were
        a constant for an overload, 0.1 s, a caller would be refused again and
        use up its tries. Most requests of the outage would be lost, although
        their callers wait for six seconds.
        """

        async def check(world):
            for name in ('e0', 'e1'):
                world.replicas[name].weights = 0
                world.list_replica(name, 'llm')
            await world.ready()
            answer = await world.ask('/draft/x', method='POST', request_id='a')
            assert answer.status == 503
            assert float(answer.head.header('retry-after')) >= 1

        checked(check)

    def test_retry_after_a_refusal_by_engines_of_another_version(self):
        async def check(world):
            for name in ('e0', 'e1'):
                world.replicas[name].weights = 9
            answer = await world.ask('/draft/x', method='POST', request_id='a')
            assert answer.status == 503
            assert float(answer.head.header('retry-after')) >= 1

        checked(check)
