"""Messages to the task that runs attempts."""

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
class AttemptReceived:
    """An entry sent an attempt; its answers go to the log."""

    attempt: Attempt
    answers: AnswerLog


@frozen
class PermitReceived:
    """The owner granted or denied a permit."""

    key: AttemptKey
    granted: bool


@frozen
class CancelReceived:
    """The owner cancelled the attempt."""

    key: AttemptKey


@frozen
class OwnerLost:
    """The stream to the owner broke."""

    key: AttemptKey


@frozen
class SettleReceived:
    """An entry asks what became of an attempt."""

    key: AttemptKey
    reply: asyncio.Future[tuple[SettledState, AnswerLog | None]]


@frozen
class PermitOverdue:
    """The owner didn't answer a permit request in time."""

    key: AttemptKey


@frozen
class RunEnded:
    """The upstream finished an attempt after `took_s` seconds."""

    key: AttemptKey
    took_s: float
    pieces: int
    ran: bool = True


@frozen
class PauseRuns:
    """Start no more attempts; resolves `idle` once none runs."""

    idle: asyncio.Future[None]


@frozen
class ResumeRuns:
    """The upstream serves this version from now on."""

    service: str
    version: str
    adapters: tuple[str, ...]


@frozen
class DrainRuns:
    """Refuse queued and new attempts; resolves `idle` once none runs."""

    idle: asyncio.Future[None]


@frozen
class RemoveExpired:
    """Remove expired attempts and answers."""
