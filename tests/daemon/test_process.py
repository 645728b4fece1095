from __future__ import annotations

import asyncio
import logging
import os
import signal
import subprocess
import sys
from pathlib import Path
from urllib.parse import quote

import pytest

from crowrudder_daemon import _lifecycle
from crowrudder_daemon.process import Lifecycle, Runtime, Stop, run_role
from support.aio import run
from support.process import FakeRole, bench, with_bench
from support.settings import entry_settings


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

    Sequence: a callable of the role raises during an admin request, or a
    spawned job fails. Cause: an unhandled exception. It must be counted and
    logged, and the process must continue.
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

    def test_drain_that_was_cancelled_from_within_is_cut_off(self):
        """The future that a drain waits for may be cancelled elsewhere."""

        async def scenario():
            made = await bench(FakeRole(cancelled='drain'))
            assert await made.finish() == 3
            assert made.role.calls[-1] == 'stop'

        run(scenario())

    @pytest.mark.parametrize(('step', 'code'), [('drain', 3), ('stop', 0)])
    def test_step_that_never_ends_does_not_block_shutdown(
        self, step, code, monkeypatch
    ):
        """A process did not exit after it was asked to stop.

        Symptom: an agent kept running after its drain was cut off; its
        successor found the port in use. Sequence: the drain times out, and a
        cancelled task doesn't end. Cause: the wait for cancelled tasks had no
        timeout.
        """
        monkeypatch.setattr(_lifecycle, 'SHUTDOWN_STEP_TIMEOUT_S', 0.05)

        async def scenario():
            made = await bench(FakeRole(endless=step), drain_s=0.05)
            made.role.release.set()
            made.stop.ask('SIGTERM')
            assert await asyncio.wait_for(made.task, 2) == code
            assert made.life.has_unfinished_steps
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
            # The signal arrives while the loop runs, as from outside.
            asyncio.get_running_loop().call_soon(os.kill, os.getpid(), number)
            return role

        handlers = logging.getLogger().handlers[:]
        try:
            assert run_role(entry_settings(), build) == 0
        finally:
            logging.getLogger().handlers[:] = handlers
        assert role.calls == ['start', 'drain', 'drained', 'stop']

    def test_task_that_never_ends_does_not_keep_the_process(self):
        """Closing the event loop waits for every task.

        Symptom, sequence and cause are those of the step that never ends; here
        the exit code of a whole process is checked.
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
from support.process import FakeRole
from support.settings import entry_settings

_lifecycle.CLOSE_S = 0.1
role = FakeRole(endless='stop')
role.release.set()
role.started.set = lambda: os.kill(os.getpid(), signal.SIGTERM)
raise SystemExit(_lifecycle.run_role(entry_settings(), lambda _: role))
"""
