"""HTTP towards systems that crowrudder does not own."""

from crowrudder_daemon.http._fetch import (
    Answer,
    Fetcher,
    ServerEvent,
    stream_events,
)

__all__ = ('Answer', 'Fetcher', 'ServerEvent', 'stream_events')
