"""What the log line of a request says of its attempts and its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field

from crowrudder_core.dispatch import NotSent
from crowrudder_daemon.fleet_entry._attempt_log import MIN_LOGGED_S, log_fields

if TYPE_CHECKING:
    from crowrudder_core.dispatch import AttemptOutcome
    from crowrudder_daemon.fleet.ports import Call
    from crowrudder_daemon.fleet_entry._attempt import Attempt
    from crowrudder_daemon.fleet_entry._caller_side import CallerSide


REFUSED_S = 0.3
"""How long an upstream that could not be sent to beside a silent run isn't
asked again for the same request."""


@define
class RequestRecord:
    """The attempts of a request, as its log line shows them.

    Attributes
    ----------
    denied_by
        Which step refused another attempt; empty if none did.
    is_cut_off
        Whether an upstream closed the connection before its answer ended.
    """

    denied_by: str = ''
    is_cut_off: bool = False
    _attempts: list[dict[str, Any]] = field(factory=list)
    _refused_until: dict[str, float] = field(factory=dict)
    _sent_s: float = -1
    _first_s: float = -1

    @property
    def unreachable(self) -> set[str]:
        """Return the upstreams to which nothing could be sent."""
        return {
            attempt['upstream']
            for attempt in self._attempts
            if attempt['ending'] == NotSent.__name__
        }

    def on_refused(self, attempt: Attempt, *, now: float) -> None:
        """Record an upstream that could not be sent to beside a silent run."""
        self._refused_until[attempt.choice.forecast.upstream.id] = (
            now + REFUSED_S
        )

    def refusing(self, now: float) -> set[str]:
        """Return the upstreams that refused such a run just now."""
        return {
            upstream_id
            for upstream_id, until in self._refused_until.items()
            if until > now
        }

    def on_attempt(
        self,
        attempt: Attempt,
        ending: AttemptOutcome | None,
        *,
        arrived_at: float,
    ) -> None:
        """Record an attempt; ``ending`` is None if it has not ended."""
        if attempt.sent_at and self._sent_s < 0:
            self._sent_s = attempt.sent_at - arrived_at
        first_s = attempt.time_to_first_event_s
        if first_s >= 0 and self._first_s < 0:
            self._first_s = attempt.sent_at + first_s - arrived_at
        self.is_cut_off |= attempt.is_cut_off
        self._attempts.append(log_fields(attempt, ending))

    def fields(self, call: Call) -> dict[str, Any]:
        """Return the log fields."""
        fields: dict[str, Any] = {
            'sent_s': round(self._sent_s, 4),
            'first_s': round(self._first_s, 3),
            'denied_by': self.denied_by,
        }
        if self.is_cut_off and call.shared_parts:
            # An upstream may have ended under one of them.
            fields['parts'] = list(call.shared_parts)
        return {**fields, 'attempts': self._attempts}


def caller_fields(
    side: CallerSide, *, arrived_at: float, began_at: float
) -> dict[str, float]:
    """Return how late this process was for the caller, if it was."""
    fields = {
        'unread_s': side.unread_s,
        'unhandled_s': began_at - side.read_at,
    }
    if side.gone_at is not None:
        fields['gone_s'] = side.gone_at - arrived_at
        fields['gone_late_s'] = side.gone_late_s
    return {
        name: round(seconds, 3)
        for name, seconds in fields.items()
        if seconds >= MIN_LOGGED_S or name == 'gone_s'
    }
