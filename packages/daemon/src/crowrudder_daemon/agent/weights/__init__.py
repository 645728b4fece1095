"""Bring the declared weights to this host's engine, and to other hosts."""

from crowrudder_daemon.agent.weights._task import SnapshotCame, WeightsTask

__all__ = ('SnapshotCame', 'WeightsTask')
