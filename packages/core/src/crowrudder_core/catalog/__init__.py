"""Published records: replication, ordering and the fleet state they form."""

from crowrudder_core.catalog._answer_timeout import AnswerTimeout
from crowrudder_core.catalog._catalog import HOLD_S, Catalog
from crowrudder_core.catalog._evacuations import Evacuations
from crowrudder_core.catalog._fetches import FetchPolicy
from crowrudder_core.catalog._packing import (
    MAX_RECORD_BYTES,
    MIN_DEFLATED_BYTES,
    deflate_record,
    inflate_record,
)
from crowrudder_core.catalog._punctuality import TickMonitor
from crowrudder_core.catalog._reading import (
    RECOVERY_WINDOW_S,
    WATCH_WAIT_S,
    WATCHERS,
    StoreReadPolicy,
    StoreStep,
)
from crowrudder_core.catalog._releases import Release, Releases
from crowrudder_core.catalog._routes import RouteTable
from crowrudder_core.catalog._view import (
    LAPSE_GRACE_S,
    RETURN_GRACE_S,
    FleetView,
    ListedUpstream,
)
from crowrudder_core.catalog._watch_ages import WatchAges, confirmed_until

__all__ = (
    'HOLD_S',
    'LAPSE_GRACE_S',
    'RETURN_GRACE_S',
    'MAX_RECORD_BYTES',
    'RECOVERY_WINDOW_S',
    'MIN_DEFLATED_BYTES',
    'AnswerTimeout',
    'Catalog',
    'Evacuations',
    'FetchPolicy',
    'FleetView',
    'ListedUpstream',
    'TickMonitor',
    'Release',
    'Releases',
    'RouteTable',
    'StoreReadPolicy',
    'StoreStep',
    'WATCHERS',
    'WATCH_WAIT_S',
    'WatchAges',
    'confirmed_until',
    'deflate_record',
    'inflate_record',
)
