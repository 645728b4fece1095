"""Published records on their way between platform, processes and view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve, frozen

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
    """Changes, or a whole list, from the platform or a peer."""

    items: tuple[PublishedItem, ...]
    through: int
    is_whole: bool
    teller: str

    def age_by(self, key: str, age_s: float | None) -> str:
        """Give where the age of a record comes from; see `VersionEnds`."""
        if age_s is None:
            return 'nobody'
        told = any(item.key == key and item.age_s >= 0 for item in self.items)
        return 'teller' if told else 'guess'


@frozen
class AgesCame:
    """Ages of records from a peer."""

    ages: tuple[RecordAge, ...]
    teller: str

    def age_by(self, _key: str, _age_s: float | None) -> str:
        """Give where the age of a record comes from; see `VersionEnds`."""
        return 'teller'


def read_records(listing: Listing, *, is_whole: bool) -> RecordsCame:
    """Take records from the platform, deflated for all other processes."""
    items = tuple(deflated(item) for item in listing.items)
    return RecordsCame(items, listing.through, is_whole, 'platform')


def told_records(changes: Changes, teller: str) -> RecordsCame:
    """Take records from another process as they came."""
    return RecordsCame(changes.items, changes.through, changes.is_whole, teller)


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
