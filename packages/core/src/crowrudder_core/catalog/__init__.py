"""Published records: replication, ordering and the fleet state they form."""

from crowrudder_core.catalog._answer_timeout import AnswerTimeout
from crowrudder_core.catalog._catalog import Catalog
from crowrudder_core.catalog._packing import (
    MOST_RECORD_BYTES,
    SMALLEST_DEFLATED_BYTES,
    deflated,
    inflated,
)
from crowrudder_core.catalog._punctuality import Punctuality
from crowrudder_core.catalog._reading import (
    RETURN_S,
    WATCH_WAIT_S,
    WATCHERS,
    StoreReading,
    StoreStep,
)
from crowrudder_core.catalog._releases import Release, Releases
from crowrudder_core.catalog._routes import RouteTable
from crowrudder_core.catalog._view import FleetView, ListedUpstream
from crowrudder_core.catalog._watch_ages import WatchAges

__all__ = (
    'MOST_RECORD_BYTES',
    'RETURN_S',
    'SMALLEST_DEFLATED_BYTES',
    'AnswerTimeout',
    'Catalog',
    'FleetView',
    'ListedUpstream',
    'Punctuality',
    'Release',
    'Releases',
    'RouteTable',
    'StoreReading',
    'StoreStep',
    'WATCHERS',
    'WATCH_WAIT_S',
    'WatchAges',
    'deflated',
    'inflated',
)
