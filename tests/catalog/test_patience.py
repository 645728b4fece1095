from __future__ import annotations

from crowrudder_core.catalog import Patience

ANSWER_BYTES = 250_000
LINK_BYTES_PER_S = 16_000_000 / 8
SHARERS = 20
"""Processes of one region that ask for the same over one link."""


def asked(patience, answer_s):
    """Ask once; give whether the answer came in time."""
    if answer_s > patience.timeout_s:
        patience.on_lost(patience.timeout_s)
        return False
    patience.on_answer(answer_s)
    return True


class TestPatience:
    """A large configuration never came into force.

    Symptom: `changes not read` again and again, on a link that is full.
    Sequence: twenty processes ask for a quarter of a megabyte over one link,
    which takes 2.5 s for all; each gives its answer up after one second and
    asks anew. Cause: one time-out for every answer.
    """

    def test_an_answer_that_takes_longer_comes_in_the_end(self):
        patience = Patience()
        answer_s = SHARERS * ANSWER_BYTES / LINK_BYTES_PER_S
        assert answer_s > patience.timeout_s
        tries = [asked(patience, answer_s) for _ in range(4)]
        assert tries == [False, False, True, True]

    def test_who_never_answers_is_waited_for_no_longer_than_the_bound(self):
        patience = Patience()
        for _ in range(10):
            assert not asked(patience, 1.0e9)
        assert patience.timeout_s <= 4

    def test_who_is_gone_tells_nothing_of_the_link(self):
        patience = Patience()
        patience.on_lost(0.01)
        assert patience == Patience()

    def test_after_short_answers_it_is_short_again(self):
        patience = Patience(timeout_s=4)
        assert asked(patience, 0.02)
        assert patience == Patience()
