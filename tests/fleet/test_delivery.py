"""Observation of requests whose bytes the upstream's host acknowledges late."""

from __future__ import annotations

import asyncio

from attrs import define

from crowrudder_core.transit import TransitDelay
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._delivery import (
    POLL_INTERVAL_S,
    Delivery,
    DeliveryWatch,
)
from support.aio import run


@define
class Queue:
    """A connection with unacknowledged bytes."""

    unsent_bytes: int


class TestDelivery:
    def test_records_how_long_bytes_were_unacknowledged(self):
        queue = Queue(617)
        delivery = Delivery(queue=queue, transit=TransitDelay(), sent_at=10)
        assert delivery.check(10.3)
        queue.unsent_bytes = 0
        assert not delivery.check(10.5)
        assert delivery.unacknowledged_s == 10.3 - 10
        assert delivery.unacknowledged_bytes == 0

    def test_a_late_check_of_acknowledged_bytes_shows_no_delay(self):
        """Guards against a busy event loop that looks like a slow link."""
        delivery = Delivery(queue=Queue(0), transit=TransitDelay(), sent_at=10)
        assert not delivery.check(12)
        assert delivery.unacknowledged_s == 0

    def test_acknowledged_bytes_end_an_earlier_delay(self):
        transit = TransitDelay()
        transit.on_unacknowledged(sent_at=9, now=9.9)
        assert transit.delay_s(10)
        Delivery(queue=Queue(0), transit=transit, sent_at=10).check(10.05)
        assert not transit.delay_s(10.05)

    def test_a_closed_connection_keeps_what_was_recorded(self):
        queue = Queue(617)
        delivery = Delivery(queue=queue, transit=TransitDelay(), sent_at=10)
        delivery.check(10.3)
        queue.unsent_bytes = -1
        assert not delivery.check(11)
        assert delivery.unacknowledged_bytes == 617


class TestDeliveryWatch:
    def test_checks_until_the_bytes_are_acknowledged(self):
        async def check():
            watch = DeliveryWatch()
            queue = Queue(617)
            delivery = watch.start(queue, TransitDelay(), sent_at=clock_s())
            await asyncio.sleep(3 * POLL_INTERVAL_S)
            assert delivery.unacknowledged_s >= POLL_INTERVAL_S
            queue.unsent_bytes = 0
            await asyncio.sleep(2 * POLL_INTERVAL_S)
            assert not delivery.unacknowledged_bytes
            assert not watch._in_transit
            assert watch._timer is None

        run(check())

    def test_a_request_that_ends_is_checked_once_more(self):
        async def check():
            watch = DeliveryWatch()
            delivery = watch.start(
                Queue(617), TransitDelay(), sent_at=clock_s() - 0.01
            )
            watch.finish(delivery)
            assert delivery.unacknowledged_s >= 0.01
            assert not watch._in_transit

        run(check())

    def test_an_error_of_a_check_does_not_end_the_checks(self):
        """Guards against delays that nobody notices after one error."""

        class BrokenQueue:
            @property
            def unsent_bytes(self):
                raise RuntimeError('unforeseen')

        async def check():
            watch = DeliveryWatch()
            sent_at = clock_s()
            broken = watch.start(BrokenQueue(), TransitDelay(), sent_at=sent_at)
            await asyncio.sleep(2 * POLL_INTERVAL_S)
            watch._in_transit.discard(broken)
            late = watch.start(Queue(617), TransitDelay(), sent_at=sent_at)
            await asyncio.sleep(3 * POLL_INTERVAL_S)
            assert late.unacknowledged_bytes == 617

        run(check())
