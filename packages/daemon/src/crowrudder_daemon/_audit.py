"""The audit trail: what changed in a process, when, and by which source."""

from __future__ import annotations

from collections import deque
from typing import Literal, get_args

from attrs import define, field, frozen
from attrs.validators import ge

AuditKind = Literal[
    'configuration',
    'membership',
    'loaded_version',
    'drain',
    'order',
]
AUDIT_KINDS: frozenset[str] = frozenset(get_args(AuditKind))
DEFAULT_CAPACITY = 4096


@frozen(kw_only=True)
class AuditEvent:
    """One change.

    `at` is wall time in seconds since 1970; `teller` is the source of the
    change: the platform, a peer's host name, the upstream or this process.
    """

    seq: int
    at: float
    kind: AuditKind
    teller: str
    subject: str
    before: str
    after: str


@define
class AuditTrail:
    """The last `capacity` events; numbers start at 1 and have no gaps.

    A reader that polls too late sees a gap in the numbers. The bound keeps a
    flapping host list from growing memory without limit.

    >>> trail = AuditTrail(capacity=1)
    >>> for version in ('1', '2'):
    ...     _ = trail.record(
    ...         at=0, kind='order', teller='upstream', subject='m',
    ...         before='', after=version,
    ...     )
    >>> [event.seq for event in trail.after(0)], trail.last
    ([2], 2)
    """

    capacity: int = field(default=DEFAULT_CAPACITY, validator=ge(1))
    last: int = field(default=0, init=False)
    _events: deque[AuditEvent] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._events = deque(maxlen=self.capacity)

    def record(
        self,
        *,
        at: float,
        kind: AuditKind,
        teller: str,
        subject: str,
        before: str,
        after: str,
    ) -> AuditEvent:
        """Append an event with the next number."""
        if kind not in AUDIT_KINDS:
            allowed = ', '.join(sorted(AUDIT_KINDS))
            raise ValueError(f'audit kind {kind!r}: only {allowed}')
        self.last += 1
        event = AuditEvent(
            seq=self.last,
            at=at,
            kind=kind,
            teller=teller,
            subject=subject,
            before=before,
            after=after,
        )
        self._events.append(event)
        return event

    def after(self, seq: int) -> tuple[AuditEvent, ...]:
        """Return the retained events numbered above `seq`, oldest first."""
        return tuple(event for event in self._events if event.seq > seq)
