"""Small and large configurations of a platform fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

HOST = 'shop.example'
BOUND_HOST = 'bound.example'
"""Host name whose only route one region serves. No requests are sent to it."""

SERVING_REGIONS = {
    HOST: frozenset(('r1', 'r2')),
    BOUND_HOST: frozenset(('r1',)),
}
"""Regions to which routes of each host name are restricted."""

CHUNKS = 8
WARM_S = 0.05
EXTRA_ROUTES = 1400
"""Additional routes of a large configuration: over 250 KB, as the users have."""

ENGINE = {
    'slots': 8,
    'step_ms': 2,
    'read_per_s': 100_000,
    'stride': 1,
    'usual': {'prompt': 100, 'answer': 6},
    'models': [{'name': 'm', 'warm_s': WARM_S}],
    'layers': 16,
    'chunks': CHUNKS,
    'chunk_bytes': 4096,
}

IDLE_LIMIT_S = 5.0
"""Idle limit of callers' connections until it is changed."""

COLD_PER_S = 6.0
"""Low enough that the load of the soak would end a cold replica: an engine gets
10 to 20 requests a second while it is warm."""

COLD_S = 2.0
COLD_TERMS = {'cold_s': COLD_S, 'cold_per_s': COLD_PER_S}

ROUTES: tuple[tuple[str, Mapping[str, Any]], ...] = (
    ('urgent', {'priority': 0}),
    ('bulk', {'priority': 4}),
    ('near', {'serving_regions': ['r1'], 'resumable': True}),
    ('far', {'serving_regions': ['r2']}),
    ('bound', {'host': BOUND_HOST, 'serving_regions': ['r1']}),
)
CUSTOMERS: tuple[dict[str, Any], ...] = (
    {
        'name': 'local',
        'api_keys': ['local-key'],
        'serving_regions': ['r1', 'r2'],
    },
    {
        'name': 'bound',
        'api_keys': ['bound-key'],
        'serving_regions': ['r1'],
    },
    {'name': 'guest', 'api_keys': ['guest-key'], 'priority': 3},
)


def configuration(
    version: int,
    origin: str,
    keys: list[str],
    *,
    is_large: bool,
    idle_limit_s: float = IDLE_LIMIT_S,
) -> dict[str, Any]:
    """Return a configuration as it is published."""
    return {
        'version': version,
        'routes': _routes() + (_extra_routes() if is_large else []),
        'services': [
            {'name': 'plain', 'max_conns': 500},
            {'name': 'llm', 'max_conns': 500, 'engine': ENGINE, **COLD_TERMS},
            {'name': 'src', 'origin': origin},
        ],
        'limits': {
            'idle_timeout_ms': round(idle_limit_s * 1000),
            'header_timeout_ms': 3000,
        },
        'tenants': [{'name': 'shop', 'api_keys': keys}, *CUSTOMERS],
    }


def _routes() -> list[dict[str, Any]]:
    llm = {'service': 'llm', 'gap_goal_ms': 400}
    return [
        _route('read', 'safe', service='plain'),
        _route('notice', 'unsafe', service='plain'),
        _route('draft', 'streaming', resumable=True, **llm),
        _route('once', 'streaming', **llm),
        *(_route(name, 'streaming', **llm, **more) for name, more in ROUTES),
    ]


def _extra_routes() -> list[dict[str, Any]]:
    return [
        _route(f'more-{number}', 'safe', service='plain')
        for number in range(EXTRA_ROUTES)
    ]


def _route(name: str, kind: str, **more: Any) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 4000,
        'goal_ms': 3000,
        'priority': 1,
        'attempts': 2,
        'public': False,
        **more,
    }
