"""HTTP calls by tornado's client, each over a connection of its own.

Apart from `crowrudder_daemon.http`, which processes of a fleet use: the import
of the client would be a part of each of their starts.
"""

from crowrudder_daemon.fetch._fetch import (
    Answer,
    Fetcher,
    ServerEvent,
    stream_events,
)

__all__ = ('Answer', 'Fetcher', 'ServerEvent', 'stream_events')
