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
from crowrudder_model.fleet._layers import NO_LAYERS, LayerRange, PipelineStage
from crowrudder_model.fleet._node import Bounds, Node, NodeLocation
from crowrudder_model.fleet._records import (
    Evacuation,
    PublishedRecord,
    TargetVersion,
    Upstream,
    UpstreamState,
)
from crowrudder_model.fleet._statements import (
    NO_STATEMENTS,
    UpstreamStatements,
)

__all__ = (
    'NO_LAYERS',
    'NO_STATEMENTS',
    'Bounds',
    'CallerLimits',
    'CustomerKeys',
    'EngineFigures',
    'Evacuation',
    'FleetConfig',
    'FleetService',
    'LayerRange',
    'TargetVersion',
    'Node',
    'NodeLocation',
    'PipelineStage',
    'PublishedRecord',
    'Route',
    'RouteKind',
    'RouteTarget',
    'Upstream',
    'UpstreamState',
    'UpstreamStatements',
)
