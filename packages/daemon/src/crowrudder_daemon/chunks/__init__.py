"""Transfer of weight chunks between hosts, for every kind of agent."""

from crowrudder_daemon.chunks._artifact import Artifact
from crowrudder_daemon.chunks._collect import Collector
from crowrudder_daemon.chunks._shelf import Shelf
from crowrudder_daemon.chunks._sources import (
    Asked,
    NoSourceError,
    PeerSource,
)
from crowrudder_daemon.chunks._stock import (
    EngineNote,
    UploadSlots,
    apply_inventory,
)
from crowrudder_daemon.chunks._uploads import ChunkService
from crowrudder_daemon.chunks._watch import WeightsWatch

__all__ = (
    'Artifact',
    'Asked',
    'ChunkService',
    'Collector',
    'EngineNote',
    'NoSourceError',
    'PeerSource',
    'Shelf',
    'UploadSlots',
    'WeightsWatch',
    'apply_inventory',
)
