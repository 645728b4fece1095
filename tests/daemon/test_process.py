from __future__ import annotations

import asyncio
import contextlib
import io
import json
import logging
import os
import signal
import subprocess
import sys
from pathlib import Path
from urllib.parse import quote

import pytest
from attrs import define, evolve, field
from tornado.httpclient import AsyncHTTPClient

from crowrudder_daemon import _lifecycle
from crowrudder_daemon.logs import start_logs
from crowrudder_daemon.metrics import LabelError, Metrics
from crowrudder_daemon.process import Lifecycle, Runtime, Stop, run_role
from crowrudder_daemon.settings import LimitsSection
from crowrudder_model import Member
from support.aio import run
from support.settings import entry_settings


@define
class FakeRole:
    """A role that notes what is done to it and can be told to misbehave."""

    calls: list[str] = field(factory=list)
    started: asyncio.Event = field(factory=asyncio.Event)
    release: asyncio.Event = field(factory=asyncio.Event)
    draining: asyncio.Event = field(factory=asyncio.Event)
    reasons: list[str] = field(factory=list)
    broken: tuple[str, ...] = ()
    endless: str = ''
    let_go: asyncio.Event = field(factory=asyncio.Event)

    async def start(self):
        self._act('start')
        self.started.set()

    async def drain(self):
        self._act('drain')
        self.draining.set()
        await self._hang('drain')
        await self.release.wait()
        self.calls.append('drained')

    async def stop(self):
        self._act('stop')
        await self._hang('stop')

    def status(self):
        self._act('status')
        return {'queue': 3}

    def readiness(self):
        return self.reasons

    def members(self):
        return (Member('e1', 'entry', '127.0.0.1'),)

    def bundle(self):
        return b''

    def explain(self, customer, model):
        if 'explain' in self.broken:
            raise NotImplementedError
        return {'customer': customer, 'model': model}

    async def _hang(self, step):
        """Stay in a step whatever the cancellations."""
        while step == self.endless and not self.let_go.is_set():
            with contextlib.suppress(asyncio.CancelledError):
                await self.let_go.wait()

    def _act(self, step):
        self.calls.append(step)
        if step in self.broken:
            raise OSError(f'{step} is broken')


@define
class Bench:
    """One running process with a fake role."""

    role: FakeRole
    life: Lifecycle
    stop: Stop
    task: asyncio.Task

    async def get(self, path):
        res = await AsyncHTTPClient(force_instance=True).fetch(
            f'http://127.0.0.1:{self.life.admin_port}{path}',
            raise_error=False,
        )
        is_json = res.headers['Content-Type'].startswith('application/json')
        return res.code, json.loads(res.body) if is_json else res.body

    async def finish(self):
        self.role.release.set()
        self.stop.ask('SIGTERM')
        return await self.task


async def bench(role=None, drain_s=10.0):
    role = role or FakeRole()
    cfg = evolve(entry_settings(), limits=LimitsSection(drain_s=drain_s))
    runtime = Runtime(cfg=cfg, log=logging.getLogger('test'))
    life, stop = Lifecycle(runtime, role), Stop()
    made = Bench(role, life, stop, asyncio.ensure_future(life.run(stop)))
    await role.started.wait()
    return made


def with_bench(check, role=None):
    async def scenario():
        made = await bench(role)
        await check(made)
        assert await made.finish() == 0

    run(scenario())


class TestAdmin:
    def test_health_and_readiness(self):
        async def check(made):
            assert await made.get('/healthz') == (200, {'status': 'ok'})
            ready = {'ready': True, 'reasons': []}
            assert await made.get('/readyz') == (200, ready)
            made.role.reasons.append('no bundle')
            ready = {'ready': False, 'reasons': ['no bundle']}
            assert await made.get('/readyz') == (503, ready)

        with_bench(check)

    def test_status_shows_role_and_process(self):
        async def check(made):
            code, status = await made.get('/status')
            assert code == 200
            assert (status['queue'], status['phase']) == (3, 'serving')
            assert status['incarnation'] == made.life.runtime.incarnation
            assert int(status['incarnation'], 16) < 2**64

        with_bench(check)

    def test_audit_after_a_number(self):
        async def check(made):
            for after in ('1', '2'):
                made.life.runtime.audit.note(
                    kind='order',
                    teller='upstream',
                    subject='m',
                    before='',
                    after=after,
                )
            code, page = await made.get('/audit?after=1')
            assert (code, page['last']) == (200, 2)
            assert [event['after'] for event in page['events']] == ['2']
            for bad in ('-1', 'x', quote('²'), '9' * 5000):
                assert (await made.get(f'/audit?after={bad}'))[0] == 400

        with_bench(check)

    def test_metrics_are_prometheus_text(self):
        async def check(made):
            made.life.runtime.metrics.invariant_violated('one_permit')
            code, text = await made.get('/metrics')
            sample = (
                b'crowrudder_invariant_violations_total'
                b'{invariant="one_permit"} 1.0'
            )
            assert code == 200
            assert sample in text

        with_bench(check)

    def test_explain_needs_both_names(self):
        async def check(made):
            asked = {'customer': 'a', 'model': 'm'}
            path = '/explain?customer=a&model=m'
            assert await made.get(path) == (200, asked)
            code, body = await made.get('/explain?customer=a')
            assert (code, body['error']['message']) == (400, 'model: required')

        with_bench(check)

    def test_role_that_does_not_route_says_so(self):
        async def check(made):
            code, body = await made.get('/explain?customer=a&model=m')
            assert code == 404
            assert 'ask an entry' in body['error']['message']

        with_bench(check, FakeRole(broken=('explain',)))

    def test_members_are_listed_as_the_platform_lists_them(self):
        async def check(made):
            code, body = await made.get('/members')
            assert code == 200
            assert [member['host'] for member in body['members']] == ['e1']

        with_bench(check)

    def test_bundle_is_absent_before_one_is_in_force(self):
        async def check(made):
            code, body = await made.get('/bundle')
            assert code == 404
            assert 'no bundle' in body['error']['message']

        with_bench(check)

    def test_unknown_address_is_json_404(self):
        async def check(made):
            code, body = await made.get('/nope')
            assert (code, body['error']['code']) == (404, 404)

        with_bench(check)


