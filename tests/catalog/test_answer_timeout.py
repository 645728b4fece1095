from __future__ import annotations

from crowrudder_core.catalog import AnswerTimeout

ANSWER_BYTES = 250_000
LINK_BYTES_PER_S = 16_000_000 / 8
REQUESTERS = 20
"""Processes of one region that request the same records over one link."""


def request_once(timeout, answer_s):
    """Send one request; return whether its answer arrived in time."""
    if answer_s > timeout.seconds:
        timeout.on_failure(timeout.seconds)
        return False
    timeout.on_answer(answer_s)
    return True


class TestAnswerTimeout:
    """A fixed timeout kept a large configuration from coming into force.

    Twenty processes request a quarter of a megabyte over one link, which takes
    2.5 s for all. With a timeout of one second each drops its answer and
    requests it again; `changes not read` is logged and the link stays full.
    """

    def test_timeout_grows_until_a_slow_answer_arrives(self):
        timeout = AnswerTimeout()
        answer_s = REQUESTERS * ANSWER_BYTES / LINK_BYTES_PER_S
        assert answer_s > timeout.seconds
        tries = [request_once(timeout, answer_s) for _ in range(4)]
        assert tries == [False, False, True, True]

    def test_timeout_is_bounded_for_a_peer_that_never_answers(self):
        timeout = AnswerTimeout()
        for _ in range(10):
            assert not request_once(timeout, 1.0e9)
        assert timeout.seconds <= 4

    def test_an_immediate_failure_keeps_the_timeout(self):
        timeout = AnswerTimeout()
        timeout.on_failure(0.01)
        assert timeout == AnswerTimeout()

    def test_a_fast_answer_shortens_the_timeout(self):
        timeout = AnswerTimeout(seconds=4)
        assert request_once(timeout, 0.02)
        assert timeout == AnswerTimeout()
