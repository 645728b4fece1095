"""The agent process, which runs beside an engine or a plain service."""

from crowrudder_daemon.agent._role import build_agent

__all__ = ('build_agent',)
