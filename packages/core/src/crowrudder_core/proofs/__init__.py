"""How old what a peer says is at most, proved by echoes of own messages."""

from crowrudder_core.proofs._exchanges import (
    ECHO_RETENTION_S,
    NO_ECHO,
    Echo,
    Exchanges,
)

__all__ = ['ECHO_RETENTION_S', 'NO_ECHO', 'Echo', 'Exchanges']
