"""The messages that crowrudder processes send each other."""

from crowrudder_model.messages._knowledge import (
    BundleAsk,
    BundleReply,
    Hello,
    ProcessNews,
)
from crowrudder_model.messages._report import Report, ReportAsk
from crowrudder_model.messages._run import (
    Attempt,
    AttemptKey,
    Cancel,
    Final,
    Permit,
    PermitAsk,
    Piece,
    Queued,
    Refusal,
    RunDown,
    RunUp,
    SettleAsk,
    Settled,
    SettledState,
)
from crowrudder_model.messages._weights import (
    ChunkAsk,
    ChunkPiece,
    ManifestAsk,
    ManifestReply,
    StockAsk,
    StockReply,
)

__all__ = (
    'Attempt',
    'AttemptKey',
    'BundleAsk',
    'BundleReply',
    'Cancel',
    'ChunkAsk',
    'ChunkPiece',
    'Final',
    'Hello',
    'ManifestAsk',
    'ManifestReply',
    'Permit',
    'PermitAsk',
    'Piece',
    'ProcessNews',
    'Queued',
    'Refusal',
    'Report',
    'ReportAsk',
    'RunDown',
    'RunUp',
    'SettleAsk',
    'Settled',
    'SettledState',
    'StockAsk',
    'StockReply',
)
