"""Published records in transit between platform, processes and view."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import evolve, frozen
from msgspec.structs import replace

from crowrudder_core.catalog import deflate_record, inflate_record
from crowrudder_daemon.fleet.ports import BadRecordError
from crowrudder_model import MalformedMessageError

if TYPE_CHECKING:
    from crowrudder_daemon.fleet.ports import Listing, PublishedSource
    from crowrudder_model import StorePosition
    from crowrudder_model.fleet import PublishedRecord
    from crowrudder_model.messages import Changes, PublishedItem, RecordAge


@frozen
class PeerAhead:
    """A peer's records are newer than those of this process."""

    address: str
    position: StorePosition


@frozen
class RecordsReceived:
    """Changes, or a complete list, from the platform or a peer.

    ``as_of`` is the time on the own clock at which the ages were right; a
    future time stands for the moment at which the records are applied. It must
    never be later than the time at which the ages were right. Otherwise the
    transit time of the answer, or its wait in this process, would make a
    version appear younger than it is, and the previous version would be used
    for that much longer than allowed.

    ``confirmed_at`` is the time on the own clock at which the platform had
    nothing newer.
    """

    items: tuple[PublishedItem, ...]
    through: StorePosition
    is_whole: bool
    teller: str
    as_of: float = math.inf
    confirmed_at: float = -math.inf

    def add_elapsed_time(
        self, items: list[PublishedItem], now: float
    ) -> list[PublishedItem]:
        """Add the time since ``as_of`` to the ages that are known."""
        waited_s = max(now - self.as_of, 0)
        return [
            evolve(item, age_s=item.age_s + waited_s)
            if waited_s and item.age_s >= 0
            else item
            for item in items
        ]

    def applies_after(self, position: StorePosition) -> bool:
        """Return whether a process at a position can apply the records."""
        if self.is_whole:
            return self.through.era >= position.era
        return self.through.era == position.era

    def age_by(self, key: str, age_s: float | None) -> str:
        """Return the source of a record's age; see `VersionEnds`."""
        if age_s is None:
            return 'nobody'
        has_age = any(
            item.key == key and item.age_s >= 0 for item in self.items
        )
        return 'teller' if has_age else 'guess'


@frozen
class AgesReceived:
    """Ages of records from a peer, and those that the store lost.

    ``era`` and ``kept`` as in `Ages`, ``as_of`` as in `RecordsReceived`.
    """

    ages: tuple[RecordAge, ...]
    teller: str
    era: int
    kept: tuple[PublishedItem, ...] = ()
    as_of: float = math.inf

    def add_elapsed_time(self, now: float) -> list[RecordAge]:
        """Add the time since ``as_of`` to the ages."""
        waited_s = max(now - self.as_of, 0)
        return [
            replace(each, age_s=each.age_s + waited_s) for each in self.ages
        ]

    def age_by(self, _key: str, _age_s: float | None) -> str:
        """Return the source of a record's age; see `VersionEnds`."""
        return 'teller'


def platform_records(
    listing: Listing,
    *,
    is_whole: bool,
    as_of: float = math.inf,
    confirmed_at: float = -math.inf,
) -> RecordsReceived:
    """Return records of the platform, deflated for all other processes."""
    items = tuple(deflate_record(item) for item in listing.items)
    return RecordsReceived(
        items, listing.through, is_whole, 'platform', as_of, confirmed_at
    )


def peer_records(
    changes: Changes, teller: str, *, as_of: float
) -> RecordsReceived:
    """Return records of another process, unchanged.

    ``as_of`` is when they were requested: their ages and their confirmation
    are at least as old as if they were right then.
    """
    return RecordsReceived(
        changes.items,
        changes.position,
        changes.is_whole,
        teller,
        as_of,
        as_of - max(changes.confirmed_s, 0),
    )


def inflate_changes(changes: Changes) -> Changes:
    """Return changes for a process that can't inflate them.

    While two releases run side by side, a process of the older one would
    otherwise refuse the configuration, and one that starts would have none.
    """
    return evolve(changes, items=tuple(map(_inflate_if_valid, changes.items)))


def decode_item(
    source: PublishedSource, item: PublishedItem
) -> PublishedRecord | None:
    """Decode a current record; return None for one of no use here.

    Raises
    ------
    BadRecordError
        If the record can't be decoded.
    """
    try:
        payload = inflate_record(item).payload
    except MalformedMessageError as exc:
        raise BadRecordError(exc.message, step=exc.step, peer=item.key) from exc
    return source.decode(item.key, payload or b'')


def _inflate_if_valid(item: PublishedItem) -> PublishedItem:
    try:
        return inflate_record(item)
    except MalformedMessageError:
        # The receiver refuses the record, as this process did.
        return item
