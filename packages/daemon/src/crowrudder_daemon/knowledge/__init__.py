"""Replication of configuration and membership to each process."""

from crowrudder_daemon.knowledge._peers import PeerAnswered, PeerSilent
from crowrudder_daemon.knowledge._snapshot import Snapshot
from crowrudder_daemon.knowledge._task import KnowledgeTask, Pace

__all__ = (
    'KnowledgeTask',
    'Pace',
    'PeerAnswered',
    'PeerSilent',
    'Snapshot',
)
