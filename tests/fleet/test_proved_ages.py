"""Ages that processes tell each other, beside datagrams that are read late."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from support.late_gossip import LateGossip

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
