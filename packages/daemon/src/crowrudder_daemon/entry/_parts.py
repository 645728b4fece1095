"""What the request's task tells the caller's connection."""

from __future__ import annotations

from attrs import frozen

from crowrudder_model import Outcome

STATUSES = {
    Outcome.ANSWERED: 200,
    Outcome.NOT_RUN: 503,
    Outcome.FAILED: 502,
    Outcome.UNKNOWN: 504,
}


@frozen(kw_only=True)
class Ended:
    """The final word on a request; exactly one goes to the caller."""

    outcome: Outcome
    code: str
    message: str = ''
    status: int = 0
    version: str = ''
    pieces: int = 0
    retry_after_s: float = 0
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def http_status(self) -> int:
        """The status code that says the same."""
        return self.status or STATUSES[self.outcome]
