"""Routing: the choice of an agent for a request."""

from crowrudder_core.routing._agent_state import AgentState
from crowrudder_core.routing._regions import (
    allowed_regions,
    entries_for_caller,
)
from crowrudder_core.routing._router import Choice, Need, Router
from crowrudder_core.routing._subset import covered

__all__ = (
    'AgentState',
    'Choice',
    'Need',
    'Router',
    'allowed_regions',
    'covered',
    'entries_for_caller',
)
