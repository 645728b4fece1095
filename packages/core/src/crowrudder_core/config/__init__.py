"""Configuration: which bundle is in force, and who reads the platform."""

from crowrudder_core.config._book import (
    Accepted,
    ActiveConfig,
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
    PlatformReadPolicy,
    ReadingMode,
    watchers_of,
)

__all__ = (
    'WATCHERS',
    'Accepted',
    'ActiveConfig',
    'ConfigOrder',
    'Held',
    'Ignored',
    'Lost',
    'Offer',
    'PlatformReadPolicy',
    'ReadingMode',
    'Refused',
    'Verdict',
    'order_of',
    'watchers_of',
)
