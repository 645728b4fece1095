"""Formats the fleet state as text and as plain values for JSON."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from crowrudder_client._fleet_state import (
    SHORT_DIGEST_CHARS,
    FleetState,
    HostRow,
)
from crowrudder_client._tables import format_table, format_time

Column = tuple[str, Callable[[HostRow], object]]
SERVICE_HEADS = (
    'service',
    'version',
    'replicas',
    'hosts',
    'declared',
    'progress',
)
HOST_COLUMNS: tuple[Column, ...] = (
    ('host', lambda row: row.host),
    ('role', lambda row: row.role),
    ('service', lambda row: row.service),
    ('state', lambda row: row.state),
    ('generation', lambda row: row.generation),
    ('bundle', lambda row: row.digest[:SHORT_DIGEST_CHARS]),
    ('since', lambda row: format_time(row.in_force_since)),
    ('declared', lambda row: row.declared_version),
    ('loaded', lambda row: row.loaded_version),
    ('progress', lambda row: _share(row.progress)),
    ('hindered by', lambda row: '; '.join(row.hinders)),
)


def render_text(fleet_state: FleetState) -> str:
    """Format the fleet state as tables, followed by a summary line."""
    counted = [row for row in fleet_state.hosts if row.is_counted]
    done = sum(row.state == 'declared' for row in counted)
    yes_or_no = 'yes' if fleet_state.is_declared else 'no'
    parts = [
        _host_table(fleet_state),
        *_refusals(fleet_state),
        *_losses(fleet_state),
        f'in the declared state: {yes_or_no}, {done} of {len(counted)} hosts, '
        f'bundle {fleet_state.digest or "none"}',
    ]
    if fleet_state.services:
        parts.insert(0, _service_table(fleet_state))
    return '\n\n'.join(parts)


def json_values(fleet_state: FleetState) -> dict[str, Any]:
    """Return the fleet state as plain values."""
    return {
        'is_declared': fleet_state.is_declared,
        'digest': fleet_state.digest,
        'services': msgspec.to_builtins(fleet_state.services),
        'hosts': msgspec.to_builtins(fleet_state.hosts),
    }


def _service_table(fleet_state: FleetState) -> str:
    return format_table(
        SERVICE_HEADS,
        (
            (
                row.service,
                row.version,
                row.replicas or 'all',
                row.hosts,
                row.declared,
                _share(row.progress),
            )
            for row in fleet_state.services
        ),
    )


def _host_table(fleet_state: FleetState) -> str:
    return format_table(
        [head for head, _ in HOST_COLUMNS],
        (
            [value_of(row) for _, value_of in HOST_COLUMNS]
            for row in fleet_state.hosts
        ),
    )


def _refusals(fleet_state: FleetState) -> list[str]:
    """Return a line per reason: one bad value reaches every host."""
    reasons = Counter(row.refused for row in fleet_state.hosts if row.refused)
    return [
        f'a published bundle is refused by {count} hosts: {reason}'
        for reason, count in reasons.items()
    ]


def _losses(fleet_state: FleetState) -> list[str]:
    """Return a line per bundle that lost a publishing race, and the remedy."""
    losses = Counter(row.lost for row in fleet_state.hosts if row.lost)
    return [
        f'bundle {lost.digest} of generation {lost.generation} lost to '
        f'{lost.winner}, as {count} hosts saw: whoever published it takes the '
        "winner's change over and publishes a higher generation"
        for lost, count in losses.items()
    ]


def _share(share: float | None) -> str:
    return '' if share is None else f'{share:.0%}'
