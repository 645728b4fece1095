"""Ranges of a model's layers."""

from __future__ import annotations

from attrs import frozen


@frozen
class LayerRange:
    """Layers from ``first`` up to but not including ``end``.

    Example
    -------
    >>> LayerRange(5, 10).covers(LayerRange(5, 7))
    True
    >>> bool(LayerRange())
    False
    """

    first: int = 0
    end: int = 0

    def __bool__(self) -> bool:
        """Whether there is any layer in it."""
        return self.end > self.first

    @property
    def count(self) -> int:
        """How many layers there are in it."""
        return max(self.end - self.first, 0)

    def covers(self, other: LayerRange) -> bool:
        """Whether all layers of another range are in this one."""
        return self.first <= other.first and other.end <= self.end

    def is_whole(self, layers: int) -> bool:
        """Whether it is all layers of a model with so many.

        Where nobody says how many there are, any layers count as all.
        """
        if not layers:
            return bool(self)
        return bool(self) and self.covers(LayerRange(0, layers))


NO_LAYERS = LayerRange()


@frozen
class PathPart:
    """The layers that one upstream runs of a request's path."""

    address: str
    layers: LayerRange
