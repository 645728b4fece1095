"""How far a request has come."""

from __future__ import annotations

import enum


class RequestStep(enum.Enum):
    """The step that a request is at, for the log."""

    GATE = 'gate'
    READ = 'read'
    ADMIT = 'admit'
    CHOOSE = 'choose'
    SEND = 'send'
    AWAIT_ANSWER = 'await answer'
    READ_ANSWER = 'read answer'
    DELIVER = 'deliver'
