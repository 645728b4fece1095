"""The aggregate that stores published records in the order of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from crowrudder_core.catalog._eras import (
    enter_era,
    has_older_version,
    is_same_record,
)
from crowrudder_model import NO_POSITION, StorePosition
from crowrudder_model.messages import Changes, PublishedItem, RecordAge

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_REMOVALS = 4096
"""Removals kept, so that a peer can be sent only the changes."""

HOLD_S = 10.0
"""How long a record that was removed before the store's copy brought it back
stays removed. Without a writer it lapses long before; one that is still there
has a writer that found its record unchanged."""


@frozen
class _HeldRecord:
    """A record in the store's copy that was removed since the copy was made."""

    item: PublishedItem
    until: float


@define
class Catalog:
    """Records by key, each at the highest revision received in one era.

    Records come from the platform, which may be read late, and from other
    processes, which may be behind. Without an order, an older copy from a peer
    would replace a newer record, and a withdrawn key or a removed upstream
    would be used again. Invariants: the position never goes back; within an era
    the revision of a key doesn't either, nor does an operator's version ever.

    Changes are taken only within the era. A complete list of a later era, from
    the platform or a peer, leads into it, see `enter_era`.

    Parameters
    ----------
    position
        The catalog is complete up to this position.
    floor
        Removals up to this revision of the era may be unknown.
    """

    position: StorePosition = NO_POSITION
    floor: int = 0
    _items: dict[str, PublishedItem] = field(factory=dict)
    _seen_at: dict[str, float] = field(factory=dict)
    _last_written: dict[str, int] = field(factory=dict)
    _kept: set[str] = field(factory=set)
    _held: dict[str, _HeldRecord] = field(factory=dict)

    @property
    def revision(self) -> int:
        """The revision of the position."""
        return self.position.revision

    def items(self) -> list[PublishedItem]:
        """Return the current records without removals, in no order."""
        return [
            item for item in self._items.values() if item.payload is not None
        ]

    def kept(self, *, now: float) -> tuple[PublishedItem, ...]:
        """Return the records whose version is higher than in the store."""
        return tuple(
            self._aged(self._items[key], now) for key in sorted(self._kept)
        )

    def apply(
        self,
        items: Iterable[PublishedItem],
        *,
        through: StorePosition,
        now: float,
    ) -> list[PublishedItem]:
        """Apply changes and return those that had an effect.

        The caller requested all changes after a position that this catalog had
        reached, so the catalog is complete up to ``through`` afterwards.
        Changes of another era have no effect.
        """
        if through.era != self.position.era:
            return []
        applied = [item for item in items if self._apply_item(item, now)]
        self.position = max(self.position, through)
        self._prune_removals()
        return applied

    def replace(
        self,
        items: Iterable[PublishedItem],
        *,
        through: StorePosition,
        now: float,
    ) -> list[PublishedItem]:
        """Apply a complete list as of ``through`` and return the changes.

        A record that isn't listed is removed, unless it was published after
        the list. A list of an earlier era has no effect.
        """
        listed = {item.key: item for item in items}
        if through.era > self.position.era:
            return self._enter_era(listed, through, now)
        if through.era == self.position.era:
            # Records may have come and gone since the last answer.
            self.floor = max(self.floor, through.revision)
            self._held = {
                key: held for key, held in self._held.items() if key in listed
            }
        gone = [
            PublishedItem(
                key=item.key, revision=through.revision, payload=None, age_s=0
            )
            for item in self.items()
            if item.key not in listed and item.revision <= through.revision
        ]
        return self.apply([*listed.values(), *gone], through=through, now=now)

    def keep(
        self, items: Iterable[PublishedItem], *, era: int, now: float
    ) -> list[PublishedItem]:
        """Apply a peer's `kept` records and return those that had an effect."""
        if era != self.position.era:
            return []
        kept = [item for item in items if self._apply_item(item, now)]
        self._kept.update(item.key for item in kept)
        return kept

    def release_held(self, *, now: float) -> list[PublishedItem]:
        """Return removed records that the store's copy still has.

        They are in use again, as their writers are alive.
        """
        released = []
        due = [each for each in self._held.values() if now >= each.until]
        for held in due:
            del self._held[held.item.key]
            known = self._items.get(held.item.key)
            if known == evolve(held.item, payload=None):
                released.append(held.item)
        self._items.update({item.key: item for item in released})
        return released

    def is_known(self, item: PublishedItem, through: StorePosition) -> bool:
        """Return whether a record of a list is no change to this catalog."""
        known = self._items.get(item.key)
        if known is not None and is_same_record(item, known):
            return True
        return StorePosition(through.era, item.revision) <= self.position

    def changes_after(
        self,
        position: StorePosition,
        *,
        now: float,
        confirmed_s: float,
    ) -> Changes:
        """Return the changes that a peer at a position is missing."""
        is_whole = (
            position.era != self.position.era
            or position.revision < self.floor
            or not position.revision
        )
        chosen = (
            self.items()
            if is_whole
            else [
                item
                for item in self._items.values()
                if item.revision > position.revision
            ]
        )
        return Changes(
            through=self.position.revision,
            items=tuple(self._aged(item, now) for item in chosen),
            is_whole=is_whole,
            confirmed_s=confirmed_s,
            era=self.position.era,
        )

    def ages(self, *, now: float) -> tuple[RecordAge, ...]:
        """Return the known ages of the current records."""
        return tuple(
            RecordAge(item.key, item.revision, age_s)
            for item in self.items()
            if (age_s := self.age_s(item.key, now=now)) is not None
        )

    def apply_ages(
        self, ages: Iterable[RecordAge], *, era: int, now: float
    ) -> list[PublishedItem]:
        """Apply ages to records without one and return these records.

        Records, removals and the catalog's position aren't changed.
        """
        if era != self.position.era:
            return []
        aged = []
        for reported in ages:
            known = self._items.get(reported.key)
            if known is not None and self._apply_age(reported, known, now):
                aged.append(self._aged(known, now))
        return aged

    def age_s(self, key: str, *, now: float) -> float | None:
        """Return the time since a record was published; None if unknown."""
        seen_at = self._seen_at.get(key)
        return None if seen_at is None else max(now - seen_at, 0)

    def _aged(self, item: PublishedItem, now: float) -> PublishedItem:
        age_s = self.age_s(item.key, now=now)
        return evolve(item, age_s=-1 if age_s is None else age_s)

    def _enter_era(
        self,
        listed: dict[str, PublishedItem],
        through: StorePosition,
        now: float,
    ) -> list[PublishedItem]:
        before = self._items
        self._items = enter_era(
            listed, before, self._last_written, through=through.revision
        )
        self.position = through
        self.floor = through.revision
        self._held = {}
        for key, item in listed.items():
            if self._items[key].payload is None:
                self._items[key] = evolve(item, payload=None)
                self._held[key] = _HeldRecord(item, now + HOLD_S)
        changed = []
        for key, item in self._items.items():
            known = before.get(key)
            self._set_kept(key, kept=item is not listed.get(key))
            if self._record_times(item, known, now):
                changed.append(item)
        self._prune_removals()
        return changed

    def _apply_item(self, item: PublishedItem, now: float) -> bool:
        known = self._items.get(item.key)
        if known is not None and has_older_version(item, known):
            newest = max(item.revision, known.revision)
            self._items[item.key] = evolve(known, revision=newest)
            self._set_kept(item.key, kept=True)
            return False
        if known is not None and has_older_version(known, item):
            newest = max(item.revision, known.revision)
            item = evolve(item, revision=newest)
        elif known is not None and item.revision <= known.revision:
            return self._apply_age(item, known, now)
        self._items[item.key] = item
        self._set_kept(item.key, kept=False)
        return self._record_times(item, known, now)

    def _set_kept(self, key: str, *, kept: bool) -> None:
        if kept and self._items[key].version:
            self._kept.add(key)
        else:
            self._kept.discard(key)

    def _record_times(
        self,
        item: PublishedItem,
        known: PublishedItem | None,
        now: float,
    ) -> bool:
        """Record a taken record's age; return whether it says anything new.

        A record that is written again as it was keeps the age from its first
        writing.
        """
        if known is None or not is_same_record(item, known):
            self._seen_at.pop(item.key, None)
            if item.payload is not None:
                self._last_written.pop(item.key, None)
            elif known is not None:
                self._last_written[item.key] = known.revision
        if item.age_s >= 0 and item.key not in self._seen_at:
            self._seen_at[item.key] = now - item.age_s
            return True
        return known is None or item.payload != known.payload

    def _apply_age(
        self,
        item: PublishedItem | RecordAge,
        known: PublishedItem,
        now: float,
    ) -> bool:
        """Apply the age of a record whose age was unknown."""
        is_same = item.revision == known.revision
        if not is_same or item.age_s < 0 or item.key in self._seen_at:
            return False
        self._seen_at[item.key] = now - item.age_s
        return True

    def _prune_removals(self) -> None:
        removed = [
            item for item in self._items.values() if item.payload is None
        ]
        if len(removed) <= MAX_REMOVALS:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - MAX_REMOVALS // 2]:
            self.floor = max(self.floor, item.revision)
            del self._items[item.key]
            self._last_written.pop(item.key, None)
            self._seen_at.pop(item.key, None)
