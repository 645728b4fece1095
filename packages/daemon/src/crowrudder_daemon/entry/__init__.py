"""The entry role: callers' connections, routing, limits and permits."""

from crowrudder_daemon.entry._role import build_entry

__all__ = ('build_entry',)
