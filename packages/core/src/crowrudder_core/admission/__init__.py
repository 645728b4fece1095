"""Admission: which requests are sent while not all can be served in time."""

from __future__ import annotations

from crowrudder_core.admission._decaying import DecayingCount
from crowrudder_core.admission._levels import PriorityLevels
from crowrudder_core.admission._priorities import (
    AdmissionRequest,
    PriorityAdmission,
)

__all__ = (
    'AdmissionRequest',
    'DecayingCount',
    'PriorityAdmission',
    'PriorityLevels',
)
