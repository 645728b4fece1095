"""Requests that an entry sends straight to an upstream, and their outcomes."""

from crowrudder_core.dispatch._dispatch import (
    Answered,
    Broken,
    Dispatch,
    Ending,
    Fail,
    Next,
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
    'Broken',
    'Dispatch',
    'Ending',
    'EventSplitter',
    'EventStream',
    'Fail',
    'Next',
    'NotRun',
    'NotSent',
    'Refuse',
    'Reject',
    'Relay',
    'SendAgain',
)
