"""The agent of a fleet: keeps the engine beside it at the named version."""

from crowrudder_daemon.fleet_agent._role import FleetAgent, build_fleet_agent

__all__ = ('FleetAgent', 'build_fleet_agent')
