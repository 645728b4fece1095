"""What the processes of a fleet share: published records, peers, adapters.

In a fleet, configuration, upstreams and versions are records of an outside
store, and entries send requests straight to the upstreams. An adapter
translates; everything it has to offer is in `ports`.
"""

from crowrudder_daemon.fleet._catalog_task import CatalogTask
from crowrudder_daemon.fleet._peers_task import PeerListener, PeersTask
from crowrudder_daemon.fleet._role import FleetRole
from crowrudder_daemon.fleet._settings import settings_of
from crowrudder_daemon.fleet._settings_watch import (
    SettingsSource,
    SettingsWatch,
)
from crowrudder_daemon.fleet._tuning import Tuning

__all__ = (
    'CatalogTask',
    'FleetRole',
    'PeerListener',
    'PeersTask',
    'SettingsSource',
    'SettingsWatch',
    'Tuning',
    'settings_of',
)
