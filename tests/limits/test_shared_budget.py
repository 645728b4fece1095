from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.limits import SharedRetryBudget

SHARE = 0.2
EXTRA = 10
WINDOW_S = 10.0


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
