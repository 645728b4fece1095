"""Short descriptions of published records for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model.fleet import (
    Evacuation,
    FleetConfig,
    TargetVersion,
    Upstream,
)

if TYPE_CHECKING:
    from crowrudder_model.fleet import PublishedRecord


def describe_record(record: PublishedRecord) -> str:
    """Return a record's kind and what identifies it."""
    match record:
        case FleetConfig(version=version):
            return f'configuration {version}'
        case Upstream(id=name, state=state, weights=weights):
            return f'upstream {name} {state.value} weights {weights}'
        case TargetVersion(model=model, version=version):
            return f'{model} version {version}'
        case Evacuation(failure_domain=failure_domain):
            return f'evacuation of {failure_domain}'
