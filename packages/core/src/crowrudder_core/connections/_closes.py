"""Why a caller's connection was closed."""

from __future__ import annotations

import enum

from attrs import frozen

from crowrudder_core.connections._states import ConnectionState


class CloseRule(enum.Enum):
    """The rule by which a caller's connection is closed."""

    CALLER_LEFT = 'caller left'
    LAST_ANSWER = 'last answer'
    """The answer said that the connection would be closed."""

    TRUNCATED = 'answer truncated'
    SLOW_READER = 'slow reader'
    IDLE = 'idle'
    TOO_MANY_IDLE = 'too many idle'
    LEAVING = 'leaving'
    """The process is about to end, and no request was in progress."""

    SLOW_HEAD = 'slow head'
    SLOW_BODY = 'slow body'
    LONG_HEAD = 'long head'
    LONG_BODY = 'long body'
    BAD_REQUEST = 'bad request'
    INTERNAL_ERROR = 'internal error'
    HTTP_SERVER = 'http server'
    """The HTTP server could not read on, or its port was closed."""


@frozen(kw_only=True)
class Close:
    """The close of a caller's connection.

    Attributes
    ----------
    state
        What the connection was doing.
    for_s
        For how long it had been doing that, in seconds.
    limit_s
        How long it might have been, in seconds.
    version
        Version of the configuration that set the limit.
    read_bytes
        Bytes of the request that had been read.
    requests
        Requests read on the connection before.
    """

    rule: CloseRule
    state: ConnectionState
    for_s: float
    limit_s: float
    version: int
    read_bytes: int
    requests: int
