"""The four outcomes of a request."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """How a request ended, as reported to the caller.

    Example
    -------
    >>> Outcome.NOT_RUN.value
    'not_run'
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