class TestFaultInAHandler:
    """Symptom: one bad message ends a process that serves hundreds.

    Sequence: a callable of the role raises while an admin address is asked, or
    a spawned job dies. Cause: a fault that nobody expected. It has to be
    counted and logged, and the process has to go on.
    """

    def test_fault_in_status_is_counted_and_the_next_answer_comes(self):
        async def check(made):
            code, body = await made.get('/status')
            assert code == 500
            assert 'broken' not in body['error']['message']
            assert (await made.get('/healthz'))[0] == 200
            text = made.life.runtime.metrics.render()
            assert b'faults_total{step="admin /status"} 1.0' in text

        with_bench(check, FakeRole(broken=('status',)))

    def test_fault_in_a_job_is_counted(self):
        async def check(made):
            async def fail():
                raise KeyError('x')

            runtime = made.life.runtime
            job = runtime.spawn(fail(), step='a job')
            await asyncio.wait((job,))
            await asyncio.sleep(0)
            assert b'faults_total{step="a job"} 1.0' in runtime.metrics.render()
            assert (await made.get('/healthz'))[0] == 200

        with_bench(check)

    def test_fault_in_a_callback_is_counted(self):
        async def check(made):
            asyncio.get_running_loop().call_soon(int, 'x')
            assert (await made.get('/healthz'))[0] == 200
            text = made.life.runtime.metrics.render()
            assert b'faults_total{step="loop"} 1.0' in text

        with_bench(check)


class TestShutdown:
    def test_drain_comes_before_stop_and_admin_answers_meanwhile(self):
        async def scenario():
            made = await bench()
            made.stop.ask('SIGTERM')
            await made.role.draining.wait()
            assert (await made.get('/readyz'))[1]['reasons'] == ['draining']
            (event,) = (await made.get('/audit'))[1]['events']
            assert (event['kind'], event['teller']) == ('drain', 'SIGTERM')
            assert not made.task.done()
            assert await made.finish() == 0
            assert made.role.calls == ['start', 'drain', 'drained', 'stop']

        run(scenario())

    def test_second_signal_cuts_the_drain_off(self):
        async def scenario():
            made = await bench()
            made.stop.ask('SIGTERM')
            await made.role.draining.wait()
            made.stop.ask('SIGTERM')
            assert await made.task == 3
            assert made.role.calls == ['start', 'drain', 'stop']

        run(scenario())

    def test_drain_that_never_ends_is_cut_off(self):
        async def scenario():
            made = await bench(drain_s=0)
            made.stop.ask('SIGINT')
            assert await made.task == 3

        run(scenario())

    @pytest.mark.parametrize(('step', 'code'), [('drain', 3), ('stop', 0)])
    def test_fault_while_ending_still_ends(self, step, code):
        async def scenario():
            made = await bench(FakeRole(broken=(step,)))
            assert await made.finish() == code
            assert made.role.calls[-1] == 'stop'

        run(scenario())

    @pytest.mark.parametrize(('step', 'code'), [('drain', 3), ('stop', 0)])
    def test_part_that_never_ends_holds_nothing_up(
        self, step, code, monkeypatch
    ):
        """A process that was told to leave stayed.

        Symptom: an agent ran on after its drain was to be cut off; its
        successor found the port taken. Sequence: the drain runs out of time,
        and a task that is cancelled doesn't end. Cause: the wait for the end
        of what was cancelled had no bound.
        """
        monkeypatch.setattr(_lifecycle, 'CLOSE_S', 0.05)

        async def scenario():
            made = await bench(FakeRole(endless=step), drain_s=0.05)
            made.role.release.set()
            made.stop.ask('SIGTERM')
            assert await asyncio.wait_for(made.task, 2) == code
            assert made.life.stuck
            made.role.let_go.set()

        run(scenario())

    def test_role_that_can_not_start_exits_with_1(self):
        async def scenario():
            role = FakeRole(broken=('start',))
            runtime = Runtime(entry_settings(), logging.getLogger('test'))
            assert await Lifecycle(runtime, role).run(Stop()) == 1
            assert role.calls == ['start', 'stop']

        run(scenario())

    def test_jobs_of_the_process_end_with_it(self):
        async def scenario():
            made = await bench()
            job = made.life.runtime.spawn(asyncio.Event().wait(), step='wait')
            await made.finish()
            assert job.cancelled()

        run(scenario())


