"""What a caller's connection is doing."""

from __future__ import annotations

import enum


class ConnectionState(enum.Enum):
    """What a caller's connection is doing."""

    WAITING = 'waiting'
    """For the first byte of a request."""

    READING_HEAD = 'reading a head'
    READING_BODY = 'reading a body'
    IN_PROGRESS = 'in progress'
    """A request has been read and its answer has not ended."""
