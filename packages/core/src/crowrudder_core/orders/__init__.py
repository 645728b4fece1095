"""Orders to engines: fencing numbers, state read back, age of staged chunks."""

from crowrudder_core.orders._fencing import FencingNumber
from crowrudder_core.orders._orders import (
    EngineOrders,
    EngineRead,
    Loaded,
    Outdated,
    SendOrder,
    Target,
)
from crowrudder_core.orders._proofs import OrderProofs
from crowrudder_core.orders._replacement import replacement_steps
from crowrudder_core.orders._staging import (
    ACCEPTANCE_S,
    MAX_TAKEN_AGE_S,
    Staging,
)

__all__ = (
    'ACCEPTANCE_S',
    'MAX_TAKEN_AGE_S',
    'EngineOrders',
    'EngineRead',
    'FencingNumber',
    'Loaded',
    'OrderProofs',
    'Outdated',
    'SendOrder',
    'Staging',
    'Target',
    'replacement_steps',
)
