"""Requests that an entry sends straight to an upstream, and their outcomes."""

from crowrudder_core.dispatch._body_end import (
    BodyEnd,
    Completeness,
    Framing,
    answer_completeness,
)
from crowrudder_core.dispatch._dispatch import (
    SERVER_ERROR,
    Answered,
    AttemptOutcome,
    Broken,
    Decision,
    Dispatch,
    Fail,
    NotRun,
    NotSent,
    Refuse,
    Reject,
    Relay,
    SendAgain,
)
from crowrudder_core.dispatch._events import (
    EventSplitter,
    EventStream,
    RunEvents,
)

__all__ = (
    'SERVER_ERROR',
    'Answered',
    'BodyEnd',
    'Broken',
    'Completeness',
    'Dispatch',
    'AttemptOutcome',
    'EventSplitter',
    'EventStream',
    'RunEvents',
    'Fail',
    'Framing',
    'Decision',
    'NotRun',
    'NotSent',
    'Refuse',
    'Reject',
    'Relay',
    'SendAgain',
    'answer_completeness',
)
