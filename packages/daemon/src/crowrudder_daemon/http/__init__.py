"""HTTP client for systems outside the fleet."""

from crowrudder_daemon.http._connection import (
    AnswerBoundError,
    BrokenAnswerError,
    ConnectionEndedError,
    ConnectionLimitError,
    HttpConnection,
    NotConnectedError,
    WireAnswer,
    WireHead,
    WireRequest,
)
from crowrudder_daemon.http._pool import ConnectionPool, kept_s_of

__all__ = (
    'AnswerBoundError',
    'BrokenAnswerError',
    'ConnectionEndedError',
    'ConnectionLimitError',
    'ConnectionPool',
    'HttpConnection',
    'NotConnectedError',
    'WireAnswer',
    'WireHead',
    'WireRequest',
    'kept_s_of',
)
