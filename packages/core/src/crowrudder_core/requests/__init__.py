"""Requests: admission, at-most-once start and claims of request ids."""

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
from crowrudder_core.requests._ledger import AgentLedger, Record, Stage
from crowrudder_core.requests._owner import (
    Attach,
    MoveOn,
    RequestOwner,
    Settle,
)
from crowrudder_core.requests._queue import AdmissionQueue, Waiting
from crowrudder_core.requests._voters import Place, homes_of, quorum

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
