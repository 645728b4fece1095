"""Requests: who may start an attempt, and what an agent remembers of it."""

from crowrudder_core.requests._ledger import AgentLedger, Record, Stage
from crowrudder_core.requests._owner import (
    Attach,
    MoveOn,
    RequestOwner,
    Settle,
)
from crowrudder_core.requests._queue import AdmissionQueue

__all__ = (
    'AdmissionQueue',
    'AgentLedger',
    'Attach',
    'MoveOn',
    'Record',
    'RequestOwner',
    'Settle',
    'Stage',
)
