"""Fleet agent: keeps the local engine at the published weights version."""

from crowrudder_daemon.fleet_agent._role import FleetAgent, build_fleet_agent

__all__ = ('FleetAgent', 'build_fleet_agent')
