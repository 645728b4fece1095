"""Open connections between processes that go silent for good."""

from __future__ import annotations

import asyncio
import time

import pytest

from crowrudder_daemon.rpc import PeerClient, PeerServer
from crowrudder_daemon.rpc._options import KEEPALIVE_MS, KEEPALIVE_TIMEOUT_MS
from crowrudder_model import PeerLostError
from crowrudder_model.messages import ProbeReply, ProbeRequest
from crowrudder_model.rpc import PROBE
from support.aio import run
from support.severed import severable

NOTICED_S = (KEEPALIVE_MS + KEEPALIVE_TIMEOUT_MS) / 1000
RECONNECT_S = 1.5
"""The connection is opened anew, and a call on the old one ends first."""


async def call(client, relay, timeout_s):
    await client.call(relay.address, PROBE, ProbeRequest(), timeout_s=timeout_s)


async def answered_after_s(client, relay, timeout_s):
    """Call until an answer comes; return how long that took."""
    began_at = time.monotonic()
    while True:
        try:
            await call(client, relay, timeout_s)
        except PeerLostError:
            await asyncio.sleep(0.1)
        else:
            return time.monotonic() - began_at


class TestSilentConnection:
    """Guards against calls that all time out on a connection that went silent.

    Both ends still hold it open, and its bytes are acknowledged, so that only
    an unanswered ping shows that nobody is there.
    """

    @pytest.mark.parametrize('timeout_s', [1.0, 10.0])
    def test_it_is_replaced_after_an_unanswered_ping(self, timeout_s):
        async def check():
            server = PeerServer('127.0.0.1:0')
            server.add(PROBE, answer_probe)
            await server.start()
            client = PeerClient()
            async with severable(f'127.0.0.1:{server.port}') as relay:
                await call(client, relay, timeout_s)
                relay.sever()
                took_s = await answered_after_s(client, relay, timeout_s)
                assert took_s < NOTICED_S + RECONNECT_S
                assert relay.connections == 2
            await client.close()
            await server.stop(0)

        run(check())


async def answer_probe(_request, _context):
    return ProbeReply()
