"""What the owner of the published records is told, and how it is shown."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import evolve, frozen

from crowrudder_model.fleet import FleetConfig, NamedVersion, Upstream

if TYPE_CHECKING:
    from crowrudder_model.fleet import Published
    from crowrudder_model.messages import PublishedItem


@frozen
class PeerAhead:
    """A process has records that this one lacks."""

    address: str
    revision: int


@frozen
class RecordsCame:
    """Changes, or a whole list, from the platform or a peer.

    ``as_of`` is the time on the own clock of which their ages are; one that
    is to come stands for when they are taken. It is never after the moment at
    which the ages were right: what goes wrong otherwise is that the way of an
    answer, or the wait for this process, makes a version younger than it is,
    and the one before it is used for so much longer than its time.
    """

    items: tuple[PublishedItem, ...]
    through: int
    is_whole: bool
    teller: str
    as_of: float = math.inf

    def older_by_wait(
        self, items: list[PublishedItem], now: float
    ) -> list[PublishedItem]:
        """Add what has passed since ``as_of`` to the ages that are known."""
        waited_s = max(now - self.as_of, 0)
        return [
            evolve(item, age_s=item.age_s + waited_s)
            if waited_s and item.age_s >= 0
            else item
            for item in items
        ]


def shown(record: Published) -> str:
    """Name a record in the log."""
    match record:
        case FleetConfig(version=version):
            return f'configuration {version}'
        case Upstream(id=name, state=state, weights=weights):
            return f'upstream {name} {state.value} weights {weights}'
        case NamedVersion(model=model, version=version):
            return f'{model} version {version}'
