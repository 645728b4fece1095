"""Configuration: which bundle is in force, in one total order."""

from crowrudder_core.config._book import (
    Accepted,
    ConfigBook,
    Ignored,
    Lost,
    Refused,
)

__all__ = ('Accepted', 'ConfigBook', 'Ignored', 'Lost', 'Refused')
