"""Quarantine of requests, and parts of prompts, that crash upstreams."""

from crowrudder_core.quarantine._digest import (
    digest_text,
    part_digest,
    request_digest,
)
from crowrudder_core.quarantine._quarantine import (
    Audience,
    Effect,
    Quarantine,
    Quarantined,
    SendSuspicion,
    Verdict,
    owners,
)

__all__ = (
    'Audience',
    'Quarantined',
    'Effect',
    'Quarantine',
    'SendSuspicion',
    'Verdict',
    'digest_text',
    'owners',
    'part_digest',
    'request_digest',
)
