"""Detection of a link that becomes narrow during a transfer."""

from __future__ import annotations

import pytest

from crowrudder_core.transfer import FromPeer, PeerInventory, full
from crowrudder_core.transfer._inbound_link import (
    NARROW_HOLD_S,
    WINDOW_S,
    InboundLink,
)
from crowrudder_daemon.fleet_agent._library import TRANSFER_PACING
from support.weights_versions import begin, version

LINK = 100_000.0
TICK_S = 0.05


def link_after(rate, *, reads=3):
    """Return a link that received bytes at a rate, and the time at the end."""
    inbound_link = InboundLink(LINK, TRANSFER_PACING['narrow_share'])
    now = 0.0
    while now < 2 * WINDOW_S:
        inbound_link.on_reads(reads, now=now)
        inbound_link.on_bytes(int(rate * TICK_S), now=now)
        now += TICK_S
    return inbound_link, now


class TestInboundLink:
    @pytest.mark.parametrize(
        ('share', 'is_narrow'), [(0.0, True), (0.15, True), (0.5, False)]
    )
    def test_link_is_narrow_by_its_received_bytes(self, share, is_narrow):
        inbound_link, now = link_after(share * LINK)
        assert inbound_link.is_narrow(now) is is_narrow

    def test_single_read_does_not_make_a_link_narrow(self):
        inbound_link, now = link_after(0, reads=1)
        assert not inbound_link.is_narrow(now)

    def test_concurrent_reads_are_tried_again_after_the_hold_time(self):
        inbound_link, now = link_after(0)
        assert inbound_link.is_narrow(now)
        assert not inbound_link.is_narrow(now + NARROW_HOLD_S)

    def test_old_receptions_are_discarded(self):
        """Guards against memory growth with every piece of a long transfer."""
        inbound_link = InboundLink(LINK, TRANSFER_PACING['narrow_share'])
        for piece in range(10_000):
            inbound_link.on_bytes(1, now=piece * TICK_S)
        assert len(inbound_link._received) <= 2 * WINDOW_S / TICK_S


class TestReadsOverANarrowLink:
    """Guards against reads that are abandoned before their bytes arrive.

    No chunk arrived in seven seconds. The engine could not be closed at the
    end of its version, and requests cancelled long before started there.
    """

    def transfer_with_reads(self, chunks=8):
        payloads = [bytes([each]) * 16 for each in range(chunks)]
        transfer = begin(
            version('m@2', payloads), host='a', hosts=('a', 'b', 'c', 'd')
        )
        transfer.inbound_link = InboundLink(
            LINK, TRANSFER_PACING['narrow_share']
        )
        for host in ('b', 'c', 'd'):
            stock = PeerInventory(
                host=host, chunks=full(transfer.count), slots=3
            )
            transfer.on_inventory(stock, now=0)
        reads = transfer.next_reads(now=0)
        assert len([each for each in reads if isinstance(each, FromPeer)]) > 1
        transfer.next_reads(now=WINDOW_S)
        return transfer

    def test_reads_are_not_abandoned_early(self):
        transfer = self.transfer_with_reads()
        stall_s = transfer.pace.stall_s
        assert not transfer.overdue(now=stall_s)

    def test_no_further_read_starts(self):
        transfer = self.transfer_with_reads()
        assert not transfer.next_reads(now=transfer.pace.stall_s - TICK_S)

    def test_reads_are_abandoned_after_the_longer_timeout(self):
        transfer = self.transfer_with_reads()
        later = 5 * transfer.pace.stall_s
        transfer.next_reads(now=later)
        assert transfer.overdue(now=later)
