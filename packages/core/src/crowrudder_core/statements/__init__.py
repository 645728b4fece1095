"""What upstreams state about themselves, and whether they accept a request."""

from crowrudder_core.statements._acceptance import (
    Absent,
    Acceptance,
    Accepting,
    Cold,
    Leaving,
    Limited,
    Pausing,
)
from crowrudder_core.statements._pause import (
    MAX_PAUSE_S,
    RETURN_S,
    Pause,
)
from crowrudder_core.statements._registry import (
    MAX_RESUME_SPREAD_S,
    MAX_UNLISTED,
    IncarnationKey,
    LeavingStated,
    LimitStated,
    PauseStated,
    StatementChange,
    StatementRegistry,
)

__all__ = (
    'MAX_PAUSE_S',
    'MAX_RESUME_SPREAD_S',
    'MAX_UNLISTED',
    'RETURN_S',
    'Absent',
    'Acceptance',
    'Accepting',
    'Cold',
    'IncarnationKey',
    'Leaving',
    'LeavingStated',
    'LimitStated',
    'Limited',
    'Pause',
    'PauseStated',
    'Pausing',
    'StatementChange',
    'StatementRegistry',
)
