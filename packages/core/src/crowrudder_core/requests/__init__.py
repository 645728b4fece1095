"""Requests: who may start an attempt, and what an agent remembers of it."""

from crowrudder_core.requests._admission import (
    Late,
    RunEstimate,
    SlotAdmission,
    Start,
)
from crowrudder_core.requests._claims import (
    REMEMBER_S,
    ClaimBook,
    ClaimCount,
    Vote,
)
from crowrudder_core.requests._homes import Place, homes_of, quorum
from crowrudder_core.requests._ledger import AgentLedger, Record, Stage
from crowrudder_core.requests._owner import (
    Attach,
    MoveOn,
    RequestOwner,
    Settle,
)
from crowrudder_core.requests._queue import AdmissionQueue, Waiting

__all__ = (
    'AdmissionQueue',
    'AgentLedger',
    'Attach',
    'ClaimBook',
    'ClaimCount',
    'Late',
    'MoveOn',
    'Place',
    'REMEMBER_S',
    'Record',
    'RequestOwner',
    'RunEstimate',
    'Settle',
    'SlotAdmission',
    'Stage',
    'Start',
    'Vote',
    'Waiting',
    'homes_of',
    'quorum',
)
