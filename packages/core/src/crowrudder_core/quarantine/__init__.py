"""Quarantine of requests that crash the upstreams that run them."""

from crowrudder_core.quarantine._digest import digest_text, request_digest
from crowrudder_core.quarantine._quarantine import (
    Audience,
    Effect,
    Quarantine,
    Quarantined,
    SendSuspicion,
    owners,
)

__all__ = (
    'Audience',
    'Quarantined',
    'Effect',
    'Quarantine',
    'SendSuspicion',
    'digest_text',
    'owners',
    'request_digest',
)
