"""Bring the declared weights to this host's engine, and to other hosts."""

from crowrudder_daemon.agent.weights._collect import Collector
from crowrudder_daemon.agent.weights._goal import Artifact, is_withdrawn
from crowrudder_daemon.agent.weights._shelf import Shelf
from crowrudder_daemon.agent.weights._sources import (
    Asked,
    NoSourceError,
    PeerSource,
)
from crowrudder_daemon.agent.weights._stock import (
    EngineNote,
    UploadSlots,
    note_stock,
)
from crowrudder_daemon.agent.weights._task import SnapshotCame, WeightsTask
from crowrudder_daemon.agent.weights._uploads import ChunkService
from crowrudder_daemon.agent.weights._watch import WeightsWatch

__all__ = (
    'Artifact',
    'Asked',
    'ChunkService',
    'Collector',
    'EngineNote',
    'NoSourceError',
    'PeerSource',
    'Shelf',
    'SnapshotCame',
    'UploadSlots',
    'WeightsTask',
    'WeightsWatch',
    'is_withdrawn',
    'note_stock',
)
