from __future__ import annotations

import random

from crowrudder_core.forecast import Candidate, Outlook, Work, choose
from crowrudder_model.fleet import EngineFigures, Upstream
from crowrudder_model.messages import EngineLoad

FIGURES = EngineFigures(
    slots=4,
    step_s=0.01,
    steps_per_pass=5,
    read_tokens_per_s=20_000,
    usual_prompt=1000,
    usual_answer=100,
)


def outlook(name='a', **load):
    made = Outlook(
        Upstream(id=name, service='s', address=f'{name}:1', slots=4, weights=1),
    )
    made.on_figures(FIGURES)
    if load:
        made.on_load(
            EngineLoad(address=f'{name}:1', reachable=True, **load), now=0
        )
    return made


def best(*outlooks, prompt=1000, now=0.1, **more):
    return choose(
        [Candidate(outlook=each, **more) for each in outlooks],
        prompt=prompt,
        now=now,
        random=random.Random(1),
    )


class TestForecast:
    def test_more_prompts_in_front_take_longer(self):
        idle, busy = outlook(running=0), outlook(queued=2, running=1)
        assert busy.first_s(1000, 0.1) > idle.first_s(1000, 0.1)

    def test_a_full_engine_makes_a_request_wait_for_a_slot(self):
        full = outlook(running=4)
        free = outlook(running=3)
        wait_s = full.first_s(100, 0.1) - free.first_s(100, 0.1)
        assert wait_s > 0.2

    def test_own_requests_count_at_once(self):
        one = outlook(running=0)
        before = one.first_s(1000, 0.1)
        one.on_sent(1, Work(1000, 0.1))
        assert one.total(0.1) == 1
        assert one.first_s(1000, 0.1) > before

    def test_a_word_that_counts_own_requests_doesnt_double_them(self):
        one = outlook()
        one.on_sent(1, Work(1000, 0.0))
        one.on_load(
            EngineLoad(address='a:1', reachable=True, running=1), now=0.2
        )
        assert one.total(0.2) == 1

    def test_an_old_word_is_left(self):
        one = outlook(running=4)
        assert one.total(0.5) == 4
        assert one.total(5) == 0

    def test_without_a_word_the_others_send_as_much(self):
        """A host whose agent stood still drew all requests.

        Symptom: first events take three times their forecast at one host.
        Sequence: its agent is frozen, its last word grows too old, each entry
        takes it for empty but for its own few requests. Cause: no word on
        others was read as no others.
        """
        silent, busy = outlook('a'), outlook('b', running=3)
        silent.other_entries = 5
        silent.on_sent(1, Work(1000, 4.9))
        assert silent.total(5) == 6
        busy.on_load(
            EngineLoad(address='b:1', reachable=True, running=3), now=5
        )
        assert best(silent, busy, now=5).outlook is busy

    def test_late_first_events_raise_the_forecast(self):
        one = outlook(running=0)
        usual_s = one.first_s(100, 0)
        for ticket in range(20):
            one.on_sent(ticket, Work(100, 0))
            one.on_begun(ticket, forecast_s=usual_s, now=4 * usual_s)
            one.on_ended(ticket)
        assert one.first_s(100, 0) > 2 * usual_s


class TestChoice:
    def test_the_emptier_one_is_chosen(self):
        chosen = best(outlook('a', running=4), outlook('b', running=1))
        assert chosen.outlook.upstream.id == 'b'

    def test_one_that_failed_is_chosen_only_for_want_of_another(self):
        bad, good = outlook('a', running=0), outlook('b', running=3)
        bad.on_bad(now=0, avoid=True)
        assert best(bad, good).outlook is good
        assert best(bad).outlook is bad

    def test_an_unreachable_engine_is_avoided(self):
        gone, good = outlook('a', running=0), outlook('b', running=3)
        gone.on_load(EngineLoad(address='a:1', reachable=False), now=0)
        assert best(gone, good).outlook is good

    def test_it_is_avoided_for_longer_each_time(self):
        bad = outlook()
        bad.on_bad(now=0, avoid=True)
        first = bad.avoid_until
        bad.on_bad(now=first, avoid=True)
        assert bad.avoid_until - first > first
        bad.on_good(0.1)
        assert not bad.is_avoided(first)

    def test_a_failing_one_is_less_preferred(self):
        """An upstream that fails at once looked the emptiest.

        Symptom: a tenth of the upstreams gets most requests and fails them.
        Sequence: it answers each request with an error at once. Cause: the
        choice went by what is outstanding alone.
        """
        bad, good = outlook('a', running=0), outlook('b', running=2)
        for _ in range(8):
            bad.on_bad(now=0, avoid=False)
        assert best(bad, good).outlook is good

    def test_none_where_nobody_can(self):
        assert best() is None
