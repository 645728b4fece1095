"""The exception hierarchy: each error has the step and peer where it arose."""

from __future__ import annotations


class CrowrudderError(Exception):
    """Base class of all errors that crowrudder raises.

    Parameters
    ----------
    message
        What failed, and how to fix it.
    step
        The operation that failed, such as ``permit``.
    peer
        ``IP:PORT`` or name of the peer; empty if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message, prefixed with the step and the peer."""
        where = f'{self.step} at {self.peer}' if self.peer else self.step
        return f'{where}: {self.message}'


class MalformedMessageError(CrowrudderError):
    """Bytes from another process do not decode to the expected message."""


class PeerLostError(CrowrudderError):
    """A connection to another crowrudder process broke or timed out."""


class UpstreamError(CrowrudderError):
    """An engine, a plain service or an external system failed."""


class InvariantError(CrowrudderError):
    """The next operation would violate an invariant."""
