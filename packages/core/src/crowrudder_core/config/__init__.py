"""Configuration: which bundle is in force, and who reads the platform."""

from crowrudder_core.config._book import (
    Accepted,
    ConfigBook,
    ConfigOrder,
    Held,
    Ignored,
    Lost,
    Offer,
    Refused,
    Verdict,
    order_of,
)
from crowrudder_core.config._reading import (
    WATCHERS,
    PlatformReading,
    ReadingMode,
    watchers_of,
)

__all__ = (
    'WATCHERS',
    'Accepted',
    'ConfigBook',
    'ConfigOrder',
    'Held',
    'Ignored',
    'Lost',
    'Offer',
    'PlatformReading',
    'ReadingMode',
    'Refused',
    'Verdict',
    'order_of',
    'watchers_of',
)
