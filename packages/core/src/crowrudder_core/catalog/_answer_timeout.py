"""How long to wait for records that another process was asked for."""

from __future__ import annotations

from attrs import define

SHORTEST_S = 1.0
LONGEST_S = 4.0
"""With the most that a slow link has to carry beside; who never answers must
not keep a process from asking another one for longer."""

SPARE = 2.0
"""Times the last answer's time that the next one may take, and by which the
time-out grows after one that didn't come."""


@define
class AnswerTimeout:
    """A time-out that follows from how long answers have taken.

    What goes wrong with one that is the same for every answer: a large
    configuration takes longer than that over a link that others share, the
    answer is dropped when most of it has come, and is asked for anew at the
    next heartbeat. It is seen as ``changes not read`` again and again, with a
    link that stays full, and a process that never learns of the end of a
    version.

    Times are seconds.
    """

    seconds: float = SHORTEST_S

    def on_answer(self, took_s: float) -> None:
        """Take how long an answer took."""
        self.seconds = min(max(SPARE * took_s, SHORTEST_S), LONGEST_S)

    def on_lost(self, took_s: float) -> None:
        """Take note that no answer came, after so long.

        Who is gone fails at once, and tells nothing of the link.
        """
        if took_s >= self.seconds:
            self.seconds = min(SPARE * self.seconds, LONGEST_S)
