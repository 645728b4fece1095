"""Published records of a fleet, as typed values.

An adapter decodes an external system's records to these values, which are
independent of that system's names.
"""

from crowrudder_model.fleet._config import (
    CallerLimits,
    CustomerKeys,
    FleetConfig,
    FleetService,
    Route,
    RouteKind,
    RouteTarget,
)
from crowrudder_model.fleet._engine import EngineFigures
from crowrudder_model.fleet._layers import NO_LAYERS, LayerRange, PathPart
from crowrudder_model.fleet._node import Bounds, Node, NodePlace
from crowrudder_model.fleet._records import (
    NamedVersion,
    Published,
    Upstream,
    UpstreamState,
)

__all__ = (
    'NO_LAYERS',
    'Bounds',
    'CallerLimits',
    'CustomerKeys',
    'EngineFigures',
    'FleetConfig',
    'FleetService',
    'LayerRange',
    'NamedVersion',
    'Node',
    'NodePlace',
    'PathPart',
    'Published',
    'Route',
    'RouteKind',
    'RouteTarget',
    'Upstream',
    'UpstreamState',
)
