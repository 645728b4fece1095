"""Transfer of weights: which chunk is read from whom, and what is whole."""

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
    OriginDuty,
    choose_seeds,
)
from crowrudder_core.transfer._pacing import Pace, pace_for
from crowrudder_core.transfer._peers import PeerBook, Place, Stock
from crowrudder_core.transfer._planner import (
    ChunkOrder,
    FromOrigin,
    FromPeer,
    OriginReason,
    Read,
    Source,
    Wants,
    plan_reads,
)
from crowrudder_core.transfer._progress import Progress
from crowrudder_core.transfer._rolling import may_change, predecessors
from crowrudder_core.transfer._start import transfer_of
from crowrudder_core.transfer._store import ChunkStore, NoRoomError
from crowrudder_core.transfer._transfer import Transfer
from crowrudder_core.transfer._unassigned_reads import Holdings, OutOfTurn

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
    'OriginDuty',
    'OriginReason',
    'OutOfTurn',
    'Holdings',
    'Pace',
    'PeerBook',
    'Place',
    'Progress',
    'Read',
    'ServiceHosts',
    'Source',
    'Stock',
    'Transfer',
    'Wants',
    'choose_seeds',
    'chunks_of',
    'decode_manifest',
    'full',
    'indices',
    'layers_at_hand',
    'layers_of',
    'may_change',
    'pace_for',
    'pack',
    'part_count',
    'parts_of',
    'plan_reads',
    'predecessors',
    'transfer_of',
    'unpack',
)
