"""A link that narrows while a version is read over it."""

from __future__ import annotations

import pytest

from crowrudder_core.transfer import FromPeer, Stock, full
from crowrudder_core.transfer._inbound_link import HOLD_S, SPAN_S, Inflow
from crowrudder_daemon.fleet_agent._library import PACE
from support.weights_versions import begin, version

LINK = 100_000.0
TICK_S = 0.05


def inflow_after(rate, *, reads=3):
    """Let bytes come at a rate beside so many reads; give both at the end."""
    inflow = Inflow(LINK, PACE['narrow_share'])
    now = 0.0
    while now < 2 * SPAN_S:
        inflow.on_reads(reads, now=now)
        inflow.on_bytes(int(rate * TICK_S), now=now)
        now += TICK_S
    return inflow, now


class TestInflow:
    @pytest.mark.parametrize(
        ('share', 'is_narrow'), [(0.0, True), (0.15, True), (0.5, False)]
    )
    def test_a_link_is_judged_by_what_comes_over_it(self, share, is_narrow):
        inflow, now = inflow_after(share * LINK)
        assert inflow.is_narrow(now) is is_narrow

    def test_one_read_alone_tells_nothing_of_the_link(self):
        inflow, now = inflow_after(0, reads=1)
        assert not inflow.is_narrow(now)

    def test_more_is_tried_after_a_while(self):
        inflow, now = inflow_after(0)
        assert inflow.is_narrow(now)
        assert not inflow.is_narrow(now + HOLD_S)

    def test_what_came_long_ago_is_forgotten(self):
        """A long transfer grew its process with every piece."""
        inflow = Inflow(LINK, PACE['narrow_share'])
        for piece in range(10_000):
            inflow.on_bytes(1, now=piece * TICK_S)
        assert len(inflow._came) <= 2 * SPAN_S / TICK_S


class TestReadsOverANarrowLink:
    """Guards against reads that are given up before their bytes come through.

    No chunk arrived in seven seconds; the engine could not be closed at its
    version's end, and what had been taken back long before began there.
    """

    def reading(self, chunks=8):
        payloads = [bytes([each]) * 16 for each in range(chunks)]
        one = begin(
            version('m@2', payloads), host='a', hosts=('a', 'b', 'c', 'd')
        )
        one.inflow = Inflow(LINK, PACE['narrow_share'])
        for host in ('b', 'c', 'd'):
            stock = Stock(host=host, chunks=full(one.count), slots=3)
            one.on_stock(stock, now=0)
        reads = one.next_reads(now=0)
        assert len([each for each in reads if isinstance(each, FromPeer)]) > 1
        one.next_reads(now=SPAN_S)
        return one

    def test_they_are_not_given_up(self):
        one = self.reading()
        stall_s = one.pace.stall_s
        assert not one.overdue(now=stall_s)

    def test_nothing_more_is_asked_for(self):
        one = self.reading()
        assert not one.next_reads(now=one.pace.stall_s - TICK_S)

    def test_they_are_given_up_in_the_end(self):
        one = self.reading()
        later = 5 * one.pace.stall_s
        one.next_reads(now=later)
        assert one.overdue(now=later)
