"""Routing: the choice of an agent for a request."""

from crowrudder_core.routing._agent_state import AgentState
from crowrudder_core.routing._router import Choice, Need, Router
from crowrudder_core.routing._subset import covered

__all__ = ('AgentState', 'Choice', 'Need', 'Router', 'covered')
