"""Forecasts of an upstream's time to first event, and the choice of one."""

from crowrudder_core.forecast._choice import (
    Candidate,
    Choice,
    choose,
    choose_fitting,
)
from crowrudder_core.forecast._engine import EngineModel
from crowrudder_core.forecast._incarnation import IncarnationTracker
from crowrudder_core.forecast._outlook import Outlook, Work
from crowrudder_core.forecast._pipeline import Holder, Path, path_from

__all__ = (
    'Candidate',
    'Choice',
    'EngineModel',
    'Holder',
    'IncarnationTracker',
    'Outlook',
    'Path',
    'Work',
    'choose',
    'choose_fitting',
    'path_from',
)
