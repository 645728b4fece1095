from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.limits import SharedRetryBudget

SHARE = 0.2
EXTRA = 10
WINDOW_S = 10.0
PAUSES_S = st.floats(0, 0.5)


SETTLED_S = 30.0


def make_budget():
    return SharedRetryBudget(share=SHARE, extra=EXTRA, window_s=WINDOW_S)


def settled_budget(*, share=SHARE, extra=EXTRA, entry_share=1):
    """Return the budget of an entry that started long ago."""
    budget = SharedRetryBudget(share=share, extra=extra, window_s=WINDOW_S)
    for service in ('a', 'b', 's'):
        budget.has(service, entry_share=entry_share, now=0)
    return budget


def send(budget, service, *, now):
    """Spend a retry that arrives at once; return whether it was allowed."""
    permit = budget.take(service, entry_share=1, now=now)
    if permit is None:
        return False
    budget.on_arrived(permit, now=now)
    return True


class TestSharedBudget:
    @given(
        events=st.lists(
            st.tuples(st.integers(0, 2), st.booleans(), st.floats(0, 0.5)),
            max_size=300,
        ),
    )
    def test_three_entries_never_exceed_the_bound_in_any_window(self, events):
        entries = [make_budget() for _ in range(3)]
        now = 0.0
        firsts, repeats = [], []
        for number, is_first, pause_s in events:
            now += pause_s
            if is_first:
                entries[number].on_first('s', now=now)
                firsts.append(now)
            elif entries[number].take('s', entry_share=1 / 3, now=now):
                repeats.append(now)
                since = now - WINDOW_S
                requests = sum(at >= since for at in firsts)
                repeated = sum(at >= since for at in repeats)
                assert repeated <= SHARE * requests + EXTRA

    def test_checking_spends_nothing(self):
        one = settled_budget(share=0, extra=2)
        assert one.has('a', entry_share=1, now=SETTLED_S)
        assert one.take('a', entry_share=1, now=SETTLED_S)
        assert not one.has('a', entry_share=1, now=SETTLED_S)

    def test_each_service_has_its_own_budget(self):
        one = settled_budget(share=0, extra=2)
        assert send(one, 'a', now=SETTLED_S)
        assert not send(one, 'a', now=SETTLED_S)
        assert send(one, 'b', now=SETTLED_S)

    def test_arrivals_older_than_the_window_expire(self):
        one = settled_budget(share=0, extra=2)
        assert send(one, 'a', now=SETTLED_S)
        assert not send(one, 'a', now=SETTLED_S + 9)
        assert send(one, 'a', now=SETTLED_S + 11)

    @given(
        events=st.lists(
            st.tuples(
                st.sampled_from(['first', 'take', 'arrive', 'back']), PAUSES_S
            ),
            max_size=200,
        ),
    )
    def test_what_is_given_back_never_exceeds_the_bound(self, events):
        """Guards against arrivals beyond the budget once some were unsent."""
        budget = settled_budget()
        now = SETTLED_S
        taken = []
        firsts, repeats = [], []
        for what, pause_s in events:
            now += pause_s
            if what == 'first':
                budget.on_first('s', now=now)
                firsts.append(now)
            elif what == 'take':
                permit = budget.take('s', entry_share=1, now=now)
                if permit is not None:
                    taken.append(permit)
            elif taken and what == 'back':
                budget.give_back(taken.pop(0), now=now)
            elif taken:
                budget.on_arrived(taken.pop(0), now=now)
                repeats.append(now)
                since = now - WINDOW_S
                requests = sum(at >= since for at in firsts)
                repeated = sum(at >= since for at in repeats)
                assert repeated <= SHARE * requests + EXTRA

    def test_what_is_given_back_can_be_spent_again(self):
        budget = settled_budget()
        taken = []
        while permit := budget.take('s', entry_share=1, now=SETTLED_S):
            taken.append(permit)
        assert taken
        budget.give_back(taken.pop(), now=SETTLED_S)
        assert budget.take('s', entry_share=1, now=SETTLED_S)
        assert not budget.has('s', entry_share=1, now=SETTLED_S)

    def test_a_permit_is_given_back_once(self):
        """Guards against a retry that was returned and forgotten twice."""
        budget = settled_budget()
        permit = budget.take('s', entry_share=1, now=SETTLED_S)
        while budget.has('s', entry_share=1, now=SETTLED_S):
            assert budget.take('s', entry_share=1, now=SETTLED_S)
        budget.give_back(permit, now=SETTLED_S)
        assert budget.take('s', entry_share=1, now=SETTLED_S)
        budget.give_back(permit, now=SETTLED_S)
        assert not budget.has('s', entry_share=1, now=SETTLED_S)

    def test_what_may_still_arrive_is_not_earned_again(self):
        """Guards against retries of several windows that arrive in one."""
        budget = settled_budget(share=0)
        spent = 0
        for second in range(60):
            while budget.take('s', entry_share=1, now=SETTLED_S + second):
                spent += 1
        assert 0 < spent <= EXTRA

    def test_a_part_of_a_retry_is_earned_and_not_spent(self):
        """Guards against more arrivals than the bound in a large fleet."""
        budget = settled_budget(share=0, extra=EXTRA, entry_share=0.001)
        assert budget.take('s', entry_share=0.001, now=1000) is None
