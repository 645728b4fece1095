"""Transfer of weights: chunk sources, read planning and verification."""

from crowrudder_core.transfer._chunk_sets import full, indices, pack, unpack
from crowrudder_core.transfer._hosts import ServiceHosts
from crowrudder_core.transfer._layer_ranges import (
    assign_layer_ranges,
    chunks_of_layers,
    held_chunks_by_layer,
    layer_range_count,
    layers_of_range,
    longest_held_layers,
)
from crowrudder_core.transfer._link_share import LinkShare
from crowrudder_core.transfer._manifest import (
    Manifest,
    ManifestError,
    decode_manifest,
)
from crowrudder_core.transfer._origin import (
    MAX_COPIES,
    OriginReader,
    choose_seeds,
)
from crowrudder_core.transfer._pacing import PacingConfig, derive_pacing
from crowrudder_core.transfer._peers import PeerInventory, PeerTable, Place
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
from crowrudder_core.transfer._rolling import may_load, predecessors
from crowrudder_core.transfer._start import start_transfer
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
    'MAX_COPIES',
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
    'PeerInventory',
    'Transfer',
    'ReadCandidates',
    'choose_seeds',
    'chunks_of_layers',
    'decode_manifest',
    'full',
    'held_chunks_by_layer',
    'indices',
    'longest_held_layers',
    'layers_of_range',
    'may_load',
    'derive_pacing',
    'pack',
    'layer_range_count',
    'assign_layer_ranges',
    'plan_reads',
    'predecessors',
    'start_transfer',
    'unpack',
)
