from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_model import (
    MalformedMessageError,
    decode_datagram,
    encode_message,
)
from crowrudder_model.messages import (
    ChunkInventory,
    EngineLoad,
    ForwardedStatus,
    Heartbeat,
    IncarnationEnd,
    MemberStatus,
    SuspicionReport,
    SuspicionUpdate,
)
from crowrudder_model.statements import (
    LeavingReport,
    LeavingUpdate,
    LimitReport,
    LimitUpdate,
)

STATUS = MemberStatus(
    ip='10.1.0.40',
    role='entry',
    incarnation='0123456789abcdef',
    started_at=1.7e9,
    callers='10.1.0.40:8005',
    failure_domain='a-failure-domain',
    region='a-region',
    ready=True,
)
BEAT = Heartbeat(
    status=STATUS,
    revision=400,
    confirmed_s=0.25,
    others=tuple(ForwardedStatus(STATUS, 0.5) for _ in range(8)),
)
LOAD = EngineLoad(
    address='10.1.0.43:8001', reachable=True, weights=3, running=16, queued=2
)
INVENTORY = ChunkInventory(
    version='model@3', manifest='f' * 64, chunks=b'\xff' * 6, passes=b''
)
SUSPECTS = SuspicionUpdate(
    tuple(
        SuspicionReport(
            digest=2**64 - 1 - each,
            ends=tuple(
                IncarnationEnd(f'i-{number:010x}', 60_000, is_fresh=True)
                for number in range(4)
            ),
        )
        for each in range(8)
    )
)
LEAVING = LeavingUpdate((LeavingReport('i-0123456789', 1_700_000_000_000),))
LIMITS = LimitUpdate((LimitReport('i-0123456789', 1.6, 250),))
ETHERNET_BYTES = 1472


class TestDatagrams:
    @pytest.mark.parametrize(
        'datagram', [BEAT, LOAD, INVENTORY, SUSPECTS, LIMITS, LEAVING]
    )
    def test_tag_selects_the_message_class(self, datagram):
        assert decode_datagram(encode_message(datagram)) == datagram

    @pytest.mark.parametrize(
        'datagram', [BEAT, LOAD, INVENTORY, SUSPECTS, LIMITS, LEAVING]
    )
    def test_datagram_fits_into_one_packet(self, datagram):
        assert len(encode_message(datagram)) <= ETHERNET_BYTES

    def test_a_load_is_a_tenth_of_a_heartbeat(self):
        """Guard against load reports that take a tenth of each slow link.

        Each change of load is sent to every entry. With one datagram class
        for everything, reports carried field names and the sender's complete
        status, and streams paused though few weights moved.
        """
        assert len(encode_message(LOAD)) <= 48
        assert len(encode_message(INVENTORY)) <= 120

    @given(payload=st.binary(max_size=120))
    def test_any_bytes_are_a_datagram_or_an_error(self, payload):
        try:
            decode_datagram(payload, peer='10.0.0.1')
        except MalformedMessageError as exc:
            assert exc.peer == '10.0.0.1'

    def test_suspicion_report_is_a_tenth_of_a_packet(self):
        """Reports are sent to all entries while upstreams end in succession."""
        one = SuspicionUpdate(SUSPECTS.reports[:1])
        assert len(encode_message(one)) <= ETHERNET_BYTES / 10

    @given(cut=st.integers(0, 200), flip=st.integers(0, 200))
    def test_a_spoilt_datagram_is_a_datagram_or_an_error(self, cut, flip):
        payload = bytearray(encode_message(BEAT))
        payload[flip % len(payload)] ^= 0x41
        with pytest.raises(MalformedMessageError):
            decode_datagram(bytes(payload[: cut % len(payload)]))
