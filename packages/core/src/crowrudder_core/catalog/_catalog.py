"""The aggregate that keeps published records and never goes back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from crowrudder_model.messages import Changes, PublishedItem, RecordAge

if TYPE_CHECKING:
    from collections.abc import Iterable

MOST_REMOVALS = 4096
"""Removals remembered, so that a peer can be sent just what changed."""


@define
class Catalog:
    """Records by key, each at the highest revision that was seen.

    Records come from the platform, which may be read late, and from other
    processes, which may be behind. What goes wrong without an order by
    revision: a process that was informed directly takes a peer's older copy,
    and a withdrawn key or an upstream that has gone is used again. Invariant:
    the revision of a key never falls.

    Parameters
    ----------
    revision
        Everything published up to this revision is in the catalog.
    floor
        Removals up to this revision may have been forgotten.
    """

    revision: int = 0
    floor: int = 0
    _items: dict[str, PublishedItem] = field(factory=dict)
    _seen_at: dict[str, float] = field(factory=dict)

    def items(self) -> list[PublishedItem]:
        """Give the records that stand, in no order."""
        return [
            item for item in self._items.values() if item.payload is not None
        ]

    def apply(
        self,
        items: Iterable[PublishedItem],
        *,
        through: int,
        now: float,
    ) -> list[PublishedItem]:
        """Take changes; give those that were new.

        The caller asked for everything after a revision that this catalog had
        reached, so that it is complete up to ``through`` afterwards.
        """
        fresh = [item for item in items if self._take(item, now)]
        self.revision = max(self.revision, through)
        self._forget_removals()
        return fresh

    def replace(
        self,
        items: Iterable[PublishedItem],
        *,
        through: int,
        now: float,
    ) -> list[PublishedItem]:
        """Take a whole list as it was at ``through``; give what changed.

        A record that isn't listed is gone, unless it was published later than
        the list.
        """
        listed = list(items)
        present = {item.key for item in listed}
        gone = [
            PublishedItem(key=item.key, revision=through, payload=None, age_s=0)
            for item in self.items()
            if item.key not in present and item.revision <= through
        ]
        return self.apply([*listed, *gone], through=through, now=now)

    def changes_after(
        self,
        revision: int,
        *,
        now: float,
        confirmed_s: float,
    ) -> Changes:
        """Give what a peer at a revision lacks."""
        is_whole = revision < self.floor or not revision
        chosen = (
            self.items()
            if is_whole
            else [
                item
                for item in self._items.values()
                if item.revision > revision
            ]
        )
        return Changes(
            through=self.revision,
            items=tuple(self._aged(item, now) for item in chosen),
            is_whole=is_whole,
            confirmed_s=confirmed_s,
        )

    def ages(self, *, now: float) -> tuple[RecordAge, ...]:
        """Give the ages that are known of the records that stand."""
        return tuple(
            RecordAge(item.key, item.revision, age_s)
            for item in self.items()
            if (age_s := self.age_s(item.key, now=now)) is not None
        )

    def take_ages(
        self, ages: Iterable[RecordAge], *, now: float
    ) -> list[PublishedItem]:
        """Take ages of records known without them; give these records.

        Only ages are taken: neither a record nor its removal, nor how far
        the other has read.
        """
        aged = []
        for told in ages:
            known = self._items.get(told.key)
            if known is not None and self._take_age(told, known, now):
                aged.append(self._aged(known, now))
        return aged

    def age_s(self, key: str, *, now: float) -> float | None:
        """Give how long ago a record was published; None if unknown."""
        seen_at = self._seen_at.get(key)
        return None if seen_at is None else max(now - seen_at, 0)

    def _aged(self, item: PublishedItem, now: float) -> PublishedItem:
        age_s = self.age_s(item.key, now=now)
        return evolve(item, age_s=-1 if age_s is None else age_s)

    def _take(self, item: PublishedItem, now: float) -> bool:
        known = self._items.get(item.key)
        if known is not None and item.revision <= known.revision:
            return self._take_age(item, known, now)
        self._items[item.key] = item
        self._seen_at.pop(item.key, None)
        if item.age_s >= 0:
            self._seen_at[item.key] = now - item.age_s
        return True

    def _take_age(
        self,
        item: PublishedItem | RecordAge,
        known: PublishedItem,
        now: float,
    ) -> bool:
        """Take the age of a record that was known without it."""
        is_same = item.revision == known.revision
        if not is_same or item.age_s < 0 or item.key in self._seen_at:
            return False
        self._seen_at[item.key] = now - item.age_s
        return True

    def _forget_removals(self) -> None:
        removed = [
            item for item in self._items.values() if item.payload is None
        ]
        if len(removed) <= MOST_REMOVALS:
            return
        removed.sort(key=lambda item: item.revision)
        for item in removed[: len(removed) - MOST_REMOVALS // 2]:
            self.floor = max(self.floor, item.revision)
            del self._items[item.key]