class TestSignals:
    @pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
    def test_signal_drains_a_running_process(self, number):
        role = FakeRole()
        role.release.set()

        def build(runtime):
            # The signal comes once the loop turns, as from outside.
            asyncio.get_running_loop().call_soon(os.kill, os.getpid(), number)
            return role

        handlers = logging.getLogger().handlers[:]
        try:
            assert run_role(entry_settings(), build) == 0
        finally:
            logging.getLogger().handlers[:] = handlers
        assert role.calls == ['start', 'drain', 'drained', 'stop']

    def test_task_that_never_ends_does_not_keep_the_process(self):
        """The loop's own end waits for every task.

        Symptom, sequence and cause as for the part that never ends: here the
        whole process is looked at, by its exit code.
        """
        path = Path(__file__).parent
        done = subprocess.run(
            [sys.executable, '-c', _ENDLESS],
            cwd=path.parent,
            env={**os.environ, 'PYTHONPATH': str(path.parent)},
            capture_output=True,
            timeout=30,
            check=False,
        )
        assert done.returncode == 3
        assert b'not closed within' in done.stderr


_ENDLESS = """
import os, signal
from crowrudder_daemon import _lifecycle
from daemon.test_process import FakeRole
from support.settings import entry_settings

_lifecycle.CLOSE_S = 0.1
role = FakeRole(endless='stop')
role.release.set()
role.started.set = lambda: os.kill(os.getpid(), signal.SIGTERM)
raise SystemExit(_lifecycle.run_role(entry_settings(), lambda _: role))
"""


class TestLogs:
    def test_line_is_json_with_host_role_and_fields(self):
        stream = io.StringIO()
        handlers = logging.getLogger().handlers[:]
        try:
            log = start_logs(entry_settings(), stream)
            log.info('sent', extra={'request_id': 'r1', 'step': 'send'})
            log.debug('too small')
        finally:
            logging.getLogger().handlers[:] = handlers
        line = json.loads(stream.getvalue())
        assert (line['host'], line['role']) == ('entry-1', 'entry')
        assert (line['request_id'], line['step']) == ('r1', 'send')
        assert (line['message'], line['level']) == ('sent', 'INFO')


class TestRefusalsUnderOverload:
    """Symptom: the log fills when the process has least time to write.

    Sequence: the process is not ready or overloaded and answers 503 again and
    again. Cause: the HTTP library logs an error for each answer of 5xx.
    """

    def test_refusal_writes_no_line(self, caplog):
        async def check(made):
            made.role.reasons.append('overloaded')
            assert (await made.get('/readyz'))[0] == 503

        handlers = logging.getLogger().handlers[:]
        start_logs(entry_settings(), io.StringIO())
        logging.getLogger().handlers[:] = handlers
        with_bench(check)
        assert 'tornado.access' not in {
            name for name, *_ in caplog.record_tuples
        }


class TestMetrics:
    def test_label_that_was_not_declared_is_refused(self):
        requests = Metrics().counter('requests', 'R.', labels=('outcome',))
        with pytest.raises(LabelError, match='outcome'):
            requests.add(request_id='r1')

    def test_gauges_and_histograms_are_shown(self):
        metrics = Metrics()
        metrics.gauge('queue_length', 'Q.', lambda: 3)
        metrics.gauges('load', 'L.', lambda: [({'host': 'a'}, 0.5)])
        metrics.histogram('wait_seconds', 'W.').record(0.3)
        text = metrics.render().decode()
        assert 'crowrudder_queue_length 3.0' in text
        assert 'crowrudder_load{host="a"} 0.5' in text
        assert 'crowrudder_wait_seconds_bucket{le="0.25"} 0.0' in text

    def test_two_processes_of_one_test_keep_apart(self):
        one, other = Metrics(), Metrics()
        one.invariant_violated('x')
        assert b'invariant="x"' not in other.render()
