"""Adaptive timeout for record requests to other processes."""

from __future__ import annotations

from attrs import define

MIN_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 4.0
"""Covers an answer on a slow link at full load. A peer that never answers
delays the request to another peer by at most this time."""

TIMEOUT_FACTOR = 2.0
"""Ratio of the next timeout to the last answer's duration, and growth of the
timeout after a request that timed out."""


@define
class AnswerTimeout:
    """A timeout derived from the duration of earlier answers.

    With a fixed timeout, a large configuration on a shared link can take
    longer than the timeout. The answer is then dropped after most of it has
    arrived and is requested again at the next heartbeat. The link stays full,
    ``changes not read`` is logged repeatedly, and the process never learns of
    the end of a version.

    Times are seconds.
    """

    seconds: float = MIN_TIMEOUT_S

    def on_answer(self, took_s: float) -> None:
        """Record the duration of an answer."""
        self.seconds = min(
            max(TIMEOUT_FACTOR * took_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S
        )

    def on_failure(self, took_s: float) -> None:
        """Record a request that failed after a time.

        A failure before the timeout, such as a refused connection, says
        nothing about the link and is ignored.
        """
        if took_s >= self.seconds:
            self.seconds = min(TIMEOUT_FACTOR * self.seconds, MAX_TIMEOUT_S)
