"""Logs and metrics of a process."""

from __future__ import annotations

import io
import json
import logging

import pytest

from crowrudder_daemon.logs import start_logs
from crowrudder_daemon.metrics import LabelError, Metrics
from support.process import with_bench
from support.settings import entry_settings


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
    """Symptom: the log fills up while the process is overloaded.

    Sequence: the process is not ready or overloaded and answers 503 repeatedly.
    Cause: the HTTP library logs an error for each 5xx response.
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

    def test_metrics_of_two_processes_are_separate(self):
        one, other = Metrics(), Metrics()
        one.invariant_violated('x')
        assert b'invariant="x"' not in other.render()
