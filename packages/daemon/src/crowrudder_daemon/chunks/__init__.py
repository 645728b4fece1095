"""Transfer of weight chunks between hosts, for every kind of agent."""

from crowrudder_daemon.chunks._artifact import Artifact
from crowrudder_daemon.chunks._collect import Collector
from crowrudder_daemon.chunks._metrics import TransferMetrics
from crowrudder_daemon.chunks._sources import (
    NoSourceError,
    PeerSource,
    VersionRef,
)
from crowrudder_daemon.chunks._stock import (
    EngineStatus,
    UploadSlots,
    apply_inventory,
)
from crowrudder_daemon.chunks._uploads import ChunkService
from crowrudder_daemon.chunks._version_store import VersionStore

__all__ = (
    'Artifact',
    'VersionRef',
    'ChunkService',
    'Collector',
    'EngineStatus',
    'NoSourceError',
    'PeerSource',
    'VersionStore',
    'UploadSlots',
    'TransferMetrics',
    'apply_inventory',
)
