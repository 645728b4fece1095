"""Parts that entries and agents of a fleet share: records, peers, adapters.

In a fleet, configuration, upstreams and versions are records in an external
store, and entries send requests directly to the upstreams. An adapter
translates between the store and this package; `ports` defines its interface.
"""

from crowrudder_daemon.fleet._catalog_task import CatalogTask
from crowrudder_daemon.fleet._peers_task import PeerListener, PeersTask
from crowrudder_daemon.fleet._role import FleetRole
from crowrudder_daemon.fleet._settings import process_settings
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
    'process_settings',
)
