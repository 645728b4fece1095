"""What a process keeps of its records as the store begins a new era."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_model.messages import PublishedItem


def is_same_record(item: PublishedItem, known: PublishedItem) -> bool:
    """Return whether two records say the same, whatever their revisions."""
    if item.version and item.version == known.version:
        return True
    return (item.payload, item.is_deflated) == (
        known.payload,
        known.is_deflated,
    )


def has_older_version(item: PublishedItem, known: PublishedItem) -> bool:
    """Return whether an operator's record has a lower version than a known one.

    >>> from crowrudder_model.messages import PublishedItem
    >>> known = PublishedItem(key='k', revision=9, payload=b'', version=23)
    >>> has_older_version(evolve(known, revision=10, version=18), known)
    True
    """
    return 0 < item.version < known.version


def enter_era(
    listed: Mapping[str, PublishedItem],
    known: Mapping[str, PublishedItem],
    last_written: Mapping[str, int],
    *,
    through: int,
) -> dict[str, PublishedItem]:
    """Return the records of a new era, given its first list.

    The store came back from a copy, which lacks what was written last:

    - An operator's record of a lower version doesn't replace a higher one. It
      stays in force until the operator writes a newer one.
    - A record that was removed since it was written isn't back: the copy was
      made before its removal. A write of the new era has a higher revision.
    - Any other known record that the copy lacks is removed. Its writer, if
      there still is one, writes it again.

    Parameters
    ----------
    listed, known
        Records by key, of the new era and of the one before; a removal has no
        payload.
    last_written
        For removed keys, the revision of the record that was removed.
    through
        The revision of the list.
    """
    entered = {
        key: _entered(item, known.get(key), last_written.get(key))
        for key, item in listed.items()
    }
    for key, item in known.items():
        if key in listed:
            continue
        kept = item if item.version else evolve(item, payload=None)
        entered[key] = evolve(kept, revision=through)
    return entered


def _entered(
    item: PublishedItem, known: PublishedItem | None, written: int | None
) -> PublishedItem:
    if known is None or is_same_record(item, known):
        return item
    if has_older_version(item, known):
        return evolve(known, revision=item.revision)
    if known.payload is None:
        last_known = known.revision if written is None else written
        if item.revision <= last_known:
            return evolve(known, revision=item.revision)
    return item
