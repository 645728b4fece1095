"""Transfer of weights: chunk sources, read planning and verification."""

from crowrudder_core.transfer._chunk_sets import full, indices, pack, unpack
from crowrudder_core.transfer._hosts import ServiceHosts
from crowrudder_core.transfer._layer_ranges import (
    chunks_of,
    layers_at_hand,
    layers_of,
    part_count,
    parts_of,
)
from crowrudder_core.transfer._link_share import LinkShare
from crowrudder_core.transfer._manifest import (
    Manifest,
    ManifestError,
    decode_manifest,
)
from crowrudder_core.transfer._origin import (
    MOST_COPIES,
    OriginReader,
    choose_seeds,
)
from crowrudder_core.transfer._pacing import PacingConfig, derive_pacing
from crowrudder_core.transfer._peers import PeerTable, Place, Stock
from crowrudder_core.transfer._planner import (
    ChunkOrder,
    FromOrigin,
    FromPeer,
    OriginReason,
    Read,
    ReadCandidates,
    Source,
    plan_reads,
)
from crowrudder_core.transfer._progress import Progress
from crowrudder_core.transfer._rolling import may_change, predecessors
from crowrudder_core.transfer._start import transfer_of
from crowrudder_core.transfer._store import ChunkStore, NoRoomError
from crowrudder_core.transfer._transfer import Transfer
from crowrudder_core.transfer._unassigned_reads import (
    ChunkAvailability,
    UnassignedReads,
)

__all__ = (
    'ChunkOrder',
    'ChunkStore',
    'FromOrigin',
    'FromPeer',
    'LinkShare',
    'MOST_COPIES',
    'Manifest',
    'ManifestError',
    'NoRoomError',
    'OriginReader',
    'OriginReason',
    'UnassignedReads',
    'ChunkAvailability',
    'PacingConfig',
    'PeerTable',
    'Place',
    'Progress',
    'Read',
    'ServiceHosts',
    'Source',
    'Stock',
    'Transfer',
    'ReadCandidates',
    'choose_seeds',
    'chunks_of',
    'decode_manifest',
    'full',
    'indices',
    'layers_at_hand',
    'layers_of',
    'may_change',
    'derive_pacing',
    'pack',
    'part_count',
    'parts_of',
    'plan_reads',
    'predecessors',
    'transfer_of',
    'unpack',
)
