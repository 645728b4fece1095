"""The exception tree: every error names the step and the peer it arose at."""

from __future__ import annotations


class CrowrudderError(Exception):
    """Base of all errors that crowrudder raises on purpose.

    Parameters
    ----------
    message
        What went wrong and what to do about it.
    step
        The step of the work at which it arose, such as ``permit``.
    peer
        ``IP:PORT`` or name of the other side; empty where there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Give the message with the step and the peer in front."""
        where = f'{self.step} at {self.peer}' if self.peer else self.step
        return f'{where}: {self.message}'


class MalformedMessageError(CrowrudderError):
    """Bytes from another process do not decode to the expected message."""


class PeerLostError(CrowrudderError):
    """A connection to another crowrudder process broke or timed out."""


class UpstreamError(CrowrudderError):
    """An engine, a plain service or an outside system misbehaved."""


class InvariantError(CrowrudderError):
    """A rule that must always hold would be broken by the next act."""
