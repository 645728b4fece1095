"""The status as people and as programs read it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from crowrudder_client._tables import moment, table
from crowrudder_client._verdict import SHOWN_DIGITS, HostRow, Verdict

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
    ('bundle', lambda row: row.digest[:SHOWN_DIGITS]),
    ('since', lambda row: moment(row.in_force_since)),
    ('declared', lambda row: row.declared_version),
    ('loaded', lambda row: row.loaded_version),
    ('progress', lambda row: _share(row.progress)),
    ('hindered by', lambda row: '; '.join(row.hinders)),
)


def text_of(verdict: Verdict) -> str:
    """Write the verdict as tables with a last line that sums it up."""
    counted = [row for row in verdict.hosts if row.is_counted]
    done = sum(row.state == 'declared' for row in counted)
    word = 'yes' if verdict.is_declared else 'no'
    parts = [
        _host_table(verdict),
        *_refusals(verdict),
        *_losses(verdict),
        f'in the declared state: {word}, {done} of {len(counted)} hosts, '
        f'bundle {verdict.digest or "none"}',
    ]
    if verdict.services:
        parts.insert(0, _service_table(verdict))
    return '\n\n'.join(parts)


def answer_of(verdict: Verdict) -> dict[str, Any]:
    """Give the verdict as plain values."""
    return {
        'is_declared': verdict.is_declared,
        'digest': verdict.digest,
        'services': msgspec.to_builtins(verdict.services),
        'hosts': msgspec.to_builtins(verdict.hosts),
    }


def _service_table(verdict: Verdict) -> str:
    return table(
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
            for row in verdict.services
        ),
    )


def _host_table(verdict: Verdict) -> str:
    return table(
        [head for head, _ in HOST_COLUMNS],
        ([told(row) for _, told in HOST_COLUMNS] for row in verdict.hosts),
    )


def _refusals(verdict: Verdict) -> list[str]:
    """Say each reason once: a bad value reaches the whole fleet."""
    reasons = Counter(row.refused for row in verdict.hosts if row.refused)
    return [
        f'a published bundle is refused by {count} hosts: {reason}'
        for reason, count in reasons.items()
    ]


def _losses(verdict: Verdict) -> list[str]:
    """Name each bundle that lost a race, and what its operator does now."""
    losses = Counter(row.lost for row in verdict.hosts if row.lost)
    return [
        f'bundle {lost.digest} of generation {lost.generation} lost to '
        f'{lost.winner}, as {count} hosts saw: whoever published it takes the '
        "winner's change over and publishes a higher generation"
        for lost, count in losses.items()
    ]


def _share(share: float | None) -> str:
    return '' if share is None else f'{share:.0%}'
