"""Replication of configuration and membership to each process."""

from crowrudder_daemon.knowledge._peers import PeerAnswered, PeerUnreachable
from crowrudder_daemon.knowledge._snapshot import Snapshot
from crowrudder_daemon.knowledge._task import ExchangeIntervals, KnowledgeTask

__all__ = (
    'KnowledgeTask',
    'ExchangeIntervals',
    'PeerAnswered',
    'PeerUnreachable',
    'Snapshot',
)
