"""What others tell the task that runs attempts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_daemon.agent._answer_log import AnswerLog
from crowrudder_model.messages import (
    Attempt,
    AttemptKey,
    SettledState,
)

if TYPE_CHECKING:
    pass


@frozen
class AttemptCame:
    """An entry sent an attempt; its answers go to the log."""

    attempt: Attempt
    answers: AnswerLog


@frozen
class PermitCame:
    """The owner's word arrived."""

    key: AttemptKey
    granted: bool


@frozen
class CancelCame:
    """The owner gave the attempt up."""

    key: AttemptKey


@frozen
class OwnerLost:
    """The stream to the owner broke."""

    key: AttemptKey


@frozen
class SettleCame:
    """An entry asks what became of an attempt."""

    key: AttemptKey
    reply: asyncio.Future[tuple[SettledState, AnswerLog | None]]


@frozen
class PermitOverdue:
    """The owner said nothing in time."""

    key: AttemptKey


@frozen
class RunEnded:
    """The upstream is done with an attempt after so many seconds."""

    key: AttemptKey
    took_s: float
    pieces: int
    ran: bool = True


@frozen
class PauseRuns:
    """Start nothing more; resolve when nothing runs."""

    idle: asyncio.Future[None]


@frozen
class ResumeRuns:
    """The upstream answers with this version from now on."""

    service: str
    version: str
    adapters: tuple[str, ...]


@frozen
class DrainRuns:
    """Refuse what waits and what comes; resolve when nothing runs."""

    idle: asyncio.Future[None]


@frozen
class ForgetOld:
    """Time to drop what ended long ago."""
