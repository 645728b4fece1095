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


def dispatch(*, repeatable=False, most_sends=2, limit_at=10.0):
    return Dispatch(
        repeatable=repeatable, most_sends=most_sends, limit_at=limit_at
    )


def after(request, ending, now=0.0, *, has_budget=True):
    return request.after(ending, now=now, take_retry=lambda: has_budget)


class TestOnce:
    def test_isnt_sent_again_once_it_may_have_run(self):
        """A notice went out twice.

        Symptom: a household gets two calls. Sequence: the upstream runs the
        request, its answer is lost, the entry sends it to another. Cause: a
        broken connection was taken for a request that hadn't run.
        """
        request = dispatch()
        request.on_sent('a', now=0)
        assert isinstance(after(request, Broken('reset')), Fail)
        with pytest.raises(InvariantError):
            request.on_sent('b', now=0)

    def test_goes_elsewhere_when_the_upstream_says_it_didnt_run(self):
        request = dispatch()
        request.on_sent('a', now=0)
        assert isinstance(after(request, NotRun('full')), SendAgain)
        request.on_sent('b', now=0)
        assert isinstance(after(request, NotRun('full')), Refuse)

    def test_goes_elsewhere_when_nothing_was_sent(self):
        request = dispatch(most_sends=1)
        for _ in range(3):
            assert isinstance(after(request, NotSent('refused')), SendAgain)
        request.on_sent('d', now=0)

    def test_is_never_said_not_to_have_run_after_it_was_sent(self):
        request = dispatch()
        request.on_sent('a', now=0)
        assert isinstance(request.refuse('out of time'), Fail)

    def test_a_servers_error_is_passed_on(self):
        request = dispatch()
        request.on_sent('a', now=0)
        assert isinstance(after(request, Answered(500)), Relay)


class TestRepeatable:
    def test_a_servers_error_is_tried_elsewhere(self):
        request = dispatch(repeatable=True)
        request.on_sent('a', now=0)
        assert isinstance(after(request, Answered(500)), SendAgain)
        request.on_sent('b', now=0)
        assert isinstance(after(request, Answered(500)), Relay)

    def test_the_shared_budget_is_asked(self):
        request = dispatch(repeatable=True)
        request.on_sent('a', now=0)
        ending = Broken('reset')
        assert isinstance(after(request, ending, has_budget=False), Fail)

    def test_nothing_is_sent_shortly_before_the_limit(self):
        request = dispatch(repeatable=True)
        assert not request.may_send(9.99)
        assert isinstance(after(request, NotSent('x'), 9.99), Refuse)


def may_send(machine):
    return machine.verdict is None and not machine.is_out


def is_out(machine):
    return machine.is_out


def has_ended(machine):
    return machine.verdict is not None


class DispatchMachine(RuleBasedStateMachine):
    """Any order of endings; the books of upstreams beside the aggregate."""

    @initialize(repeatable=st.booleans(), most=st.integers(1, 3))
    def begin(self, repeatable, most):
        self.request = dispatch(repeatable=repeatable, most_sends=most)
        self.most = most
        self.now = 0.0
        self.sends = 0
        self.may_have_run = 0
        self.is_out = False
        self.verdict = None

    @precondition(may_send)
    @rule()
    def send(self):
        if not self.request.may_send(self.now):
            self.verdict = self.request.refuse('no time')
            return
        self.sends += 1
        self.request.on_sent(f'u{self.sends}', now=self.now)
        self.is_out = True

    @precondition(is_out)
    @rule(
        ending=st.sampled_from(
            [NotRun('full'), Broken('reset'), Answered(200), Answered(500)]
        ),
        has_budget=st.booleans(),
        took_s=st.floats(0, 6),
    )
    def end(self, ending, has_budget, took_s):
        self.now += took_s
        self.is_out = False
        if not isinstance(ending, NotRun):
            self.may_have_run += 1
        verdict = after(self.request, ending, self.now, has_budget=has_budget)
        self.verdict = None if isinstance(verdict, SendAgain) else verdict

    @precondition(has_ended)
    @rule(repeatable=st.booleans(), most=st.integers(1, 3))
    def take_the_next_request(self, repeatable, most):
        self.begin(repeatable=repeatable, most=most)

    @invariant()
    def keeps_its_promises(self):
        if not hasattr(self, 'request'):
            return
        assert self.sends <= self.most
        if not self.request.repeatable:
            assert self.may_have_run <= 1
        if isinstance(self.verdict, Refuse):
            assert not self.may_have_run


TestAnyOrder = DispatchMachine.TestCase
