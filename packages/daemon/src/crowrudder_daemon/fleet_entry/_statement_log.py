"""Log and count what upstreams state about themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import UpstreamStatements
    from crowrudder_model.statements import LeavingReport, LimitReport

LEAVING = 'leaving'
PAUSE = 'pause'
LIMIT = 'limit'
COLD = 'cold'
ABSENT = 'absent'
"""Label of answers in which another upstream gives its own id."""

INVALID = 'invalid'
"""Label of statements that can't be read."""

UNATTRIBUTED = 'unattributed'
"""Label of answers with statements that aren't known to be of the upstream to
which the request was sent."""

MAX_INVALID = 1024
"""Most upstreams whose invalid headers are remembered as logged."""

_MS = 1000


@frozen(kw_only=True)
class AnswerSource:
    """The answer in which an upstream stated something.

    ``age_s`` is the time from the send of its request to the head of the answer.
    """

    upstream_id: str
    request_id: str
    status: int
    age_s: float


class StatementLog:
    """Counts statements by kind, and logs each change of them."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._invalid: dict[str, tuple[tuple[str, str], ...]] = {}
        metrics = runtime.metrics
        self._statements = metrics.counter(
            'upstream_statements',
            'Statements in the answers of upstreams, by kind.',
            labels=('kind',),
        )
        self._withheld = metrics.counter(
            'upstream_sends_withheld',
            'Sends that were given up right before, by the statement.',
            labels=('kind',),
        )

    def on_answer(
        self, source: AnswerSource, statements: UpstreamStatements
    ) -> None:
        """Count the statements of an answer; log those that can't be read.

        An upstream whose answers all have the same invalid header has it
        logged once.
        """
        for kind in _kinds(statements):
            self._statements.add(kind=kind)
        for name, text in statements.invalid:
            self._statements.add(kind=INVALID)
            if self._invalid.get(source.upstream_id) != statements.invalid:
                self._log(source, kind=INVALID, header=name, text=text)
        if len(self._invalid) >= MAX_INVALID:
            self._invalid.clear()
        if statements.invalid:
            self._invalid[source.upstream_id] = statements.invalid

    def on_misdirected(self, source: AnswerSource) -> None:
        """Count and log an answer of another upstream at the address."""
        self._statements.add(kind=ABSENT)
        self._log(source, kind=ABSENT)

    def on_unattributed(self, source: AnswerSource) -> None:
        """Log an answer whose giver isn't known."""
        self._statements.add(kind=UNATTRIBUTED)
        self._log(source, kind=UNATTRIBUTED)

    def on_stated(self, source: AnswerSource, kind: str, amount: float) -> None:
        """Log a statement that changes what is known of an upstream."""
        self._log(source, kind=kind, amount=amount)

    def on_limit(self, report: LimitReport, source_ip: str) -> None:
        """Log a change of an upstream's rate limit."""
        self._runtime.log.info(
            'limit of an upstream',
            extra={
                'step': 'limit',
                'upstream': report.upstream_id,
                'per_s': report.per_s,
                'teller': source_ip,
                'age_s': report.age_ms / _MS,
            },
        )

    def on_leaving_report(self, report: LeavingReport, source_ip: str) -> None:
        """Log that another entry was told that an upstream leaves."""
        self._runtime.log.info(
            'statement of an upstream',
            extra={
                'step': 'statement',
                'upstream': report.upstream_id,
                'kind': LEAVING,
                'teller': source_ip,
            },
        )

    def on_withheld(self, kind: str) -> None:
        """Count a send that a statement prevented."""
        self._withheld.add(kind=kind)

    def remove(self, upstream_id: str) -> None:
        """Remove what was logged of an upstream without a record."""
        self._invalid.pop(upstream_id, None)

    def _log(self, source: AnswerSource, **extra: Any) -> None:
        self._runtime.log.info(
            'statement of an upstream',
            extra={
                'step': 'statement',
                'upstream': source.upstream_id,
                'request_id': source.request_id,
                'status': source.status,
                'age_s': round(source.age_s, 3),
                **extra,
            },
        )


def _kinds(statements: UpstreamStatements) -> Iterator[str]:
    if statements.is_leaving:
        yield LEAVING
    if statements.pause_s is not None:
        yield PAUSE
    if statements.limit_per_s is not None:
        yield LIMIT
