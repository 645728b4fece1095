"""State of the task that runs attempts, and its outgoing messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import Factory, define

from crowrudder_core.requests import (
    Waiting,
)
from crowrudder_daemon.agent._answer_log import AnswerLog
from crowrudder_model import Outcome
from crowrudder_model.messages import (
    Attempt,
    Final,
    RunServerMessage,
    Settled,
    SettledState,
)

if TYPE_CHECKING:
    pass


@define
class AttemptRecord:
    """State of one attempt in the runs task."""

    attempt: Attempt
    answers: AnswerLog
    deadline: float
    version: str = ''
    """The version for which the permit was requested."""

    cancelled: bool = False
    pieces: int = 0
    ended_at: float | None = None


@define
class RunsState:
    """Public state of the runs task, for reports and status."""

    service: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    running: int = 0
    queued: int = 0
    slots: int = 0
    service_s: float = 0
    pace_s: float = 0
    leaving: bool = False
    sent_bytes: int = 0
    changed: asyncio.Event = Factory(asyncio.Event)


def waiting_of(attempt: Attempt, now: float) -> Waiting:
    tokens = attempt.max_tokens - attempt.resume_from
    return Waiting(
        key=attempt.key,
        customer=attempt.customer,
        priority=attempt.priority,
        share=attempt.share,
        deadline=now + attempt.budget_s,
        tokens=max(tokens, 0),
    )


def settled_message(state: SettledState) -> RunServerMessage:
    """Return the message that reports the settled state of an attempt."""
    return RunServerMessage(settled=Settled(state=state))


def final_of(record: AttemptRecord, outcome: Outcome, message: str) -> Final:
    return Final(
        request_id=record.attempt.key.request_id,
        outcome=outcome,
        version=record.version,
        message=message,
    )
