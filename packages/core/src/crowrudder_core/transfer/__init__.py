"""Transfer of weights: which chunk is read from whom, and what is whole."""

from crowrudder_core.transfer._manifest import (
    Manifest,
    ManifestError,
    decode_manifest,
)
from crowrudder_core.transfer._planner import FromOrigin, FromPeer, plan_reads
from crowrudder_core.transfer._rolling import may_change
from crowrudder_core.transfer._transfer import ChunkState, Transfer

__all__ = (
    'ChunkState',
    'FromOrigin',
    'FromPeer',
    'Manifest',
    'ManifestError',
    'Transfer',
    'decode_manifest',
    'may_change',
    'plan_reads',
)
