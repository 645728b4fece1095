from __future__ import annotations

import json
import logging

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from crowrudder_daemon.entry._handlers import make_application
from crowrudder_daemon.entry._requests import RequestsTask
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.rpc import PeerClient
from support.aio import run
from support.settings import entry_settings


async def answer_of(path):
    """Call an entry that has no configuration yet."""
    runtime = Runtime(cfg=entry_settings(), log=logging.getLogger('test'))
    peers = PeerClient()
    requests = RequestsTask(runtime, peers)
    requests.start()
    socket, port = bind_unused_port()
    http = HTTPServer(make_application(runtime, requests))
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
    def test_caller_is_not_blamed(self, path):
        """An entry that has just started knows no service yet.

        Symptom: callers of a plain service got 404 `unknown_service`, which
        tells them never to try again.
        Sequence: an entry is killed and started again; a call comes before
        the entry has read the bundle.
        Cause: the service was looked up before the absence of a bundle.
        """
        answer = run(answer_of(path))
        code = json.loads(answer.body)['error']['code']
        assert (answer.code, code) == (503, 'no_configuration')
        assert answer.headers['X-Outcome'] == 'not_run'
