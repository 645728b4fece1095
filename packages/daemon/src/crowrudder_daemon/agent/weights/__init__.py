"""Load the declared weights into this host's engine."""

from crowrudder_daemon.agent.weights._goal import is_withdrawn
from crowrudder_daemon.agent.weights._task import SnapshotReceived, WeightsTask

__all__ = (
    'SnapshotReceived',
    'WeightsTask',
    'is_withdrawn',
)
