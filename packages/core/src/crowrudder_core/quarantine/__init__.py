"""Quarantine of requests that crash the upstreams that run them."""

from crowrudder_core.quarantine._digest import digest_text, request_digest
from crowrudder_core.quarantine._quarantine import (
    Audience,
    Convicted,
    Effect,
    Quarantine,
    Tell,
    owners,
)

__all__ = (
    'Audience',
    'Convicted',
    'Effect',
    'Quarantine',
    'Tell',
    'digest_text',
    'owners',
    'request_digest',
)
