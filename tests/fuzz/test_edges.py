from __future__ import annotations

import asyncio

import pytest
from _caller import EntryAddress
from _hostile import HostileAnswer, HostileCall, hostile_calls, send_call
from attrs import evolve
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from crowrudder_daemon.entry._handlers import make_application
from crowrudder_daemon.entry._open_answers import OpenAnswers
from crowrudder_daemon.entry._requests import SnapshotReceived
from crowrudder_daemon.entry._size_gate import SizeGate
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_model.declared import Customer, Service, bundle_of
from support.aio import run
from support.path import BUNDLE, InProcessFleet

DECLARED = BUNDLE.declaration
SNAPSHOT = Snapshot(
    bundle_of(
        evolve(
            DECLARED,
            services=(*DECLARED.services, Service('portal', kind='plain')),
            customers=(
                Customer('breeder-portal', services=('listing', 'portal')),
            ),
        )
    )
)
CALL = HostileCall(name='n', payload=b'')
ERROR = b'{"error":{"code":"c","message":"m","outcome":"o","request_id":"r"}}'
REFUSED = HostileAnswer(
    call=CALL,
    status=400,
    headers={'x-outcome': 'not_run', 'x-request-id': 'r'},
    body=ERROR,
)


async def failed_checks() -> list[str]:
    """Send all hostile calls to one entry at once; return failed checks."""
    async with InProcessFleet(agents=0) as path:
        (entry,) = path.entries
        entry.requests.post(SnapshotReceived(SNAPSHOT))
        await asyncio.sleep(0)
        max_bytes = entry.runtime.cfg.limits.max_body_bytes
        application = make_application(
            entry.runtime, entry.requests, OpenAnswers()
        )
        server = HTTPServer(
            SizeGate(application, max_bytes=max_bytes),
            max_body_size=max_bytes,
        )
        sockets = bind_sockets(0, '127.0.0.1')
        server.add_sockets(sockets)
        address = EntryAddress('e', *sockets[0].getsockname())
        answers = await asyncio.gather(
            *(send_call(address, call) for call in hostile_calls())
        )
        server.stop()
        await server.close_all_connections()
    return [answer.violation() for answer in answers if answer.violation()]


class TestHostileCalls:
    """Guard against callers that get internal errors or no error details.

    Without an answer of its own, each of these calls gets an unsuitable
    default: a method that isn't served 405 with the outcome `unknown`; an
    unknown path no `X-Request-Id`; an undeclared adapter 503, so that its
    caller retries forever; a body over `max_body_bytes` a 400 without error
    body. A plain service named as the model is treated as a model.
    """

    def test_each_gets_its_own_error(self):
        assert run(failed_checks()) == []


class TestCheck:
    @pytest.mark.parametrize(
        'answer',
        [
            evolve(REFUSED, status=500),
            evolve(REFUSED, status=0),
            evolve(REFUSED, hung=True),
            evolve(REFUSED, headers={'x-outcome': 'not_run'}),
            evolve(REFUSED, headers={'x-request-id': 'r'}),
            evolve(REFUSED, body=b'[]'),
            evolve(REFUSED, body=ERROR.replace(b'code', b'cod')),
        ],
    )
    def test_each_incomplete_answer_is_reported(self, answer):
        assert REFUSED.violation() == ''
        assert answer.violation().startswith('n: ')
