"""Delays of what is sent to and from a host, estimated from what is observed."""

from crowrudder_core.transit._round_trips import RoundTrips
from crowrudder_core.transit._transit_delay import TransitDelay

__all__ = ('RoundTrips', 'TransitDelay')
