from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from crowrudder_core.dispatch import (
    Answered,
    Broken,
    Dispatch,
    Fail,
    NotRun,
    NotSent,
    Refuse,
    Relay,
    SendAgain,
)
from crowrudder_model import InvariantError


def make_dispatch(*, repeatable=False, max_sends=2, deadline_at=10.0):
    return Dispatch(
        repeatable=repeatable, max_sends=max_sends, deadline_at=deadline_at
    )


def after(request, ending, now=0.0, *, has_budget=True):
    return request.after(ending, now=now, spend_retry=lambda: has_budget)


class TestOnce:
    def test_request_that_may_have_run_is_not_sent_again(self):
        """A lost answer must not make a request run twice.

        The upstream runs the request and its answer is lost. If the broken
        connection counted as a request that hasn't run, the entry would send
        it to another upstream: a notice would go out twice, and a household
        would get two calls.
        """
        request = make_dispatch()
        request.on_sent('a', now=0)
        assert isinstance(after(request, Broken('reset')), Fail)
        with pytest.raises(InvariantError):
            request.on_sent('b', now=0)

    def test_request_reported_as_not_run_is_retried_elsewhere(self):
        request = make_dispatch()
        request.on_sent('a', now=0)
        assert isinstance(after(request, NotRun('full')), SendAgain)
        request.on_sent('b', now=0)
        assert isinstance(after(request, NotRun('full')), Refuse)

    def test_unsent_request_is_retried_elsewhere(self):
        request = make_dispatch(max_sends=1)
        for _ in range(3):
            assert isinstance(after(request, NotSent('refused')), SendAgain)
        request.on_sent('d', now=0)

    def test_sent_request_is_never_refused_as_not_run(self):
        request = make_dispatch()
        request.on_sent('a', now=0)
        assert isinstance(request.refuse('out of time'), Fail)

    def test_server_error_is_relayed(self):
        request = make_dispatch()
        request.on_sent('a', now=0)
        assert isinstance(after(request, Answered(500)), Relay)


class TestRepeatable:
    def test_server_error_is_retried_elsewhere(self):
        request = make_dispatch(repeatable=True)
        request.on_sent('a', now=0)
        assert isinstance(after(request, Answered(500)), SendAgain)
        request.on_sent('b', now=0)
        assert isinstance(after(request, Answered(500)), Relay)

    def test_retry_budget_is_respected(self):
        request = make_dispatch(repeatable=True)
        request.on_sent('a', now=0)
        ending = Broken('reset')
        assert isinstance(after(request, ending, has_budget=False), Fail)

    def test_nothing_is_sent_shortly_before_the_deadline(self):
        request = make_dispatch(repeatable=True)
        assert not request.may_send(9.99)
        assert isinstance(after(request, NotSent('x'), 9.99), Refuse)


def may_send_next(machine):
    return machine.decision is None and not machine.is_in_flight


def is_in_flight(machine):
    return machine.is_in_flight


def has_decision(machine):
    return machine.decision is not None


class DispatchMachine(RuleBasedStateMachine):
    """Any order of outcomes, checked against a separate record of sends."""

    @initialize(repeatable=st.booleans(), max_sends=st.integers(1, 3))
    def begin(self, repeatable, max_sends):
        self.request = make_dispatch(repeatable=repeatable, max_sends=max_sends)
        self.max_sends = max_sends
        self.now = 0.0
        self.sends = 0
        self.may_have_run = 0
        self.is_in_flight = False
        self.decision = None

    @precondition(may_send_next)
    @rule()
    def send(self):
        if not self.request.may_send(self.now):
            self.decision = self.request.refuse('no time')
            return
        self.sends += 1
        self.request.on_sent(f'u{self.sends}', now=self.now)
        self.is_in_flight = True

    @precondition(is_in_flight)
    @rule(
        ending=st.sampled_from(
            [NotRun('full'), Broken('reset'), Answered(200), Answered(500)]
        ),
        has_budget=st.booleans(),
        took_s=st.floats(0, 6),
    )
    def end(self, ending, has_budget, took_s):
        self.now += took_s
        self.is_in_flight = False
        if not isinstance(ending, NotRun):
            self.may_have_run += 1
        decision = after(self.request, ending, self.now, has_budget=has_budget)
        self.decision = None if isinstance(decision, SendAgain) else decision

    @precondition(has_decision)
    @rule(repeatable=st.booleans(), max_sends=st.integers(1, 3))
    def start_next_request(self, repeatable, max_sends):
        self.begin(repeatable=repeatable, max_sends=max_sends)

    @invariant()
    def invariants_hold(self):
        if not hasattr(self, 'request'):
            return
        assert self.sends <= self.max_sends
        if not self.request.repeatable:
            assert self.may_have_run <= 1
        if isinstance(self.decision, Refuse):
            assert not self.may_have_run


TestAnyOrder = DispatchMachine.TestCase
