"""Published records on their way between platform, processes and view."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import evolve, frozen
from msgspec.structs import replace

from crowrudder_core.catalog import deflated, inflated
from crowrudder_daemon.fleet.ports import BadRecordError
from crowrudder_model import MalformedMessageError

if TYPE_CHECKING:
    from crowrudder_daemon.fleet.ports import Listing, PublishedSource
    from crowrudder_model.fleet import Published
    from crowrudder_model.messages import Changes, PublishedItem, RecordAge


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

    def age_by(self, key: str, age_s: float | None) -> str:
        """Give where the age of a record comes from; see `VersionEnds`."""
        if age_s is None:
            return 'nobody'
        told = any(item.key == key and item.age_s >= 0 for item in self.items)
        return 'teller' if told else 'guess'


@frozen
class AgesCame:
    """Ages of records from a peer; ``as_of`` as for `RecordsCame`."""

    ages: tuple[RecordAge, ...]
    teller: str
    as_of: float = math.inf

    def older_by_wait(self, now: float) -> list[RecordAge]:
        """Add what has passed since ``as_of`` to the ages."""
        waited_s = max(now - self.as_of, 0)
        return [
            replace(told, age_s=told.age_s + waited_s) for told in self.ages
        ]

    def age_by(self, _key: str, _age_s: float | None) -> str:
        """Give where the age of a record comes from; see `VersionEnds`."""
        return 'teller'


def read_records(
    listing: Listing, *, is_whole: bool, as_of: float = math.inf
) -> RecordsCame:
    """Take records from the platform, deflated for all other processes."""
    items = tuple(deflated(item) for item in listing.items)
    return RecordsCame(items, listing.through, is_whole, 'platform', as_of)


def told_records(
    changes: Changes, teller: str, *, as_of: float = math.inf
) -> RecordsCame:
    """Take records from another process as they came."""
    return RecordsCame(
        changes.items, changes.through, changes.is_whole, teller, as_of
    )


def plain_changes(changes: Changes) -> Changes:
    """Give changes for a process that can't inflate them.

    What goes wrong without: while releases run side by side, a process of the
    older one refuses the configuration, and one that starts has none at all.
    """
    return evolve(changes, items=tuple(map(_plain, changes.items)))


def decoded_record(
    source: PublishedSource, item: PublishedItem
) -> Published | None:
    """Decode a record that stands; None for one that means nothing here.

    Raises
    ------
    BadRecordError
        When it can't be read.
    """
    try:
        payload = inflated(item).payload
    except MalformedMessageError as exc:
        raise BadRecordError(exc.message, step=exc.step, peer=item.key) from exc
    return source.decode(item.key, payload or b'')


def _plain(item: PublishedItem) -> PublishedItem:
    try:
        return inflated(item)
    except MalformedMessageError:
        # It is refused there as it was here.
        return item
