"""What convicts a request, what clears it, and whom words reach."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.quarantine import (
    Audience,
    Convicted,
    Quarantine,
    Tell,
    owners,
)
from crowrudder_core.quarantine._ledger import MOST_SUSPECTS
from crowrudder_core.quarantine._suspect import (
    SUSPECT_S,
    VERDICT_S,
    WHOLE_COUNTS_S,
)
from crowrudder_core.quarantine._unconfirmed import SOUND_AFTER_S
from crowrudder_model.messages import LifeEnd, SuspectNews, SuspectWord

DIGEST = 77
NOW = 1000.0


def end_under(core, digest, life, *, now, ran_s=0.0):
    core.on_broken(digest, [life], ran_s=ran_s, now=now)
    return core.on_ended(life, now=now + 0.1)


def convicted(core=None, *, now=NOW):
    core = core or Quarantine()
    for life in ('a', 'b', 'c'):
        end_under(core, DIGEST, life, now=now)
    return core


def words_of(effects):
    return [each.word for each in effects if isinstance(each, Tell)]


class TestVerdict:
    def test_three_ends_convict(self):
        core = Quarantine()
        assert not end_under(core, DIGEST, 'a', now=NOW)[1:]
        end_under(core, DIGEST, 'b', now=NOW)
        assert not core.is_convicted(DIGEST, now=NOW + 1)
        effects = end_under(core, DIGEST, 'c', now=NOW)
        assert Convicted(DIGEST, ('a', 'b', 'c')) in effects
        assert core.is_convicted(DIGEST, now=NOW + 1)

    def test_a_life_ends_once(self):
        core = Quarantine()
        for _ in range(5):
            end_under(core, DIGEST, 'a', now=NOW)
        assert not core.is_convicted(DIGEST, now=NOW + 1)

    def test_a_reset_of_a_sound_upstream_is_no_end(self):
        """Guards against blame for connections that are reset."""
        core = Quarantine()
        for life in ('a', 'b', 'c'):
            core.on_broken(DIGEST, [life], ran_s=0, now=NOW)
            core.on_sound(life, as_of=NOW + 2 * SOUND_AFTER_S)
            assert not core.on_ended(life, now=NOW + 2)
        assert not core.is_convicted(DIGEST, now=NOW + 2)

    def test_a_word_from_before_the_end_clears_nothing(self):
        core = Quarantine()
        core.on_broken(DIGEST, ['a'], ran_s=0, now=NOW)
        core.on_sound('a', as_of=NOW + 0.1)
        assert core.on_ended('a', now=NOW + 0.3)

    def test_runs_that_had_gone_on_count_half(self):
        core = Quarantine()
        for life in ('a', 'b', 'c', 'd', 'e'):
            end_under(core, DIGEST, life, now=NOW, ran_s=2)
        assert not core.is_convicted(DIGEST, now=NOW + 1)
        end_under(core, DIGEST, 'f', now=NOW, ran_s=2)
        assert core.is_convicted(DIGEST, now=NOW + 1)

    def test_no_third_upstream_is_tried_on_two_ends_that_are_uncertain(self):
        core = Quarantine()
        end_under(core, DIGEST, 'a', now=NOW)
        core.on_broken(DIGEST, ['b'], ran_s=0, now=NOW)
        assert core.may_send_again(DIGEST, now=NOW)
        core.on_broken(DIGEST, ['c'], ran_s=0, now=NOW)
        assert not core.may_send_again(DIGEST, now=NOW)

    def test_it_holds_for_long_after_the_last_refusal(self):
        core = convicted()
        core.on_refused(DIGEST, now=NOW + VERDICT_S)
        assert core.is_convicted(DIGEST, now=NOW + 2 * VERDICT_S - 1)
        assert not core.is_convicted(DIGEST, now=NOW + 2 * VERDICT_S + 1)

    def test_ends_that_convict_nobody_are_forgotten(self):
        core = Quarantine()
        end_under(core, DIGEST, 'a', now=NOW)
        end_under(core, DIGEST, 'b', now=NOW)
        end_under(core, DIGEST, 'c', now=NOW + 2 * SUSPECT_S)
        assert not core.is_convicted(DIGEST, now=NOW + 2 * SUSPECT_S + 1)


class TestWholeRuns:
    def test_a_run_that_ends_whole_clears(self):
        core = convicted()
        (word,) = words_of(core.on_whole(DIGEST, now=NOW + 1))
        assert not core.is_convicted(DIGEST, now=NOW + 1)
        other = convicted()
        other.on_news(SuspectNews((word,)), now=NOW + 1)
        assert not other.is_convicted(DIGEST, now=NOW + 1)

    def test_a_request_that_many_make_is_not_blamed_for_a_power_cut(self):
        """Guards against a refusal of what runs whole many times a second."""
        core = Quarantine()
        core.on_whole(DIGEST, now=NOW)
        assert not convicted(core, now=NOW + 1).is_convicted(
            DIGEST, now=NOW + 2
        )

    def test_one_that_ran_whole_long_ago_is_blamed(self):
        core = Quarantine()
        core.on_whole(DIGEST, now=NOW)
        later = NOW + WHOLE_COUNTS_S + 1
        assert convicted(core, now=later).is_convicted(DIGEST, now=later + 1)

    def test_who_saw_it_run_whole_says_so_to_one_that_convicts(self):
        core = Quarantine()
        core.on_whole(DIGEST, now=NOW)
        word = SuspectWord(DIGEST, tuple(LifeEnd(life, 100) for life in 'abc'))
        (told,) = words_of(core.on_news(SuspectNews((word,)), now=NOW + 1))
        assert told.whole_ms == 1000


class TestWords:
    def test_first_ends_go_to_owners_and_further_ones_to_all(self):
        core = Quarantine()
        (first,) = end_under(core, DIGEST, 'a', now=NOW)
        (second,) = end_under(core, DIGEST, 'b', now=NOW)
        assert first.audience is Audience.OWNERS
        assert second.audience is Audience.PARTNERS

    def test_owners_add_up_what_others_saw(self):
        owner = Quarantine()
        effects = []
        for life in ('a', 'b', 'c'):
            (told,) = end_under(Quarantine(), DIGEST, life, now=NOW)
            effects += owner.on_news(SuspectNews((told.word,)), now=NOW)
        assert Convicted(DIGEST, ('a', 'b', 'c')) in effects

    def test_a_word_that_is_not_new_goes_nowhere(self):
        core = convicted()
        (word,) = core.reminder(random.Random(1), now=NOW + 1)
        assert not core.on_news(SuspectNews((word,)), now=NOW + 1.01)

    def test_a_process_that_starts_learns_from_a_reminder(self):
        words = convicted().reminder(random.Random(1), now=NOW + 5)
        other = Quarantine()
        other.on_news(SuspectNews(tuple(words)), now=NOW + 5)
        assert other.is_convicted(DIGEST, now=NOW + 5)

    def test_few_entries_own_a_request(self):
        ips = [str(number) for number in range(340)]
        assert len(owners(DIGEST, ips)) == 2

    def test_a_domain_without_power_pushes_out_no_verdict(self):
        core = convicted()
        for digest in range(1000, 1000 + 2 * MOST_SUSPECTS):
            core.on_broken(digest, ['z'], ran_s=0, now=NOW)
        core.on_ended('z', now=NOW)
        assert core.is_convicted(DIGEST, now=NOW)
        assert not any(
            core.is_convicted(digest, now=NOW) for digest in range(1000, 1100)
        )

    @given(
        digest=st.integers(-(2**63), 2**64 - 1),
        ends=st.lists(
            st.builds(
                LifeEnd,
                st.text(max_size=300),
                st.integers(-(2**40), 2**40),
                st.booleans(),
            ),
            max_size=20,
        ),
        whole_ms=st.integers(-(2**40), 2**40),
        refused_ms=st.integers(-(2**40), 2**40),
    )
    def test_any_numbers_are_borne(self, digest, ends, whole_ms, refused_ms):
        core = Quarantine()
        word = SuspectWord(digest, tuple(ends), whole_ms, refused_ms)
        core.on_news(SuspectNews((word,)), now=NOW)
        core.is_convicted(digest, now=NOW)
        core.reminder(random.Random(1), now=NOW)
