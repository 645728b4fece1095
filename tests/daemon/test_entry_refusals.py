from __future__ import annotations

import json
import logging

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from crowrudder_daemon.entry._admission import Admission
from crowrudder_daemon.entry._caller_request import CallerRequest, CallHead
from crowrudder_daemon.entry._final_outcome import FinalOutcome
from crowrudder_daemon.entry._handlers import make_application
from crowrudder_daemon.entry._open_answers import OpenAnswers
from crowrudder_daemon.entry._requests import RequestsTask
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model.declared import Customer, Declaration, bundle_of
from support.aio import run
from support.settings import entry_settings


async def answer_of(path):
    """Call an entry that has no configuration yet."""
    runtime = Runtime(cfg=entry_settings(), log=logging.getLogger('test'))
    peers = PeerClient()
    requests = RequestsTask(runtime, peers)
    requests.start()
    socket, port = bind_unused_port()
    http = HTTPServer(make_application(runtime, requests, OpenAnswers()))
    http.add_socket(socket)
    try:
        return await AsyncHTTPClient(force_instance=True).fetch(
            f'http://127.0.0.1:{port}{path}',
            method='POST',
            headers={'X-Customer': 'c'},
            body=json.dumps({'model': 'm', 'prompt': 'p', 'max_tokens': 1}),
            raise_error=False,
        )
    finally:
        http.stop()
        await requests.stop()
        await peers.close()
        runtime.metrics.close()


class TestWithoutConfiguration:
    @pytest.mark.parametrize(
        'path', ['/v1/completions', '/v1/services/portal/enquiry']
    )
    def test_missing_configuration_is_503(self, path):
        """An entry that has just started knows no service yet.

        Symptom: callers of a plain service got 404 `unknown_service`, which
        tells them not to retry.
        Sequence: an entry is killed and restarted; a call arrives before the
        entry has read the bundle.
        Cause: the service was looked up before checking for a bundle.
        """
        answer = run(answer_of(path))
        code = json.loads(answer.body)['error']['code']
        assert (answer.code, code) == (503, 'no_configuration')
        assert answer.headers['X-Outcome'] == 'not_run'

    def test_bundle_arrives_between_parsing_and_admission(self):
        """The first bundle arrives while the first requests are admitted.

        Symptom: a customer got 403 `not_allowed` for a service that it may use.
        Sequence: a request is parsed before the entry has a bundle and admitted
        after it.
        Cause: the request had no service, and no customer may use that.
        """
        customer = Customer('c', services=('portal',))
        bundle = bundle_of(Declaration(generation=1, customers=(customer,)))
        head = CallHead(
            request_id='r1',
            customer='c',
            budget_s=1,
            idempotent=False,
            priority=5,
        )
        req = CallerRequest(head=head, service='')
        ended = Admission(1).enter(req, Snapshot(bundle=bundle), now=0)
        assert isinstance(ended, FinalOutcome)
        assert (ended.http_status, ended.code) == (503, 'no_configuration')
        assert ended.retry_after_s > 0
