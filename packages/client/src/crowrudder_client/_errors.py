"""Errors of the commands, each with its exit code."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen


class ExitCode(IntEnum):
    """Exit codes, documented in the help and the reference."""

    ok = 0
    differs = 1
    bad_input = 2
    unreachable = 3


class ClientError(Exception):
    """Base of the errors that end a command without a result."""

    exit_code = ExitCode.bad_input


@frozen
class BadInputError(ClientError):
    """An argument, a directory or a file that is invalid or unreadable."""

    operation: str
    reason: str

    def __str__(self) -> str:
        """Return the operation and the reason."""
        return f'{self.operation}: {self.reason}'


@frozen
class UnreachableError(ClientError):
    """A process that didn't answer, or whose answer can't be decoded."""

    peer: str
    operation: str
    reason: str

    exit_code = ExitCode.unreachable

    def __str__(self) -> str:
        """Return the peer, the operation and the reason."""
        return f'{self.peer}: {self.operation}: {self.reason}'


@frozen
class RejectedError(ClientError):
    """A process that answered with an error status."""

    peer: str
    operation: str
    status: int
    reason: str

    @property
    def exit_code(self) -> ExitCode:  # type: ignore[override]
        """Return `bad_input` for a client error, otherwise `unreachable`."""
        if self.status in {400, 404}:
            return ExitCode.bad_input
        return ExitCode.unreachable

    def __str__(self) -> str:
        """Return the peer, the operation, the status and the reason."""
        return f'{self.peer}: {self.operation}: {self.status} {self.reason}'
