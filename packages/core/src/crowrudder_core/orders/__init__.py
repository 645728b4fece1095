"""Orders to engines: fencing numbers that only rise, state read back."""

from crowrudder_core.orders._fencing import FencingNumber
from crowrudder_core.orders._orders import (
    EngineOrders,
    EngineRead,
    Loaded,
    Outdated,
    SendOrder,
    Target,
)

__all__ = (
    'EngineOrders',
    'EngineRead',
    'FencingNumber',
    'SendOrder',
    'Loaded',
    'Outdated',
    'Target',
)
