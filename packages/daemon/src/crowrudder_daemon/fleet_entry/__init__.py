"""The fleet entry, which proxies callers' requests to the upstreams."""

from crowrudder_daemon.fleet_entry._role import FleetEntry, build_fleet_entry

__all__ = ('FleetEntry', 'build_fleet_entry')
