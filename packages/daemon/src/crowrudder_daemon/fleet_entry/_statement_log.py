"""Log and count what upstreams state about themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import UpstreamStatements

INVALID = 'invalid'
"""Label of statements that can't be read."""


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
        self._leaving: set[str] = set()
        self._statements = runtime.metrics.counter(
            'upstream_statements',
            'Statements in the answers of upstreams, by kind.',
            labels=('kind',),
        )

    def on_answer(
        self, source: AnswerSource, statements: UpstreamStatements
    ) -> None:
        """Count the statements of an answer and log those that are new."""
        for kind, amount in _amounts(statements):
            self._statements.add(kind=kind)
            if kind == 'leaving' and source.upstream_id in self._leaving:
                continue
            self._log(source, kind=kind, amount=amount)
        if statements.is_leaving:
            self._leaving.add(source.upstream_id)
        for name, text in statements.invalid:
            self._statements.add(kind=INVALID)
            self._log(source, kind=INVALID, header=name, text=text)

    def on_gone(self, upstream_id: str) -> None:
        """Remove an upstream whose incarnation has ended."""
        self._leaving.discard(upstream_id)

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


def _amounts(statements: UpstreamStatements) -> Iterator[tuple[str, float]]:
    """Yield the kinds of what is stated, each with its amount."""
    if statements.is_leaving:
        yield 'leaving', 1
    if statements.pause_s is not None:
        yield 'pause', statements.pause_s
