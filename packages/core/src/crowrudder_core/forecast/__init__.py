"""Forecasts of an upstream's answer by its own figures, and the choice."""

from crowrudder_core.forecast._choice import (
    Candidate,
    Choice,
    choose,
    choose_fitting,
)
from crowrudder_core.forecast._engine import EngineModel
from crowrudder_core.forecast._life import LifeMark
from crowrudder_core.forecast._outlook import Outlook, Work
from crowrudder_core.forecast._paths import Holder, Path, path_from

__all__ = (
    'Candidate',
    'Choice',
    'EngineModel',
    'Holder',
    'LifeMark',
    'Outlook',
    'Path',
    'Work',
    'choose',
    'choose_fitting',
    'path_from',
)
