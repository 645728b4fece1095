from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.limits import SharedRetryBudget

SHARE = 0.2
EXTRA = 10
WINDOW_S = 10.0
PAUSES_S = st.floats(0, 0.5)


def make_budget():
    return SharedRetryBudget(share=SHARE, extra=EXTRA, window_s=WINDOW_S)


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
        one = SharedRetryBudget(share=0, extra=2, window_s=WINDOW_S)
        assert one.has('a', entry_share=1, now=0)
        assert one.take('a', entry_share=1, now=0)
        assert not one.has('a', entry_share=1, now=0)

    def test_each_service_has_its_own_budget(self):
        one = SharedRetryBudget(share=0, extra=2, window_s=WINDOW_S)
        assert one.take('a', entry_share=1, now=0)
        assert not one.take('a', entry_share=1, now=0)
        assert one.take('b', entry_share=1, now=0)

    def test_arrivals_older_than_the_window_expire(self):
        one = SharedRetryBudget(share=0, extra=2, window_s=WINDOW_S)
        assert one.take('a', entry_share=1, now=0)
        assert not one.take('a', entry_share=1, now=9)
        assert one.take('a', entry_share=1, now=11)

    @given(
        events=st.lists(
            st.tuples(st.sampled_from(['first', 'sent', 'unsent']), PAUSES_S),
            max_size=200,
        ),
    )
    def test_what_is_given_back_never_exceeds_the_bound(self, events):
        """Guards against arrivals beyond the budget once some were unsent."""
        budget = make_budget()
        now = 0.0
        unsent = 0
        firsts, repeats = [], []
        for what, pause_s in events:
            now += pause_s
            if what == 'first':
                budget.on_first('s', now=now)
                firsts.append(now)
            elif what == 'back':
                if unsent:
                    budget.give_back('s')
                    unsent -= 1
            elif budget.take('s', entry_share=1, now=now):
                if what == 'unsent':
                    unsent += 1
                    continue
                repeats.append(now)
                since = now - WINDOW_S
                requests = sum(at >= since for at in firsts)
                repeated = sum(at >= since for at in repeats)
                assert repeated <= SHARE * requests + EXTRA

    def test_what_is_given_back_can_be_spent_again(self):
        budget = make_budget()
        spent = 0
        while budget.take('s', entry_share=1, now=1):
            spent += 1
        budget.give_back('s')
        assert spent
        assert budget.has('s', entry_share=1, now=1)
        assert budget.take('s', entry_share=1, now=1)
        assert not budget.has('s', entry_share=1, now=1)
