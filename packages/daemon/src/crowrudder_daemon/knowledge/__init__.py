"""What a process knows of configuration and members, and how it learns."""

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
