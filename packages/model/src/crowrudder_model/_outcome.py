"""The four outcomes that a caller can be told."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """How a request ended, as the caller is told.

    Example
    -------
    >>> Outcome.NOT_RUN.value
    'not_run'
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
