"""HTTP calls by tornado's client, each over its own connection.

Separate from `crowrudder_daemon.http`, which processes of a fleet use, so that
they don't import tornado's client at each start.
"""

from crowrudder_daemon.fetch._fetch import (
    Answer,
    Fetcher,
    ServerEvent,
    stream_events,
)

__all__ = ('Answer', 'Fetcher', 'ServerEvent', 'stream_events')
