"""Final outcomes, sent by a request to the caller's connection."""

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
class FinalOutcome:
    """The final outcome of a request; the caller gets exactly one."""

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
        """The HTTP status code of this outcome."""
        return self.status or STATUSES[self.outcome]


def refused(code: str, status: int, retry_after_s: float = 0) -> FinalOutcome:
    """Return the outcome of a request that did not run."""
    return FinalOutcome(
        outcome=Outcome.NOT_RUN,
        code=code,
        message=code.replace('_', ' '),
        status=status,
        retry_after_s=retry_after_s,
    )


def outcome_unknown(code: str, message: str) -> FinalOutcome:
    """Return the outcome of a request that may have run."""
    return FinalOutcome(outcome=Outcome.UNKNOWN, code=code, message=message)
