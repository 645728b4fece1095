"""Messages of one attempt at a request, between an entry and an agent.

Sequence: the entry opens a stream and sends an `Attempt`; the agent answers
`Queued` or `Refusal`. When a slot is free for the attempt, the agent sends
`PermitRequest` and waits for a `Permit`. `Piece` messages and one `Final`
follow. After a broken stream the entry assumes nothing: it asks the same
incarnation with `SettleRequest`.
"""

from __future__ import annotations

import enum

from attrs import frozen

from crowrudder_model._outcome import Outcome


@frozen(kw_only=True)
class AttemptKey:
    """Identify one attempt at one request.

    ``serial`` counts the requests of the entry. A caller may reuse the id of a
    request that did not run; the serial distinguishes the attempts of the two.

    Example
    -------
    >>> str(AttemptKey(request_id='r1', attempt=2, entry='e1-77', serial=5))
    'r1/5.2@e1-77'
    """

    request_id: str
    attempt: int
    entry: str
    """The incarnation of the entry that owns the request."""

    serial: int = 0

    def __str__(self) -> str:
        """Return the short form for logs."""
        return f'{self.request_id}/{self.serial}.{self.attempt}@{self.entry}'


@frozen(kw_only=True)
class Attempt:
    """All that an agent needs to queue and run an attempt.

    ``budget_s`` is the remaining time in seconds when the message was sent.
    The clocks of two hosts differ, so absolute times are never sent.
    """

    key: AttemptKey
    customer: str
    service: str
    priority: int
    budget_s: float
    idempotent: bool
    model: str = ''
    adapter: str = ''
    version: str = ''
    """The only version that may answer; empty if any version in force may."""
    prompt: str = ''
    max_tokens: int = 0
    resume_from: int = 0
    method: str = ''
    path: str = ''
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    share: float = 0
    """The share of the slots that is declared for the customer."""


@frozen(kw_only=True)
class Permit:
    """The owner's decision whether the attempt may start."""

    key: AttemptKey
    granted: bool


@frozen(kw_only=True)
class Cancel:
    """The owner no longer wants the attempt.

    A separate call, as a stream whose reader was cancelled can't send it.
    """

    key: AttemptKey


@frozen(kw_only=True)
class RunClientMessage:
    """Envelope from the entry: exactly one field is set."""

    attempt: Attempt | None = None
    permit: Permit | None = None

    @property
    def body(self) -> Attempt | Permit | None:
        """The field that is set."""
        return self.attempt or self.permit


@frozen(kw_only=True)
class Queued:
    """The attempt is queued: how many are ahead, and the expected wait."""

    ahead: int
    wait_s: float


@frozen(kw_only=True)
class Refusal:
    """The agent refuses the attempt and will never start it."""

    reason: str
    retry_after_s: float = 1


@frozen(kw_only=True)
class PermitRequest:
    """Request the owner's permit to send the attempt to the upstream."""

    key: AttemptKey
    version: str


@frozen(kw_only=True)
class Piece:
    """A piece of the answer; ``index`` counts tokens (or pieces) from 0."""

    request_id: str
    version: str
    index: int
    text: str = ''
    body: bytes = b''


@frozen(kw_only=True)
class Final:
    """The end of the attempt; without it the attempt did not end.

    ``status`` and ``headers`` carry a plain service's answer. ``is_unreached``
    is set if no connection to the upstream could be opened.
    """

    request_id: str
    outcome: Outcome
    version: str = ''
    pieces: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    message: str = ''
    is_unreached: bool = False


class SettledState(enum.Enum):
    """An agent's answer on an attempt whose stream broke."""

    ATTACHED = 'attached'
    NEVER_STARTS = 'never_starts'
    OTHER_INCARNATION = 'other_incarnation'


@frozen(kw_only=True)
class SettleRequest:
    """Request the state of an attempt, and its answer from a piece on."""

    key: AttemptKey
    incarnation: str
    next_index: int


@frozen(kw_only=True)
class Settled:
    """The agent's binding answer on an attempt whose stream broke."""

    state: SettledState


@frozen(kw_only=True)
class RunServerMessage:
    """Envelope from the agent: exactly one field is set."""

    queued: Queued | None = None
    refusal: Refusal | None = None
    permit_ask: PermitRequest | None = None
    piece: Piece | None = None
    final: Final | None = None
    settled: Settled | None = None

    @property
    def body(
        self,
    ) -> Queued | Refusal | PermitRequest | Piece | Final | Settled | None:
        """The field that is set."""
        return (
            self.queued
            or self.refusal
            or self.permit_ask
            or self.piece
            or self.final
            or self.settled
        )
