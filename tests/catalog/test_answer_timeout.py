from __future__ import annotations

from crowrudder_core.catalog import AnswerTimeout

ANSWER_BYTES = 250_000
LINK_BYTES_PER_S = 16_000_000 / 8
SHARERS = 20
"""Processes of one region that ask for the same over one link."""


def asked(timeout, answer_s):
    """Ask once; give whether the answer came in time."""
    if answer_s > timeout.seconds:
        timeout.on_lost(timeout.seconds)
        return False
    timeout.on_answer(answer_s)
    return True


class TestAnswerTimeout:
    """A large configuration never came into force.

    Symptom: `changes not read` again and again, on a link that is full.
    Sequence: twenty processes ask for a quarter of a megabyte over one link,
    which takes 2.5 s for all; each gives its answer up after one second and
    asks anew. Cause: one time-out for every answer.
    """

    def test_an_answer_that_takes_longer_comes_in_the_end(self):
        timeout = AnswerTimeout()
        answer_s = SHARERS * ANSWER_BYTES / LINK_BYTES_PER_S
        assert answer_s > timeout.seconds
        tries = [asked(timeout, answer_s) for _ in range(4)]
        assert tries == [False, False, True, True]

    def test_who_never_answers_is_waited_for_no_longer_than_the_bound(self):
        timeout = AnswerTimeout()
        for _ in range(10):
            assert not asked(timeout, 1.0e9)
        assert timeout.seconds <= 4

    def test_who_is_gone_tells_nothing_of_the_link(self):
        timeout = AnswerTimeout()
        timeout.on_lost(0.01)
        assert timeout == AnswerTimeout()

    def test_after_short_answers_it_is_short_again(self):
        timeout = AnswerTimeout(seconds=4)
        assert asked(timeout, 0.02)
        assert timeout == AnswerTimeout()
