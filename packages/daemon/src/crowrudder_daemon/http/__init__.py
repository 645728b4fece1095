"""HTTP towards systems that crowrudder does not own."""

from crowrudder_daemon.http._connection import (
    BrokenAnswerError,
    HttpConnection,
    NotConnectedError,
    WireAnswer,
    WireHead,
    WireRequest,
)
from crowrudder_daemon.http._fetch import (
    Answer,
    Fetcher,
    ServerEvent,
    stream_events,
)
from crowrudder_daemon.http._pool import ConnectionPool, kept_s_of

__all__ = (
    'Answer',
    'BrokenAnswerError',
    'ConnectionPool',
    'Fetcher',
    'HttpConnection',
    'NotConnectedError',
    'ServerEvent',
    'WireAnswer',
    'WireHead',
    'WireRequest',
    'kept_s_of',
    'stream_events',
)
