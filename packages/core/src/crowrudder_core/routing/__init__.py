"""Routing: which agent is asked next."""

from crowrudder_core.routing._router import AgentState, Need, Router

__all__ = ('AgentState', 'Need', 'Router')
