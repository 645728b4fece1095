"""How long before a version's end requests are sent, and taken away."""

from __future__ import annotations

from typing import Protocol

BEGIN_MARGIN_S = 0.3
"""How long before a version's end what hasn't begun there is taken away.

A request begins with its first token, and the entry sees that up to an event
of several tokens later; an engine sees between two passes that it was taken
away. With all slots taken a pass is some 0.1 s long by the engines' figures.
"""

BEGIN_FORECASTS = 3.0
"""Time to begin in, in forecasts: few that are sent have to be taken away."""

FIRM_MARGIN_S = 1.6
"""The time to begin in for a request that can't go on elsewhere.

Taken away it fails, so few are to be: at a full engine 1.05 s to the first
token were seen.
"""

ON_THE_WAY_S = 0.6
"""The least time to begin in: what was sent later may still be on its way when
it is taken away, and begins after the end. Over a full link 0.49 s from the
send to the engine were seen, and a request that began 52 ms after the end
though its connection had been closed for 0.35 s; up to 1.7 s where links are
fuller, which the engine's agent has to meet."""

NEAR_WORD_S = 0.5
"""Age up to which a word from the own region is usual: it is repeated every
0.4 s."""

FAR_WORD_S = 1.2
"""The same for one that relays bring from another region."""

MOST_OVERDUE_S = 2.0
"""An agent that is gone mustn't keep requests from its engine for longer."""


def overdue_s(age_s: float, *, is_far: bool) -> float:
    """Give by how long an upstream's last word is late.

    What holds the words up on its link holds up requests as well, and the
    close that takes them back.

    >>> overdue_s(0.3, is_far=False), overdue_s(0.9, is_far=False)
    (0.0, 0.4)
    """
    usual_s = FAR_WORD_S if is_far else NEAR_WORD_S
    return min(max(age_s - usual_s, 0.0), MOST_OVERDUE_S)


class Waiting(Protocol):
    """An attempt whose request was sent and may not have begun."""

    def on_versions(self) -> None:
        """Take note that other versions may be in force than at the send."""
