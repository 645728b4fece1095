"""What keeps a command from its result, each with its exit code."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen


class ExitCode(IntEnum):
    """How a command ends; documented in the help and the reference."""

    ok = 0
    differs = 1
    bad_input = 2
    unreachable = 3


class ClientError(Exception):
    """A command that has no result; the text says what to do."""

    exit_code = ExitCode.bad_input


@frozen
class BadInputError(ClientError):
    """An argument, a directory or a file that can't be used."""

    step: str
    why: str

    def __str__(self) -> str:
        """Say the step and the reason."""
        return f'{self.step}: {self.why}'


@frozen
class UnreachableError(ClientError):
    """A process that gave no answer, or none that can be read."""

    peer: str
    step: str
    why: str

    exit_code = ExitCode.unreachable

    def __str__(self) -> str:
        """Say the peer, the step and the reason."""
        return f'{self.peer}: {self.step}: {self.why}'


@frozen
class RejectedError(ClientError):
    """A process that answered with an error."""

    peer: str
    step: str
    status: int
    why: str

    @property
    def exit_code(self) -> ExitCode:  # type: ignore[override]
        """Tell the asker's fault from the process's own."""
        if self.status in {400, 404}:
            return ExitCode.bad_input
        return ExitCode.unreachable

    def __str__(self) -> str:
        """Say the peer, the step and its answer."""
        return f'{self.peer}: {self.step}: {self.status} {self.why}'
