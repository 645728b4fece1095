"""Ages that processes tell each other, beside datagrams that are read late."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from crowrudder_daemon.fleet._peers_task import HEARTBEAT_INTERVAL_S
from support.late_gossip import BOUND_S, LateGossip

LATE_S = (0.001, 0.05, 0.3)
SIZES = (2, 8, 44)
SETTLED_S = 4.0
SILENCE_S = 20.0
HOPS = 3
"""Heartbeats until nearly all processes know what one of them knows."""

late = pytest.mark.parametrize('late_s', LATE_S)
sizes = pytest.mark.parametrize('size', SIZES)


class TestSilentPlatform:
    """Nobody may deny a key for good by records that nobody has confirmed."""

    @late
    @sizes
    def test_confirmations_grow_old_while_they_are_told_on(self, size, late_s):
        """Guards against final denials by confirmations that seem young."""
        with LateGossip(size, late_s=late_s) as net:
            net.run(SETTLED_S, confirms=True)
            net.run(BOUND_S)
            net.check_beliefs()
            net.run(SILENCE_S)
            net.check_beliefs()
            current = [
                ip
                for ip, entry in net.entries.items()
                if entry.catalog.is_current()
            ]
            assert not current

    @late
    @sizes
    def test_confirmations_of_a_working_platform_stay_young(self, size, late_s):
        """Guards against proofs that take so long that requests are refused."""
        with LateGossip(size, late_s=late_s) as net:
            net.run(SETTLED_S, confirms=True)
            for _ in range(10):
                net.run(HEARTBEAT_INTERVAL_S, confirms=True)
                for entry in net.entries.values():
                    age_s = net.now - entry.confirmed_at
                    way_s = 2 * late_s + HEARTBEAT_INTERVAL_S
                    assert age_s <= HOPS * way_s * 1.1


class TestDeadEntry:
    """A dead entry isn't offered to callers."""

    @late
    @sizes
    def test_it_is_listed_no_longer_than_beside_punctual_readers(
        self, size, late_s
    ):
        """Guards against a dead entry that messages read late keep alive."""
        listed_s = {}
        for each_s in (LATE_S[0], late_s):
            with LateGossip(size, late_s=each_s) as net:
                net.run(SETTLED_S, confirms=True)
                ip = net.ips[-1]
                assert all(
                    ip in entry.live_ips() for entry in net.entries.values()
                )
                net.end(ip)
                ended_at = net.now
                while any(
                    ip in entry.live_ips() for entry in net.entries.values()
                ):
                    assert net.now < ended_at + SILENCE_S
                    net.run(0.05)
                listed_s[each_s] = net.now - ended_at
        assert listed_s[late_s] <= 1.3 * listed_s[LATE_S[0]]

    @late
    @sizes
    def test_live_entries_stay_listed(self, size, late_s):
        """Guards against live entries that miss their proof."""
        with LateGossip(size, late_s=late_s) as net:
            net.run(SETTLED_S)
            for _ in range(40):
                net.run(HEARTBEAT_INTERVAL_S / 2)
                for entry in net.entries.values():
                    assert entry.live_ips() == set(net.ips)


PROCESSES = 4
processes = st.integers(0, PROCESSES - 1)


class LateMessages(RuleBasedStateMachine):
    """Messages that are late, lost, doubled and reordered, and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.net = LateGossip(PROCESSES)

    def teardown(self) -> None:
        self.net.close()

    @rule(number=processes)
    def send(self, number: int) -> None:
        self.net.send_heartbeat(self.net.ips[number])

    @rule(number=processes)
    def confirm(self, number: int) -> None:
        self.net.confirm(self.net.ips[number])

    @rule(passed_s=st.floats(0.0005, 2))
    def wait(self, passed_s: float) -> None:
        self.net.now += passed_s

    @rule(number=processes)
    def restart(self, number: int) -> None:
        self.net.restart(self.net.ips[number])

    @precondition(lambda machine: machine.net.in_flight)
    @rule(pick=st.integers(0, 99), doubled=st.booleans())
    def deliver(self, pick: int, *, doubled: bool) -> None:
        index = pick % len(self.net.in_flight)
        sent = self.net.in_flight[index]
        if not doubled:
            del self.net.in_flight[index]
        self.net.read(sent)

    @rule()
    def deliver_all(self) -> None:
        waiting, self.net.in_flight = self.net.in_flight, []
        for sent in waiting:
            self.net.read(sent)

    @precondition(lambda machine: machine.net.in_flight)
    @rule(pick=st.integers(0, 99))
    def lose(self, pick: int) -> None:
        del self.net.in_flight[pick % len(self.net.in_flight)]

    @invariant()
    def nobody_believes_anything_to_be_younger_than_it_is(self) -> None:
        self.net.check_beliefs()


TestLateMessages = LateMessages.TestCase
TestLateMessages.settings = settings(max_examples=60, stateful_step_count=60)
