"""A request that an entry sends straight to an upstream: what may be said."""

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
from crowrudder_core.dispatch._events import EventCutter, EventStream

__all__ = (
    'Answered',
    'Broken',
    'Dispatch',
    'Ending',
    'EventCutter',
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
