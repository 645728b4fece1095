"""What upstreams state about themselves, and whether they accept a request."""

from crowrudder_core.statements._acceptance import (
    Acceptance,
    Accepting,
    Leaving,
    Limited,
)
from crowrudder_core.statements._registry import (
    MAX_UNLISTED,
    IncarnationKey,
    LeavingStated,
    LimitStated,
    StatementChange,
    StatementRegistry,
)

__all__ = (
    'MAX_UNLISTED',
    'Acceptance',
    'Accepting',
    'IncarnationKey',
    'Leaving',
    'LeavingStated',
    'LimitStated',
    'Limited',
    'StatementChange',
    'StatementRegistry',
)
