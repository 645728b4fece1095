"""The aggregate that stores published records by increasing revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field

from crowrudder_model.messages import Changes, PublishedItem, RecordAge

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_REMOVALS = 4096
"""Removals kept, so that a peer can be sent only the changes."""


@define
class Catalog:
    """Records by key, each at the highest revision received.

    Records come from the platform, which may be read late, and from other
    processes, which may be behind. Without an order by revision, an older copy
    from a peer would replace a newer record, and a withdrawn key or a removed
    upstream would be used again. Invariant: the revision of a key never
    decreases.

    Parameters
    ----------
    revision
        The catalog is complete up to this revision.
    floor
        Removals up to this revision may have been forgotten.
    """

    revision: int = 0
    floor: int = 0
    _items: dict[str, PublishedItem] = field(factory=dict)
    _seen_at: dict[str, float] = field(factory=dict)

    def items(self) -> list[PublishedItem]:
        """Return the current records without removals, in no order."""
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
        """Apply changes and return those that had an effect.

        The caller requested all changes after a revision that this catalog had
        reached, so the catalog is complete up to ``through`` afterwards.
        """
        applied = [item for item in items if self._apply_item(item, now)]
        self.revision = max(self.revision, through)
        self._prune_removals()
        return applied

    def replace(
        self,
        items: Iterable[PublishedItem],
        *,
        through: int,
        now: float,
    ) -> list[PublishedItem]:
        """Apply a complete list as of ``through`` and return the changes.

        A record that isn't listed is removed, unless it was published after
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
        """Return the changes that a peer at a revision is missing."""
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
        """Return the known ages of the current records."""
        return tuple(
            RecordAge(item.key, item.revision, age_s)
            for item in self.items()
            if (age_s := self.age_s(item.key, now=now)) is not None
        )

    def apply_ages(
        self, ages: Iterable[RecordAge], *, now: float
    ) -> list[PublishedItem]:
        """Apply ages to records without one and return these records.

        Records, removals and the catalog's revision aren't changed.
        """
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

    def _apply_item(self, item: PublishedItem, now: float) -> bool:
        known = self._items.get(item.key)
        if known is not None and item.revision <= known.revision:
            return self._apply_age(item, known, now)
        self._items[item.key] = item
        self._seen_at.pop(item.key, None)
        if item.age_s >= 0:
            self._seen_at[item.key] = now - item.age_s
        return True

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
