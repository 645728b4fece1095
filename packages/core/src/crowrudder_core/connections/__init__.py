"""The life of a caller's connection, from accept to close."""

from crowrudder_core.connections._caller_connection import CallerConnection
from crowrudder_core.connections._closes import Close, CloseRule
from crowrudder_core.connections._idle_connections import IdleConnections
from crowrudder_core.connections._limits import ConnectionLimits
from crowrudder_core.connections._states import ConnectionState

__all__ = (
    'CallerConnection',
    'Close',
    'CloseRule',
    'ConnectionLimits',
    'ConnectionState',
    'IdleConnections',
)
