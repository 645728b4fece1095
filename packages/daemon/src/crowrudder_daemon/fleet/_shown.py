"""Published records in a few words, as the log shows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_model.fleet import FleetConfig, NamedVersion, Upstream

if TYPE_CHECKING:
    from crowrudder_model.fleet import Published


def shown(record: Published) -> str:
    """Give a record's kind and what tells it from others."""
    match record:
        case FleetConfig(version=version):
            return f'configuration {version}'
        case Upstream(id=name, state=state, weights=weights):
            return f'upstream {name} {state.value} weights {weights}'
        case NamedVersion(model=model, version=version):
            return f'{model} version {version}'
