"""Forecasts of an upstream's time to first event, and the choice of one."""

from crowrudder_core.forecast._choice import (
    Candidate,
    Choice,
    choose,
    choose_eligible,
)
from crowrudder_core.forecast._engine import EngineModel
from crowrudder_core.forecast._incarnation import IncarnationTracker
from crowrudder_core.forecast._memory import (
    MemoryEstimate,
    estimate_memory,
    has_memory_for,
    memory_in_use,
    memory_of,
    request_memory,
)
from crowrudder_core.forecast._pipeline import (
    LayerHolder,
    Pipeline,
    build_pipeline,
)
from crowrudder_core.forecast._priority import NO_PRIORITY, Priority
from crowrudder_core.forecast._reach import is_slow_to_reach, report_overdue_s
from crowrudder_core.forecast._reserve import reserved_wait_s
from crowrudder_core.forecast._upstream_forecast import (
    LOAD_REPORT_TTL_S,
    LOCAL_REPORT_AGE_S,
    REMOTE_REPORT_AGE_S,
    InFlightRequest,
    UpstreamForecast,
)

__all__ = (
    'LOAD_REPORT_TTL_S',
    'NO_PRIORITY',
    'Priority',
    'Candidate',
    'Choice',
    'EngineModel',
    'LayerHolder',
    'IncarnationTracker',
    'LOCAL_REPORT_AGE_S',
    'REMOTE_REPORT_AGE_S',
    'MemoryEstimate',
    'UpstreamForecast',
    'Pipeline',
    'InFlightRequest',
    'choose',
    'choose_eligible',
    'estimate_memory',
    'has_memory_for',
    'memory_in_use',
    'memory_of',
    'is_slow_to_reach',
    'report_overdue_s',
    'build_pipeline',
    'request_memory',
    'reserved_wait_s',
)
