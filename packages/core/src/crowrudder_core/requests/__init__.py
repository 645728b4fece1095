"""Requests: admission, at-most-once start and claims of request ids."""

from crowrudder_core.requests._admission import (
    DeadlineUnreachable,
    RunEstimate,
    SlotAdmission,
    Start,
)
from crowrudder_core.requests._claims import (
    CLAIM_RETENTION_S,
    ClaimRegistry,
    ClaimResult,
    ClaimTally,
)
from crowrudder_core.requests._ledger import AgentLedger, Record, Stage
from crowrudder_core.requests._owner import (
    Attach,
    RequestOwner,
    RetryElsewhere,
    Settle,
)
from crowrudder_core.requests._queue import AdmissionQueue, Waiting
from crowrudder_core.requests._voters import VoterCandidate, quorum, voters_of

__all__ = (
    'AdmissionQueue',
    'AgentLedger',
    'Attach',
    'ClaimRegistry',
    'ClaimTally',
    'DeadlineUnreachable',
    'RetryElsewhere',
    'VoterCandidate',
    'CLAIM_RETENTION_S',
    'Record',
    'RequestOwner',
    'RunEstimate',
    'Settle',
    'SlotAdmission',
    'Stage',
    'Start',
    'ClaimResult',
    'Waiting',
    'voters_of',
    'quorum',
)
