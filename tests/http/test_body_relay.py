from __future__ import annotations

import asyncio
from collections import deque

import pytest

from crowrudder_daemon.http._body_relay import BodyRelay
from support.aio import run

PAUSE_S = 0.05


class Body:
    """Parts that are at hand, and what became of them."""

    def __init__(self, *parts: bytes | None) -> None:
        self.at_hand = deque(parts)
        self.taken: list[bytes] = []
        self.holds: list[bool] = []
        self.sent: asyncio.Future[None] | None = None

    def next_part(self):
        return self.at_hand.popleft() if self.at_hand else b''

    def take(self, part):
        self.taken.append(part)
        return self.sent

    def hold(self, *, is_held):
        self.holds.append(is_held)

    def relay(self):
        return BodyRelay(self.take, self.next_part, self.hold, pause_s=PAUSE_S)


class TestBodyRelay:
    def test_parts_are_taken_in_the_turn_in_which_they_come(self):
        async def check():
            body = Body(b'a')
            relay = body.relay()
            job = asyncio.ensure_future(relay.run())
            await asyncio.sleep(0)
            body.at_hand += (b'b', b'c')
            relay.on_bytes()
            assert body.taken == [b'a', b'b', b'c']
            body.at_hand.append(None)
            relay.on_bytes()
            await job

        run(check())

    def test_slow_reader_holds_up_the_next_part(self):
        """A slow caller let its stream pile up in the entry's memory."""

        async def check():
            body = Body(b'a', b'b', None)
            body.sent = asyncio.get_running_loop().create_future()
            job = asyncio.ensure_future(body.relay().run())
            await asyncio.sleep(2 * PAUSE_S)
            assert body.taken == [b'a']
            assert body.holds == [True]
            body.sent.set_result(None)
            await job
            assert body.taken == [b'a', b'b']
            assert body.holds == [True, False]

        run(check())

    def test_pause_of_the_sender_ends_it(self):
        """A stream that stands still was waited for without an end."""

        async def check():
            with pytest.raises(TimeoutError):
                await Body(b'a').relay().run()

        run(check())

    def test_parts_put_the_end_off(self):
        async def check():
            body = Body(b'a')
            relay = body.relay()
            job = asyncio.ensure_future(relay.run())
            for _ in range(4):
                await asyncio.sleep(PAUSE_S / 2)
                body.at_hand.append(b'b')
                relay.on_bytes()
            assert not job.done()
            body.at_hand.append(None)
            relay.on_bytes()
            await job

        run(check())

    def test_fault_of_the_taker_is_raised_where_the_body_is_waited_for(self):
        """A caller that left was found out by nobody."""

        async def check():
            body = Body(b'a')
            relay = BodyRelay(
                _refuse, body.next_part, body.hold, pause_s=PAUSE_S
            )
            with pytest.raises(ConnectionError):
                await relay.run()

        run(check())


def _refuse(_part):
    raise ConnectionError
