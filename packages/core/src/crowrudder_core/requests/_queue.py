"""The bounded queue of attempts that wait for a slot of the upstream."""

from __future__ import annotations

from attrs import define, field, frozen

from crowrudder_model.messages import AttemptKey


@frozen(order=True)
class _Place:
    priority: int
    order: int


@define
class AdmissionQueue:
    """Attempts by priority, then in order of arrival.

    Parameters
    ----------
    length
        Most attempts that may wait.
    """

    length: int
    places: dict[AttemptKey, _Place] = field(factory=dict, init=False)
    counter: int = field(default=0, init=False)

    def __len__(self) -> int:
        """Give the number of waiting attempts."""
        return len(self.places)

    def push(self, key: AttemptKey, *, priority: int) -> bool:
        """Put an attempt in; false when the queue is full."""
        if len(self.places) >= self.length:
            return False
        self.counter += 1
        self.places[key] = _Place(priority, self.counter)
        return True

    def pop(self) -> AttemptKey | None:
        """Take the next attempt out."""
        if not self.places:
            return None
        key = min(self.places, key=self.places.__getitem__)
        self.places.pop(key)
        return key

    def remove(self, key: AttemptKey) -> None:
        """Take an attempt out that no longer waits."""
        self.places.pop(key, None)
