"""Requests that an entry sends straight to an upstream, and their outcomes."""

from crowrudder_core.dispatch._body_end import (
    BodyEnd,
    Completeness,
    Framing,
    answer_completeness,
)
from crowrudder_core.dispatch._dispatch import (
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
from crowrudder_core.dispatch._events import EventSplitter, EventStream

__all__ = (
    'Answered',
    'BodyEnd',
    'Broken',
    'Completeness',
    'Dispatch',
    'AttemptOutcome',
    'EventSplitter',
    'EventStream',
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
