from __future__ import annotations

import asyncio
from collections import deque

import pytest

from crowrudder_daemon.http._body_relay import BodyRelay
from support.aio import run

PAUSE_S = 0.05


class Body:
    """Buffered parts, the consumed ones, and the pauses of reading."""

    def __init__(self, *parts: bytes | None) -> None:
        self.buffered = deque(parts)
        self.consumed: list[bytes] = []
        self.pauses: list[bool] = []
        self.sent: asyncio.Future[None] | None = None

    def next_part(self):
        return self.buffered.popleft() if self.buffered else b''

    def consume(self, part):
        self.consumed.append(part)
        return self.sent

    def set_paused(self, *, is_paused):
        self.pauses.append(is_paused)

    def relay(self):
        return BodyRelay(
            self.consume, self.next_part, self.set_paused, pause_s=PAUSE_S
        )


class TestBodyRelay:
    def test_parts_are_consumed_as_they_arrive(self):
        async def check():
            body = Body(b'a')
            relay = body.relay()
            job = asyncio.ensure_future(relay.run())
            await asyncio.sleep(0)
            body.buffered += (b'b', b'c')
            relay.on_bytes()
            assert body.consumed == [b'a', b'b', b'c']
            body.buffered.append(None)
            relay.on_bytes()
            await job

        run(check())

    def test_slow_reader_delays_the_next_part(self):
        """A slow caller's stream must not accumulate in the entry's memory."""

        async def check():
            body = Body(b'a', b'b', None)
            body.sent = asyncio.get_running_loop().create_future()
            job = asyncio.ensure_future(body.relay().run())
            await asyncio.sleep(2 * PAUSE_S)
            assert body.consumed == [b'a']
            assert body.pauses == [True]
            body.sent.set_result(None)
            await job
            assert body.consumed == [b'a', b'b']
            assert body.pauses == [True, False]

        run(check())

    def test_stalled_sender_times_out(self):
        """Without a timeout, a stalled stream is waited for indefinitely."""

        async def check():
            with pytest.raises(TimeoutError):
                await Body(b'a').relay().run()

        run(check())

    def test_each_part_restarts_the_timeout(self):
        async def check():
            body = Body(b'a')
            relay = body.relay()
            job = asyncio.ensure_future(relay.run())
            for _ in range(4):
                await asyncio.sleep(PAUSE_S / 2)
                body.buffered.append(b'b')
                relay.on_bytes()
            assert not job.done()
            body.buffered.append(None)
            relay.on_bytes()
            await job

        run(check())

    def test_exception_of_the_consumer_is_raised_by_run(self):
        """Otherwise it goes unnoticed that the caller has left."""

        async def check():
            body = Body(b'a')
            relay = BodyRelay(
                _refuse, body.next_part, body.set_paused, pause_s=PAUSE_S
            )
            with pytest.raises(ConnectionError):
                await relay.run()

        run(check())


def _refuse(_part):
    raise ConnectionError
